/**
 * A model engine by the users' platform's protocol, as far as streams need it: an entry in the store with the version of its
 * software, streams that a request may continue after `Last-Event-Id`, and reports. Each event names the version that made it.
 * It crashes as it begins to write an answer to some parts of prompts, may end its answers with their connection, and may spoil
 * its reports.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { readText, sendJson } from '../http/json'
import { createListener } from '../http/listener'
import type { KvState } from '../kv/state'

export interface PlatformEngineOptions {
  id: string
  service: string
  softwareVersion: string
  /** Models that it has loaded. */
  models: readonly string[]
  failureDomain: string
  /** Where it writes its entry. */
  store: KvState
  clock: Clock
  /** Events of a stream. @default 40 */
  events?: number
  /** Time between events, milliseconds. @default 50 */
  gapMs?: number
  /** Whether its answers have neither a length nor chunks, and end with their connection. @default false */
  endsWithConnection?: boolean
  /** Returns the body of a report in place of the sound one; undefined for that. @default reports are sound */
  spoilReport?: (sound: string) => string | undefined
  /** Returns the body of an answer to an order in place of the sound one. @default they are sound */
  spoilOrderAnswer?: (sound: string) => string | undefined
}

/** A request that reached the engine. */
export interface EngineArrival {
  attemptId: string
  /** Ids of the parts of its prompt. */
  parts: readonly string[]
  atMs: number
}

export interface PlatformEngine {
  readonly id: string
  readonly address: string
  softwareVersion (): string
  /** Its process dies: connections are reset, and new ones refused. Its entry is removed. */
  crash (): Promise<void>
  /** Another process starts under the same id, and writes its entry after `entryDelayMs`. */
  start (softwareVersion: string, entryDelayMs?: number): Promise<void>
  /** Writes its entry; one that drains will leave. */
  list (state?: 'ready' | 'draining'): void
  /** Removes its entry; its process serves on. */
  unlist (): void
  /** It crashes as it begins to write an answer to a prompt with one of these parts, and is back after some seconds. */
  setCrashingParts (parts: readonly string[]): void
  /** When it has crashed by itself, on a part, Unix milliseconds. */
  crashes (): ReadonlyArray<{ part: string, atMs: number }>
  arrivals (): readonly EngineArrival[]
  /** Breaks the connections of all streams. */
  cutStreams (): void
  close (): Promise<void>
}

const DEFAULT_EVENTS = 40
const DEFAULT_GAP_MS = 50
const SLOTS = 64
const MISDIRECTED = 421
/** Time after which an engine that has crashed is back, milliseconds. */
const RESTART_MS = 2500

const partsIn = (prefix: string): string[] => prefix === '' ? [] : prefix.split(',').map(part => part.split(':')[0]!)

function sendText (res: ServerResponse, text: string): void {
  res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

export async function createPlatformEngine (options: PlatformEngineOptions): Promise<PlatformEngine> {
  const { id, service, models, failureDomain, store, clock, events = DEFAULT_EVENTS, gapMs = DEFAULT_GAP_MS, endsWithConnection = false, spoilReport = () => undefined, spoilOrderAnswer = () => undefined } = options
  const key = `servers/${id}`
  let { softwareVersion } = options
  let bornMs = clock.now()
  let crashingParts: ReadonlySet<string> = new Set()
  const crashes: Array<{ part: string, atMs: number }> = []
  const arrivals: EngineArrival[] = []

  const loaded = models.map(name => ({ name, version: 1, adapters: [] }))
  const writeEntry = (state: 'ready' | 'draining' = 'ready'): void => {
    const value = JSON.stringify({ service, address: listener.address, zone: failureDomain, version: softwareVersion, slots: SLOTS, state, born: bornMs, models: loaded, sequence: 0 })
    store.transact({ compares: [], success: [{ kind: 'put', key, value, leaseId: '0' }], failure: [] })
  }
  const removeEntry = (): void => { store.transact({ compares: [], success: [{ kind: 'delete', range: { key } }], failure: [] }) }
  const headerOf = (req: IncomingMessage, name: string): string => String(req.headers[name] ?? '')
  const report = (res: ServerResponse): void => {
    const sound = JSON.stringify({ stage: 'prefill_decode', models: loaded, busy: false, sequence: 0, waiting: 0, running: 0, born: bornMs })
    sendText(res, spoilReport(sound) ?? sound)
  }
  const crash = async (): Promise<void> => {
    await listener.refuse()
    removeEntry()
  }
  const start = async (version: string, entryDelayMs = 0): Promise<void> => {
    softwareVersion = version
    bornMs = clock.now()
    await listener.accept()
    clock.schedule(entryDelayMs, () => writeEntry())
  }
  const crashOn = (part: string): void => {
    crashes.push({ part, atMs: clock.now() })
    crash()
    clock.schedule(RESTART_MS, () => { start(softwareVersion) })
  }
  const stream = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const parts = partsIn(headerOf(req, 'x-magnoliabay-prompt-prefix'))
    arrivals.push({ attemptId: headerOf(req, 'x-magnoliabay-attempt-id'), parts, atMs: clock.now() })
    if (endsWithConnection) {
      res.useChunkedEncodingByDefault = false
      res.shouldKeepAlive = false
    }
    res.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-magnoliabay-attempt-id': headerOf(req, 'x-magnoliabay-attempt-id'),
      'x-magnoliabay-server-signature': `${id}.${bornMs}`
    })
    res.flushHeaders()
    const first = Number(headerOf(req, 'last-event-id')) + 1
    for (let event = first; event <= events; event += 1) {
      await sleep(clock, gapMs)
      if (res.destroyed) return
      const crashing = event === first ? parts.find(part => crashingParts.has(part)) : undefined
      if (crashing !== undefined) return crashOn(crashing)
      res.write(`id: ${event}\ndata: ${softwareVersion}\n\n`)
    }
    res.end()
  }
  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    await readText(req)
    const expected = headerOf(req, 'x-magnoliabay-expected-instance')
    if (expected !== '' && expected !== id) return sendJson(res, MISDIRECTED, {})
    if (req.url === '/-/report') return report(res)
    // Its models stay as they are: each order already holds.
    if (req.url === '/-/order') return sendText(res, spoilOrderAnswer('{}') ?? '{}')
    await stream(req, res)
  }
  const listener = await createListener({ handler: (req, res) => { handle(req, res).catch(() => res.destroy()) } })
  writeEntry()

  return {
    id,
    address: listener.address,
    softwareVersion: () => softwareVersion,
    crash,
    start,
    list: writeEntry,
    unlist: removeEntry,
    setCrashingParts: parts => { crashingParts = new Set(parts) },
    crashes: () => crashes,
    arrivals: () => arrivals,
    cutStreams: listener.dropConnections,
    close: listener.close
  }
}
