/** Reports of engines, sound and malformed. */
import { expect } from 'chai'
import { createSystemClock } from '../../clock'
import { createInputMonitor } from '../../inputs'
import type { InputMonitor } from '../../inputs'
import { createLogger } from '../../logger'
import { createRegistry } from '../../metrics/registry'
import { serverOf } from '../../serving/__tests__/fixtures'
import { startRawServer } from '../../serving/__tests__/rawServer'
import type { RawServer } from '../../serving/__tests__/rawServer'
import type { EngineCalls } from '../../serving/engineCalls'
import { createEngineCalls } from '../engineCalls'

const SOUND = { stage: 'prefill_decode', models: [{ name: 'm1', version: 2, adapters: null }], busy: false, sequence: 3, waiting: 1, running: 2, born: 1700000000000, pending: ['m1/a1@4'] }
const withLength = (body: string): string => `HTTP/1.1 200 OK\r\nContent-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`

const MALFORMED: Record<string, string> = {
  'wrong bytes': '\u0001{oops',
  null: 'null',
  nothing: '',
  'a list': '[]',
  'an empty object': '{}',
  'a cut body': JSON.stringify(SOUND).slice(0, 40),
  'models that are none': JSON.stringify({ ...SOUND, models: [null] }),
  'models of another type': JSON.stringify({ ...SOUND, models: 'm1' }),
  'orders that are no number': JSON.stringify({ ...SOUND, sequence: '3' }),
  'a negative number of orders': JSON.stringify({ ...SOUND, sequence: -1 }),
  'adapters that are numbers': JSON.stringify({ ...SOUND, pending: [1] }),
  'copies of another type': JSON.stringify({ ...SOUND, available: { 'in-memory': 4 } })
}

describe('reports of engines', () => {
  let server: RawServer
  let calls: EngineCalls
  let lines: string[]
  let inputs: InputMonitor
  const start = async (response: string): Promise<void> => {
    server = await startRawServer(socket => socket.end(response))
    lines = []
    inputs = createInputMonitor(createLogger({ write: line => lines.push(line) }))
    calls = createEngineCalls({ clock: createSystemClock(), inputs })
  }
  afterEach(async () => {
    calls.closeConnections(server.address)
    await server.close()
  })

  it('are decoded', async () => {
    await start(withLength(JSON.stringify(SOUND)))
    expect((await calls.fetchReport(serverOf('e1', { address: server.address }))).unwrap()).to.deep.equal({
      bornMs: 1700000000000,
      isOrderPending: false,
      acceptedOrders: 3,
      waiting: 1,
      running: 2,
      models: [{ name: 'm1', version: 2, adapters: [] }],
      loadingAdapters: ['m1/a1'],
      copies: { memory: [], disk: [] }
    })
  })

  /** Guards against a process that ends, or an engine that is taken for empty, for a report of the wrong form. */
  Object.entries(MALFORMED).forEach(([name, body]) => it(`are refused with ${name}: logged with the server's id, and counted`, async () => {
    await start(withLength(body))
    const report = await calls.fetchReport(serverOf('e1', { address: server.address }))
    expect(report.err && report.val.kind).to.equal('malformed')
    expect(lines).to.have.length(1)
    expect(lines[0]).to.match(/event=input-refused/).and.match(/source=engine-report/).and.match(/server=e1/)
    const registry = createRegistry()
    inputs.register(registry)
    expect(await registry.metrics()).to.include('magnoliabay_refused_inputs_total{source="engine-report"} 1')
  }))

  /** Guards against streams that stand still for seconds while a report of megabytes is parsed. */
  it('are refused before they are parsed when they are longer than any engine needs', async () => {
    await start(withLength(`${'['.repeat(200_000)}${']'.repeat(200_000)}`))
    expect((await calls.fetchReport(serverOf('e1', { address: server.address }))).err).to.equal(true)
    expect(lines).to.have.length(1)
    expect(lines[0]).to.match(/event=input-refused/).and.match(/server=e1/).and.match(/the body has more than/)
  })

  /** Guards against a report without length that was cut. */
  it('are refused when a report without length breaks off', async () => {
    await start(`HTTP/1.1 200 OK\r\n\r\n${JSON.stringify(SOUND).slice(0, 40)}`)
    expect((await calls.fetchReport(serverOf('e1', { address: server.address }))).err).to.equal(true)
  })
})
