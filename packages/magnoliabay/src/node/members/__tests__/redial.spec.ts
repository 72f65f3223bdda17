import * as v from 'valibot'
import { expect } from 'chai'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { sleep } from '../../clock'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { parseHostPort } from '../../utils'
import { createPeerNetwork } from '../network'
import type { PeerNetwork } from '../network'
import { definePeerCall } from '../peers'
import type { MemberRecord } from '../record'

const echo = definePeerCall<string, string>('echo', { req: v.string(), res: v.string() })

interface Forwarder {
  address: string
  /** Stops forwarding on the connections that are open now; they stay open. New ones work. */
  mute (): void
  /** Connections accepted so far. */
  accepted: () => number
  close (): void
}

async function startForwarder (to: string): Promise<Forwarder> {
  const pairs: Array<[Socket, Socket]> = []
  const server: Server = createServer(near => {
    const far = connect(parseHostPort(to))
    near.pipe(far)
    far.pipe(near)
    near.on('error', () => far.destroy())
    far.on('error', () => near.destroy())
    pairs.push([near, far])
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    mute: () => pairs.flat().forEach(socket => socket.unpipe().pause()),
    accepted: () => pairs.length,
    close: () => {
      pairs.flat().forEach(socket => socket.destroy())
      server.close()
    }
  }
}

async function freeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return `127.0.0.1:${port}`
}

describe('links between members', () => {
  let clock: VirtualClock
  const networks: PeerNetwork[] = []
  let forwarder: Forwarder

  const startMember = async (id: string): Promise<PeerNetwork> => {
    const self: MemberRecord = {
      id, incarnation: `${id}-1`, startedAtMs: 1, region: 'r', failureDomain: 'd', peerAddress: await freeAddress(), entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0
    }
    const network = createPeerNetwork({ self, clock, logger: createSilentLogger() })
    await network.start()
    network.serve(echo, text => text)
    networks.push(network)
    return network
  }
  /** Advances time in steps until `done`; sockets proceed in between. */
  const advanceUntil = async (done: () => boolean): Promise<void> => {
    while (!done()) {
      await clock.advance(100)
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  const callUntilAnswered = async (from: PeerNetwork, to: string): Promise<string> => {
    let answer: string | undefined
    const retryCall = async (): Promise<void> => {
      while (answer === undefined) {
        const result = await from.call(to, echo, 'y')
        if (result.ok) answer = result.val
        else await sleep(clock, 100)
      }
    }
    retryCall()
    await advanceUntil(() => answer !== undefined)
    return answer!
  }

  beforeEach(() => { clock = createVirtualClock() })
  afterEach(async () => {
    await Promise.all(networks.splice(0).map(network => network.close()))
    forwarder.close()
  })

  it('closes a silent link and dials it again, after which calls work', async () => {
    // A device between the two loses track of one connection. Both ends still hold it open, and calls on it time out.
    // After the silence timeout it is closed and the lesser id dials a new one.
    const a = await startMember('a')
    const b = await startMember('b')
    forwarder = await startForwarder(b.self.peerAddress)
    a.setMembers([a.self, { ...b.self, peerAddress: forwarder.address }])
    b.setMembers([a.self, b.self])
    await advanceUntil(() => a.isConnected('b') && b.isConnected('a'))
    forwarder.mute()
    const unanswered = a.call('b', echo, 'x')
    await advanceUntil(() => forwarder.accepted() === 2)
    expect((await unanswered).err).to.equal(true)
    const answers = await Promise.all([callUntilAnswered(a, 'b'), callUntilAnswered(b, 'a')])
    expect(answers).to.deep.equal(['y', 'y'])
  })
})
