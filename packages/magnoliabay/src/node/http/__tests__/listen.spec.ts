import { expect } from 'chai'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { setFaultReporter } from '../../background'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createLogger } from '../../logger'
import { listenOn } from '../listen'

const turn = (): Promise<void> => new Promise(resolve => setTimeout(resolve, 5))

/** Advances the clock until the promise has settled. */
async function advanceUntilSettled<T> (clock: VirtualClock, promise: Promise<T>): Promise<T> {
  const state = { isSettled: false }
  promise.finally(() => { state.isSettled = true }).catch(() => {})
  while (!state.isSettled) {
    await clock.advance(250)
    await turn()
  }
  return await promise
}

describe('a socket that listens', () => {
  const servers: Server[] = []
  let lines: string[] = []
  const logger = createLogger({ write: line => lines.push(line) })
  beforeEach(() => { lines = [] })
  const create = (): Server => {
    const server = createServer()
    servers.push(server)
    return server
  }
  const addressOf = (server: Server): string => `127.0.0.1:${(server.address() as AddressInfo).port}`
  const closeOne = (server: Server): Promise<unknown> => new Promise(resolve => server.close(resolve))
  afterEach(async () => { await Promise.all(servers.splice(0).map(closeOne)) })

  /** Guards against a process that ends at its start, since another one still holds its address for a moment. */
  it('waits for an address that is in use', async () => {
    const clock = createVirtualClock()
    const holder = create()
    await listenOn(holder, '127.0.0.1:0', clock, logger)
    const address = addressOf(holder)
    const server = create()
    let isListening = false
    const started = listenOn(server, address, clock, logger).then(() => { isListening = true })
    await turn()
    await clock.advance(1000)
    await turn()
    expect(isListening).to.equal(false)
    await closeOne(holder)
    await advanceUntilSettled(clock, started)
    expect(addressOf(server)).to.equal(address)
    expect(lines).to.have.length(1)
    expect(lines[0]).to.match(/event=address-in-use/).and.include(address)
  })

  it('gives up an address that stays in use, and one that is none', async () => {
    const clock = createVirtualClock()
    const holder = create()
    await listenOn(holder, '127.0.0.1:0', clock, logger)
    const failed = listenOn(create(), addressOf(holder), clock, logger).catch((reason: NodeJS.ErrnoException) => reason.code)
    expect(await advanceUntilSettled(clock, failed)).to.equal('EADDRINUSE')
    expect(await listenOn(create(), '192.0.2.1:0', clock, logger).catch((reason: NodeJS.ErrnoException) => reason.code)).to.equal('EADDRNOTAVAIL')
  })

  /** Guards against a process that ends with its open connections, since it has no descriptor left for a further one. */
  it('outlives errors of connections that it cannot accept', async () => {
    const server = create()
    const faults: string[] = []
    setFaultReporter((task, err) => faults.push(`${task}: ${(err as Error).message}`))
    await listenOn(server, '127.0.0.1:0', createVirtualClock(), logger)
    server.emit('error', new Error('accept EMFILE'))
    server.emit('error', new Error('accept EMFILE'))
    expect(faults).to.deep.equal(['listening-socket: accept EMFILE', 'listening-socket: accept EMFILE'])
  })
})
