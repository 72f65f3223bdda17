/** The calls that move runs, as an engine receives and answers them. */
import { expect } from 'chai'
import { createSystemClock } from '../../clock'
import { serverOf } from '../../serving/__tests__/fixtures'
import { startRawServer } from '../../serving/__tests__/rawServer'
import type { RawServer } from '../../serving/__tests__/rawServer'
import type { MoveReply } from '../../serving/streams/runCalls'
import { decodeConfig } from '../configDocument'
import { toBackendHeaders } from '../requestHeaders'
import { createInputMonitor } from '../../inputs'
import { createRunCalls } from '../runCalls'
import type { EngineRunCalls } from '../runCalls'

const MOVE = { run: 'try-1', target: '10.0.0.2:80', isLast: true, timeoutMs: 5000 }
const responseOf = (status: number, body: string): string => `HTTP/1.1 ${status} X\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`

interface Case {
  name: string
  response: string
  reply: MoveReply
}

const CASES: Case[] = [
  { name: 'a copy', response: responseOf(200, '{"handle":"h1","created":7}'), reply: { kind: 'copied', handle: 'h1', createdEvents: 7 } },
  { name: 'a copy without a handle', response: responseOf(200, '{"created":7}'), reply: { kind: 'refused', status: 200 } },
  { name: 'a body that is not JSON', response: responseOf(200, 'fine'), reply: { kind: 'refused', status: 200 } },
  { name: 'an unknown run', response: responseOf(404, ''), reply: { kind: 'no-run' } },
  { name: 'a call in progress', response: responseOf(409, ''), reply: { kind: 'in-progress' } },
  { name: 'no room', response: responseOf(503, ''), reply: { kind: 'no-room', handle: undefined } },
  { name: 'no room after the stop', response: responseOf(503, '{"handle":"h2","created":9}'), reply: { kind: 'no-room', handle: 'h2' } },
  { name: 'another process at the address', response: responseOf(421, ''), reply: { kind: 'refused', status: 421 } }
]

describe('calls that move runs', () => {
  let server: RawServer | undefined
  let calls: EngineRunCalls
  beforeEach(() => { calls = createRunCalls({ clock: createSystemClock(), inputs: createInputMonitor() }) })
  afterEach(async () => {
    if (server !== undefined) calls.closeConnections(server.address)
    await server?.close()
    server = undefined
  })

  CASES.forEach(({ name, response, reply }) => it(`decodes ${name}`, async () => {
    server = await startRawServer(socket => socket.write(response))
    expect(await calls.moveRun(serverOf('e1', { address: server.address }), MOVE)).to.deep.equal(reply)
  }))

  it('names the run, the target, whether the run stops, and the expected instance', async () => {
    server = await startRawServer(socket => socket.write(responseOf(200, '{"handle":"h1","created":7}')))
    await calls.moveRun(serverOf('e1', { address: server.address }), MOVE)
    expect(server.received[0]).to.match(/^POST \/-\/kv-move HTTP\/1\.1\r\n/)
    expect(server.received[0]).to.match(/x-magnoliabay-expected-instance: e1\r\n/i)
    expect(JSON.parse(server.received[0]!.split('\r\n\r\n')[1]!)).to.deep.equal({ id: 'try-1', target: '10.0.0.2:80', last: true })
  })

  it('frees a copy by its handle', async () => {
    server = await startRawServer(socket => socket.write(responseOf(200, '')))
    await calls.freeRunCopy(serverOf('e1', { address: server.address }), 'h/1')
    expect(server.received[0]).to.match(/^DELETE \/-\/kv-handle\/h%2F1 HTTP\/1\.1\r\n/)
  })

  /** Guards against taking a lost reply for a refusal: the call may have stopped the run. */
  it('reports unanswered for a call whose connection is closed, and for one without a reply in time', async () => {
    server = await startRawServer((socket, _request, count) => { if (count === 1) socket.destroy() })
    const source = serverOf('e1', { address: server.address })
    expect(await calls.moveRun(source, MOVE)).to.deep.equal({ kind: 'unanswered' })
    expect(await calls.moveRun(source, { ...MOVE, timeoutMs: 30 })).to.deep.equal({ kind: 'unanswered' })
  })
})

describe('the second send of a moved run', () => {
  const METADATA = { deadlineMs: 100, serverId: 'e2', team: undefined, priority: undefined }

  it('names the source, the handle and the last event', () => {
    const sent = toBackendHeaders(['X-Magnoliabay-Attempt-Id', 'try-1'], { ...METADATA, lastEventId: '4', runCopy: { sourceAddress: '10.0.0.1:80', handle: 'h1' } })
    expect(sent.join(' ')).to.contain('Kv-From 10.0.0.1:80/h1').and.to.contain('Last-Event-Id 4').and.to.contain('X-Magnoliabay-Attempt-Id try-1')
  })

  /** Guards against a run that continues after events which were lost on their way here. */
  it('asks for all events if none has arrived, or for those after the one that the caller names', () => {
    const runCopy = { sourceAddress: '10.0.0.1:80', handle: 'h1' }
    expect(toBackendHeaders([], { ...METADATA, runCopy }).join(' ')).to.contain('Last-Event-Id 0')
    expect(toBackendHeaders(['last-event-id', '7'], { ...METADATA, runCopy }).join(' ')).to.contain('last-event-id 7').and.not.to.contain('Last-Event-Id 0')
    expect(toBackendHeaders([], METADATA).join(' ')).not.to.contain('Last-Event-Id')
  })

  it('is the only one with a handle: a caller\'s own is dropped', () => {
    expect(toBackendHeaders(['Kv-From', '10.0.0.9:80/stolen'], METADATA).join(' ').toLowerCase()).not.to.contain('kv-from')
  })
})

describe('the configuration of moves', () => {
  const engineWith = (fields: object): unknown => decodeConfig(JSON.stringify({ version: 1, routes: [], services: [{ name: 'chat', engine: { slots: 16, ...fields } }] }))!.services.get('chat')!.engine!.moves
  const STATED = { 'kv-token-bytes': 100_000, 'bandwidth-mbps': 10_000, handle_s: 5 }
  it('is read where engines offer moves', () => expect(engineWith({ moves: true, ...STATED })).to.deep.equal({ bytesPerToken: 100_000, bandwidthMbps: 10_000, handleMs: 5000 }))
  it('is absent where they do not', () => {
    expect(engineWith({ moves: false, ...STATED })).to.equal(undefined)
    expect(engineWith(STATED)).to.equal(undefined)
  })
})
