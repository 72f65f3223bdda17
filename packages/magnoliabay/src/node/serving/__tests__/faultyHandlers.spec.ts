import { expect } from 'chai'
import { setFaultReporter } from '../../background'
import { createSystemClock } from '../../clock'
import { createTicker } from '../../clock/ticker'
import { createVirtualClock } from '../../clock/virtual'
import { createListeners } from '../../members/dispatch'
import { createConnections } from '../exchange'
import type { ExchangeEnd, ResponseHandler } from '../exchange'
import { startRawServer } from './rawServer'

const RESPONSE = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine'
const fail = (): never => { throw new Error('faulty') }

/** Guards against a process that ends, with all of its requests, for a fault in what the runtime calls: listeners and timers. */
describe('a fault in a listener or a timer', () => {
  let faults: string[]
  beforeEach(() => {
    faults = []
    setFaultReporter((task, err) => faults.push(`${task}: ${(err as Error).message}`))
  })

  ;(['onHead', 'onData', 'onSent'] as const).forEach(name => it(`ends the exchange that it concerns, once, and no other: ${name}`, async () => {
    const server = await startRawServer(socket => socket.write(RESPONSE))
    const connections = createConnections(createSystemClock())
    const exchange = (faulty: Partial<ResponseHandler>): Promise<ExchangeEnd[]> => new Promise(resolve => {
      const ends: ExchangeEnd[] = []
      connections.exchange({ address: server.address, method: 'GET', path: '/x', headers: ['Host', 'site.example'], body: Buffer.alloc(0) }, {
        onHead: () => {},
        onData: () => {},
        ...faulty,
        onEnd: end => {
          ends.push(end)
          setTimeout(() => resolve(ends), 20)
        }
      })
    })
    expect(await exchange({ [name]: fail })).to.deep.equal(['broken'])
    expect(await exchange({})).to.deep.equal(['whole'])
    expect(faults).to.deep.equal(['exchange: faulty'])
    connections.close()
    await server.close()
  }))

  it('is reported, and the timer after it fires', async () => {
    const clock = createSystemClock()
    clock.schedule(1, fail)
    await new Promise<void>(resolve => { clock.schedule(5, resolve) })
    expect(faults).to.deep.equal(['timer: faulty'])
  })

  it('keeps no other listener from being called', async () => {
    const clock = createVirtualClock()
    const called: string[] = []
    const listeners = createListeners<[]>()
    ;[fail, () => called.push('listener')].forEach(listener => listeners.add(listener))
    listeners.emit()
    const ticker = createTicker(clock, 100)
    const removals = [fail, () => called.push('ticker')].map(listener => ticker.add(listener))
    await clock.advance(150)
    removals.forEach(remove => remove())
    expect(called.slice(0, 2)).to.deep.equal(['listener', 'ticker'])
    expect(faults.slice(0, 2)).to.deep.equal(['listener: faulty', 'ticker: faulty'])
  })
})
