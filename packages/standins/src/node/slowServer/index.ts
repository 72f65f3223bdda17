/**
 * A server of a plain service on the users' platform that takes its time: it answers late, sends the head of an answer long
 * before the rest, begins streams late, and lets requests wait for a slot. It records what it has begun, and how that ended.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { readText } from '../http/json'
import { createListener } from '../http/listener'

/** When the parts of an answer are sent, milliseconds since the server began the request. */
export interface AnswerSchedule {
  headMs: number
  /** The body, or the first event. */
  bodyMs: number
  /** Time between the events of a stream, milliseconds. */
  gapMs: number
}

export interface SlowServerOptions {
  id: string
  host: string
  clock: Clock
  /** Requests that it runs at once; others wait. */
  slots: number
  chooseSchedule: () => AnswerSchedule
  isStream: (path: string) => boolean
}

/** A request that reached the server; its times are Unix milliseconds. */
export interface SlowRun {
  attemptId: string
  server: string
  arrivedMs: number
  begunMs?: number
  /** When the answer is whole, if nothing breaks off. */
  dueMs?: number
  /** When the last byte of the answer was sent. */
  endedMs?: number
  /** Whether the server broke its connection off. */
  isBrokenOff: boolean
}

export interface SlowServer {
  /** `ip:port` */
  readonly address: string
  runs (): readonly SlowRun[]
  /** Its process ends, with all that it is at work on. */
  close (): Promise<void>
}

const EVENTS = 20
/** Interval at which requests that wait look for a free slot, milliseconds. */
const SLOT_CHECK_INTERVAL_MS = 10

export async function createSlowServer ({ id, host, clock, slots, chooseSchedule, isStream }: SlowServerOptions): Promise<SlowServer> {
  const runs: SlowRun[] = []
  const open = new Set<SlowRun>()
  let running = 0
  const isFull = (): boolean => running >= slots

  const answer = async (run: SlowRun, req: IncomingMessage, res: ServerResponse, closed: AbortSignal): Promise<void> => {
    const { headMs, bodyMs, gapMs } = chooseSchedule()
    const firstEvent = Number(req.headers['last-event-id'] ?? 0) + 1
    const events = isStream(req.url ?? '') ? EVENTS - firstEvent + 1 : 0
    run.begunMs = clock.now()
    run.dueMs = run.begunMs + bodyMs + events * gapMs
    await sleep(clock, headMs, closed)
    if (closed.aborted) return
    res.writeHead(200, { 'x-magnoliabay-attempt-id': run.attemptId, 'x-magnoliabay-server-signature': `${id}.slow`, ...(events > 0 ? { 'content-type': 'text/event-stream' } : {}) })
    res.flushHeaders()
    await sleep(clock, bodyMs - headMs, closed)
    for (let event = firstEvent; event < firstEvent + events && !closed.aborted; event += 1) {
      res.write(`id: ${event}\ndata: ${id}\n\n`)
      await sleep(clock, gapMs, closed)
    }
    if (closed.aborted) return
    res.end(events > 0 ? '' : `${id}|${run.attemptId}`)
    run.endedMs = clock.now()
  }
  const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const run: SlowRun = { attemptId: String(req.headers['x-magnoliabay-attempt-id']), server: id, arrivedMs: clock.now(), isBrokenOff: false }
    const closed = new AbortController()
    runs.push(run)
    open.add(run)
    res.once('close', () => {
      open.delete(run)
      closed.abort()
    })
    await readText(req)
    while (isFull() && !closed.signal.aborted) await sleep(clock, SLOT_CHECK_INTERVAL_MS, closed.signal)
    if (closed.signal.aborted) return
    running += 1
    await answer(run, req, res, closed.signal)
    running -= 1
  }
  const listener = await createListener({ host, handler: (req, res) => { handle(req, res).catch(() => res.destroy()) } })
  return {
    address: listener.address,
    runs: () => runs,
    close: () => {
      open.forEach(run => { run.isBrokenOff = true })
      return listener.close()
    }
  }
}
