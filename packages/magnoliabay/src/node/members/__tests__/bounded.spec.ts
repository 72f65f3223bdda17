import * as v from 'valibot'
import { expect } from 'chai'
import { freeAddresses } from '../../__tests__/freeAddresses'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { neighboursOf as neighboursIn, orderOnRing } from '../neighbours'
import { createPeerNetwork } from '../network'
import type { PeerNetwork } from '../network'
import { definePeerCall, definePeerNotice } from '../peers'
import type { MemberRecord } from '../record'

const echo = definePeerCall<string, string>('echo', { req: v.string(), res: v.string() })
const note = definePeerNotice<string>('note', v.string())
const MEMBER_COUNT = 24
/** Longest virtual time that a test waits for a condition. */
const MAX_WAIT_MS = 60_000

describe('many members over loopback', () => {
  let clock: VirtualClock
  let networks: PeerNetwork[]
  let received: string[]
  let goodbyes: string[]
  const idOf = (index: number): string => `m${String(index).padStart(2, '0')}`
  const neighboursOf = (id: string): ReadonlySet<string> => neighboursIn(id, orderOnRing(networks.map(network => network.self.id)))
  const advanceUntil = async (done: () => boolean): Promise<void> => {
    const endMs = clock.monotonic() + MAX_WAIT_MS
    while (!done() && clock.monotonic() < endMs) {
      await clock.advance(20)
      await new Promise(resolve => setImmediate(resolve))
    }
    expect(done()).to.equal(true)
  }
  const isLinked = (network: PeerNetwork): boolean =>
    [...neighboursOf(network.self.id)].every(id => network.linkStateOf(id) === 'linked')

  beforeEach(async () => {
    clock = createVirtualClock()
    received = []
    goodbyes = []
    const addresses = await freeAddresses(MEMBER_COUNT)
    const records = addresses.map((peerAddress, index): MemberRecord => ({
      id: idOf(index), incarnation: `${idOf(index)}-1`, startedAtMs: 1, region: 'r', failureDomain: 'd', peerAddress, entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0
    }))
    networks = records.map(self => createPeerNetwork({
      self, clock, logger: createSilentLogger(), onGoodbye: member => { goodbyes.push(`${self.id} ${member.id}`) }
    }))
    networks.forEach(network => {
      network.serve(echo, text => `${text} from ${network.self.id}`)
      network.listen(note, (text, from) => { received.push(`${network.self.id} ${text} ${from.id}`) })
    })
    await Promise.all(networks.map(network => network.start()))
    networks.forEach(network => network.setMembers(records))
    await advanceUntil(() => networks.every(isLinked))
  })
  afterEach(async () => { await Promise.all(networks.map(network => network.close())) })

  it('delivers a notice to every other member once, with its sender', async () => {
    networks[0]!.notifyAll(note, 'hello')
    await advanceUntil(() => received.length >= MEMBER_COUNT - 1)
    await clock.advance(200)
    const expected = networks.slice(1).map(network => `${network.self.id} hello m00`)
    expect(received.sort()).to.deep.equal(expected.sort())
  })

  /* Two members without a link call each other at the same moment, so that both dial. Both calls are answered. */
  it('dials non-neighbours on demand, from both ends at once', async () => {
    const [one, other] = [networks[0]!, networks.find(network => network.self.id !== idOf(0) && !neighboursOf(idOf(0)).has(network.self.id))!]
    expect(one.linkStateOf(other.self.id)).to.equal('none')
    const answers: string[] = []
    const sendEcho = async (from: PeerNetwork, to: PeerNetwork): Promise<void> => {
      const reply = await from.call(to.self.id, echo, 'hi')
      answers.push(reply.ok ? reply.val : reply.val.kind)
    }
    sendEcho(one, other)
    sendEcho(other, one)
    await advanceUntil(() => answers.length === 2)
    expect(answers.sort()).to.deep.equal([`hi from ${one.self.id}`, `hi from ${other.self.id}`].sort())
  })

  /* A process that ends says goodbye on every link, also on those that it dialled: others need it as proof. */
  it('says goodbye to every neighbour', async () => {
    const leaving = networks[0]!
    const neighbours = [...neighboursOf(leaving.self.id)]
    await leaving.close()
    await advanceUntil(() => neighbours.every(id => goodbyes.includes(`${id} ${leaving.self.id}`)))
  })

  it('reports an unreachable member at once, and does not dial it again for a while', async () => {
    const closedNetwork = networks.find(network => !neighboursOf(idOf(0)).has(network.self.id) && network.self.id !== idOf(0))!
    await closedNetwork.close()
    const answers: string[] = []
    const sendEcho = async (): Promise<void> => {
      const reply = await networks[0]!.call(closedNetwork.self.id, echo, 'hi')
      answers.push(reply.ok ? reply.val : reply.val.kind)
    }
    sendEcho()
    await advanceUntil(() => answers.length === 1)
    expect(answers).to.deep.equal(['not-connected'])
    expect(networks[0]!.isConnected(closedNetwork.self.id)).to.equal(false)
  })
})
