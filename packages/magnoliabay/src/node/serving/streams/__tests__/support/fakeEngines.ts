/** Engines without a network, under a virtual clock: streams, silence, crashes, and moves with handles. */
import type { Clock } from '../../../../clock'
import type { Connections, OutboundRequest, ResponseHandler } from '../../../exchange'
import type { MoveReply, RunCalls } from '../../runCalls'

const SIGNATURE = 'x-magnoliabay-server-signature'
const ATTEMPT_ID = 'x-magnoliabay-attempt-id'

export interface FakeEngine {
  readonly address: string
  /** Milliseconds to the first event, and between events. */
  firstMs: number
  gapMs: number
  /** Number of events of a complete stream. */
  events: number
  slots: number
  /** Version of its software, which each event names. */
  softwareVersion: string
  /** Counts the processes that have run at the address. */
  bornMs: number
  isCrashed: boolean
  /** Runs send nothing after this many events; they stay until they are cancelled or stopped. */
  silentAfter: number
  /** Only each run of this number is silent; the others go on. */
  silentEvery: number
  /** Until this time it sends nothing, and then goes on, monotonic milliseconds. */
  pausedUntilMs: number
  pauseFor (ms: number): void
  /** Rejects requests with a handle, as a full engine does. */
  rejectsCopies: boolean
  /** Whether the stream of a run that stops for a move is closed without the end of its framing. */
  closesAbruptly: boolean
  /** How the next calls for a move go, in order; `act` is the regular behaviour. */
  moveFaults: MoveFault[]
  /** Time for a call for a move, milliseconds. */
  moveMs: number
  /** Parts of prompts on which it crashes as it begins to write an answer. */
  crashesOn: ReadonlySet<string>
  /** Called when it has crashed, with the part of a prompt that did it. */
  onCrashed: (part?: string) => void
  /** Runs whose connection is open. */
  running (): number
  crash (part?: string): void
  /** Another process starts at the address after a crash, with this version of the software. */
  restart (softwareVersion: string): void
  /** Breaks the connections of all streams; the runs go on. */
  cutLink (): void
}

/**
 * `no-reply`: the call takes effect, and the reply is lost. `lost`: the call is lost. `no-room`: 503 without `last`, and with
 * it after the run has stopped. `no-room-no-handle`: 503 that names no handle; the run continues.
 */
export type MoveFault = 'act' | 'no-reply' | 'lost' | 'no-room' | 'no-room-no-handle' | 'no-run' | 'in-progress'

export interface RunRecord {
  id: string
  /** How often it was started, rather than continued with a handle. */
  starts: number
  /** Engines that run it now. More than one would be two runs at a time. */
  runningAt: Set<string>
  wasRunTwice: boolean
}

export interface FakeEngines {
  connections: Connections
  runCalls: RunCalls
  add (name: string, changes?: Partial<FakeEngine>): FakeEngine
  /** Returns the id of a new request. */
  nextId (): string
  record (id: string): RunRecord
  /** Requests received, with their decoded headers. */
  received: Array<{ address: string, headers: Record<string, string> }>
  /** Those of them that came to an engine which ran. */
  reached: Array<{ address: string, headers: Record<string, string> }>
  moveCalls: Array<{ source: string, target: string, isLast: boolean }>
  freed: string[]
  /** Handles that are neither used nor freed. */
  openHandles (): string[]
}

interface EngineRun {
  id: string
  /** Counts the runs of all engines. */
  number: number
  /** Parts of its prompt. */
  parts: readonly string[]
  created: number
  handler: ResponseHandler
  cancelTimer: () => void
  isOpen: boolean
}

interface Copy {
  id: string
  source: string
  target: string
  created: number
  isUsed: boolean
  isFreed: boolean
  isStopped: boolean
}

const partsIn = (prefix: string | undefined): string[] => prefix === undefined ? [] : prefix.split(',').map(part => part.split(':')[0]!)

export function createFakeEngines (clock: Clock): FakeEngines {
  const engines = new Map<string, FakeEngine & { runs: Map<string, EngineRun> }>()
  const records = new Map<string, RunRecord>()
  const copies = new Map<string, Copy>()
  const received: FakeEngines['received'] = []
  const reached: FakeEngines['reached'] = []
  const moveCalls: FakeEngines['moveCalls'] = []
  const freed: string[] = []
  let handles = 0
  let ids = 0

  const record = (id: string): RunRecord => {
    const found = records.get(id) ?? { id, starts: 0, runningAt: new Set<string>(), wasRunTwice: false }
    records.set(id, found)
    return found
  }
  const release = (address: string, run: EngineRun): void => {
    run.cancelTimer()
    run.isOpen = false
    const engine = engines.get(address)!
    if (engine.runs.get(run.id) === run) engine.runs.delete(run.id)
    record(run.id).runningAt.delete(address)
  }
  const finish = (address: string, run: EngineRun): void => {
    release(address, run)
    run.handler.onEnd('whole', 'response ended')
  }
  const generate = (address: string, run: EngineRun, delayMs: number): void => {
    const engine = engines.get(address)!
    run.cancelTimer = clock.schedule(delayMs, () => {
      const pausedMs = engine.pausedUntilMs - clock.monotonic()
      if (pausedMs > 0) return generate(address, run, pausedMs)
      if (run.created >= engine.silentAfter && run.number % engine.silentEvery === 0) return
      // A run that is resumed after its last event has only its end left.
      if (run.created >= engine.events) return finish(address, run)
      const crashing = run.parts.find(part => engine.crashesOn.has(part))
      if (crashing !== undefined) return engine.crash(crashing)
      run.created += 1
      if (run.isOpen) run.handler.onData(Buffer.from(`id: ${run.created}\ndata: ${engine.softwareVersion}\n\n`))
      if (run.created < engine.events) return generate(address, run, engine.gapMs)
      finish(address, run)
    })
  }
  const respond = (handler: ResponseHandler, status: number, id: string): void => {
    const headers = { [ATTEMPT_ID]: id, ...(status === 200 ? { [SIGNATURE]: 'sig' } : { 'x-magnoliabay-not-executed': '1' }) }
    handler.onHead({ status, headers, rawHeaders: Object.entries(headers).flat() })
  }
  const reject = (handler: ResponseHandler, id: string): void => {
    respond(handler, 503, id)
    handler.onEnd('whole', 'response ended')
  }
  const useCopy = (address: string, kvFrom: string, id: string): Copy | undefined => {
    const handle = kvFrom.slice(kvFrom.indexOf('/') + 1)
    const copy = copies.get(handle)
    const isAtPlace = copy !== undefined && kvFrom.startsWith(`${copy.source}/`) && (address === copy.source || address === copy.target)
    if (copy === undefined || !isAtPlace || copy.isUsed || copy.isFreed || !copy.isStopped || copy.id !== id) return undefined
    copy.isUsed = true
    return copy
  }
  const serve = (req: OutboundRequest, handler: ResponseHandler): { cancel: (reason: string) => void } => {
    const engine = engines.get(req.address)!
    const headers = Object.fromEntries(req.headers.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), req.headers[index + 1]!]] : []))
    received.push({ address: req.address, headers })
    handler.onSent?.({ forwarder: undefined, connection: received.length, priorRequests: 0 })
    const id = headers[ATTEMPT_ID]!
    let hasEnded = false
    const once: ResponseHandler = {
      onHead: head => { if (!hasEnded) handler.onHead(head) },
      onData: chunk => { if (!hasEnded) handler.onData(chunk) },
      onEnd: (end, reason) => {
        if (hasEnded) return
        hasEnded = true
        handler.onEnd(end, reason)
      }
    }
    const run: EngineRun = { id, number: received.length, parts: partsIn(headers['x-magnoliabay-prompt-prefix']), created: Number(headers['last-event-id'] ?? 0), handler: once, cancelTimer: () => {}, isOpen: true }
    const accept = (): void => {
      if (engine.isCrashed) return once.onEnd('unsent', 'connection refused')
      reached.push({ address: req.address, headers })
      const kvFrom = headers['kv-from']
      if (kvFrom !== undefined && (engine.rejectsCopies || useCopy(req.address, kvFrom, id) === undefined)) return reject(once, id)
      if (kvFrom === undefined && engine.runs.size >= engine.slots) return reject(once, id)
      const entry = record(id)
      if (kvFrom === undefined) entry.starts += 1
      if (entry.runningAt.size > 0) entry.wasRunTwice = true
      entry.runningAt.add(req.address)
      engine.runs.set(id, run)
      respond(once, 200, id)
      generate(req.address, run, kvFrom === undefined ? engine.firstMs : engine.gapMs)
    }
    run.cancelTimer = clock.schedule(1, accept)
    return {
      cancel: reason => {
        release(req.address, run)
        once.onEnd('broken', reason)
      }
    }
  }
  const stopRun = (address: string, run: EngineRun): void => {
    release(address, run)
    run.handler.onEnd(engines.get(address)!.closesAbruptly ? 'broken' : 'whole', 'response ended')
  }
  const copy = (source: string, target: string, run: EngineRun, isLast: boolean): string => {
    handles += 1
    const handle = `h${handles}`
    // The copy of an earlier call is brought up to date by the later one.
    copies.forEach(other => { if (other.id === run.id && other.source === source) other.isStopped ||= isLast })
    copies.set(handle, { id: run.id, source, target, created: run.created, isUsed: false, isFreed: false, isStopped: isLast })
    return handle
  }
  const moveRun: RunCalls['moveRun'] = async (server, { run: id, target, isLast, timeoutMs }) => {
    moveCalls.push({ source: server.address, target, isLast })
    const engine = engines.get(server.address)!
    const fault = engine.moveFaults.shift() ?? 'act'
    const pause = (ms: number): Promise<void> => new Promise(resolve => { clock.schedule(ms, resolve) })
    await pause(engine.moveMs)
    const unanswered = async (): Promise<MoveReply> => {
      await pause(Math.max(0, timeoutMs - engine.moveMs))
      return { kind: 'unanswered' }
    }
    if (engine.isCrashed || fault === 'lost') return await unanswered()
    const run = engine.runs.get(id)
    if (run === undefined || fault === 'no-run') return { kind: 'no-run' }
    if (fault === 'in-progress') return { kind: 'in-progress' }
    if (fault === 'no-room-no-handle' || (fault === 'no-room' && !isLast)) return { kind: 'no-room', handle: undefined }
    const { created } = run
    const handle = copy(server.address, target, run, isLast)
    if (isLast) stopRun(server.address, run)
    if (fault === 'no-reply') return await unanswered()
    return fault === 'no-room' ? { kind: 'no-room', handle } : { kind: 'copied', handle, createdEvents: created }
  }

  return {
    received,
    reached,
    moveCalls,
    freed,
    record,
    nextId: () => {
      ids += 1
      return `r${ids}`
    },
    openHandles: () => [...copies].filter(([, each]) => !each.isUsed && !each.isFreed).map(([handle]) => handle),
    connections: { exchange: serve, isAccepting: async address => !engines.get(address)!.isCrashed, probe: async address => engines.get(address)!.isCrashed ? 'refused' : 'accepted', forget: () => {}, close: () => {} },
    runCalls: {
      moveRun,
      freeRunCopy: async (_server, handle) => {
        freed.push(handle)
        const found = copies.get(handle)
        if (found !== undefined) found.isFreed = true
      }
    },
    add: (name, changes = {}) => {
      const address = `${name}:1`
      const runs = new Map<string, EngineRun>()
      const engine = {
        address,
        firstMs: 100,
        gapMs: 50,
        events: 10,
        slots: 16,
        softwareVersion: 'v1',
        bornMs: 1,
        silentAfter: Infinity,
        silentEvery: 1,
        rejectsCopies: false,
        closesAbruptly: false,
        moveFaults: [],
        moveMs: 20,
        runs,
        isCrashed: false,
        crashesOn: new Set<string>(),
        onCrashed: () => {},
        pausedUntilMs: -Infinity,
        pauseFor: (ms: number) => { engine.pausedUntilMs = clock.monotonic() + ms },
        running: () => [...runs.values()].filter(({ isOpen }) => isOpen).length,
        crash: (part?: string) => {
          if (engine.isCrashed) return
          engine.isCrashed = true;
          [...runs.values()].forEach(run => {
            release(address, run)
            run.handler.onEnd('broken', 'connection reset')
          })
          engine.onCrashed(part)
        },
        restart: (softwareVersion: string) => {
          engine.isCrashed = false
          engine.bornMs += 1
          engine.softwareVersion = softwareVersion
        },
        cutLink: () => [...runs.values()].forEach(run => {
          run.isOpen = false
          run.handler.onEnd('broken', 'link failed')
        }),
        ...changes
      }
      engines.set(address, engine)
      return engine
    }
  }
}
