import { expect } from 'chai'
import fc from 'fast-check'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createEntryHarness } from '../../entry/__tests__/harness'
import type { EntryHarness } from '../../entry/__tests__/harness'

const SEED = 20_261_204
const TOKENS = 12

/** The number of bytes after which each successive connection is cut; the connection after the last one is not cut. */
type CutOffsets = readonly number[]

const eventOf = (id: string, index: number): string =>
  index === TOKENS ? `id: ${id}:${index}\ndata: [DONE]\n\n` : `id: ${id}:${index}\ndata: {"choices":[{"delta":{"content":"t${index} "}}]}\n\n`

function dataOf (text: string): string[] {
  return text.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length))
}

function sendText (res: ServerResponse, text: string): void {
  res.end(text)
}

/** Starts an engine that answers with `serve`, and an entry instance before it. */
async function startEngine (serve: (req: IncomingMessage, res: ServerResponse) => void): Promise<{ engine: Server, harness: EntryHarness }> {
  const engine = createServer(serve)
  await new Promise<void>(resolve => engine.listen(0, '127.0.0.1', resolve))
  const harness = await createEntryHarness({ engines: [{}], engineAddresses: [`127.0.0.1:${(engine.address() as AddressInfo).port}`] })
  return { engine, harness }
}

describe('relay of streams whose connections break', () => {
  let cutOffsets: CutOffsets = []
  let connections = 0
  let engine: Server
  let harness: EntryHarness

  /** An engine that can resume streams, and cuts its connections at `cutOffsets`. */
  const serve = (req: IncomingMessage, res: ServerResponse): void => {
    req.resume()
    const url = new URL(req.url ?? '/', 'http://engine')
    if (url.pathname === '/control/cancel') return sendText(res, '{}')
    const id = url.searchParams.get('request') ?? String(req.headers['x-request-id'])
    const from = Number(url.searchParams.get('from') ?? 0)
    const text = Array.from({ length: TOKENS + 1 - from }, (_, index) => eventOf(id, from + index)).join('')
    const cut = cutOffsets[connections]
    connections += 1
    res.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id })
    if (cut === undefined) return sendText(res, text)
    res.write(text.slice(0, cut), () => res.destroy())
  }
  before(async () => {
    ({ engine, harness } = await startEngine(serve))
  })
  after(async () => {
    await harness.close()
    engine.closeAllConnections()
    engine.close()
  })

  // Guards against lost or repeated tokens. The engine's connection breaks up to four times, at any byte, also within
  // an event. The caller must get every token once and in order: up to the end mark, or up to a typed error.
  it('neither loses nor repeats a token, wherever the connections are cut', async () => {
    const whole = [...Array.from({ length: TOKENS }, (_, index) => `{"choices":[{"delta":{"content":"t${index} "}}]}`), '[DONE]']
    const anyCuts = fc.array(fc.integer({ min: 1, max: 700 }), { maxLength: 4 })
    let resumed = 0
    await fc.assert(fc.asyncProperty(anyCuts, async chosen => {
      cutOffsets = chosen
      connections = 0
      const reply = await harness.chat(0, 'anything', { stream: true })
      const error = reply.text.includes('event: error') || reply.status !== 200
      const received = reply.status === 200 ? dataOf(reply.text.split('event: error')[0]!) : []
      expect(whole.slice(0, received.length)).to.deep.equal(received)
      expect(error).to.equal(received.at(-1) !== '[DONE]')
      if (!error && connections > 1) resumed += 1
    }), { seed: SEED, numRuns: 60 })
    expect(resumed).to.be.at.least(10)
  })
})

describe('relay of a stream whose engine comes back with another software version', () => {
  const versionedEvent = (id: string, index: number, version: string): string => `id: ${id}:${index}\ndata: {"system_fingerprint":"${version}","choices":[{"delta":{"content":"t${index} "}}]}\n\n`
  let engine: Server
  let harness: EntryHarness
  let runs = 0

  /** The first process sends three events and dies; the second does not know its run, and would begin it anew. */
  const serve = (req: IncomingMessage, res: ServerResponse): void => {
    req.resume()
    const url = new URL(req.url ?? '/', 'http://engine')
    if (url.pathname === '/control/cancel') return sendText(res, '{}')
    const id = String(req.headers['x-request-id'])
    if (url.pathname === '/control/resume') {
      res.writeHead(404)
      return sendText(res, '{}')
    }
    if (!url.pathname.startsWith('/v1/')) return sendText(res, '{}')
    runs += 1
    const version = `v${runs}`
    res.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id })
    res.write([0, 1, 2].map(index => versionedEvent(id, index, version)).join(''), () => res.destroy())
  }
  before(async () => {
    ({ engine, harness } = await startEngine(serve))
  })
  after(async () => {
    await harness.close()
    engine.closeAllConnections()
    engine.close()
  })

  /** Guards against a response with events of two software versions: the first run is continued by its own process or not at all. */
  it('ends with a typed error after the events of the first version', async () => {
    const reply = await harness.chat(0, 'anything', { stream: true })
    const versions = new Set([...reply.text.matchAll(/"system_fingerprint":"([^"]*)"/g)].map(([, version]) => version))
    expect([...versions]).to.deep.equal(['v1'])
    expect(reply.text).to.include('event: error')
    expect(runs).to.equal(1)
  })
})
