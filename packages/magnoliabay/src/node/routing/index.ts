/**
 * Which replica a request goes to, and the wait while there is none.
 */
import type { Cells, ReplicaEntry } from '../cells'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import { refusal } from '../failures'
import type { Failure } from '../failures'
import { Err, Ok } from '../result'
import type { Result } from '../result'

/** How often a waiting request tells the steward again; it also meets a demand that got lost. */
const DEMAND_PERIOD_MS = 500

export interface RouteRequest {
  model: string
  /** Monotonic time by which the request has to be on its way. */
  deadlineMs: number
  /** Engines not to use again, such as one that has just failed this request. */
  avoid: ReadonlySet<string>
  signal: AbortSignal
}

export interface Route {
  replica: ReplicaEntry
  /** To be called once, when the request has ended. */
  release: () => void
}

export interface Routing {
  /** Chooses a replica, waiting for one to be loaded if none is. */
  acquire (req: RouteRequest): Promise<Result<Route, Failure>>
  inFlight (engine: string): number
}

export interface RoutingOptions {
  cells: Cells
  clock: Clock
}

export function createRouting (options: RoutingOptions): Routing {
  const { cells, clock } = options
  const inFlight = new Map<string, number>()
  const waiting = new Map<string, number>()

  const count = (counts: Map<string, number>, key: string, change: number): number => {
    const next = (counts.get(key) ?? 0) + change
    if (next === 0) counts.delete(key)
    else counts.set(key, next)
    return next
  }
  const choose = (req: RouteRequest): Route | undefined => {
    const usable = cells.replicas.of(req.model).filter(replica => !req.avoid.has(replica.engine))
    const replica = usable.sort((left, right) => (inFlight.get(left.engine) ?? 0) - (inFlight.get(right.engine) ?? 0))[0]
    if (replica === undefined) return undefined
    count(inFlight, replica.engine, 1)
    cells.noteUsed(req.model)
    return { replica, release: () => count(inFlight, replica.engine, -1) }
  }
  const waitForChange = async (req: RouteRequest): Promise<void> => {
    const woken = new AbortController()
    const dispose = cells.replicas.onChanged(() => woken.abort())
    await sleep(clock, DEMAND_PERIOD_MS, AbortSignal.any([woken.signal, req.signal]))
    dispose()
  }
  return {
    inFlight: engine => inFlight.get(engine) ?? 0,
    acquire: async req => {
      const immediate = choose(req)
      if (immediate !== undefined) return Ok(immediate)
      count(waiting, req.model, 1)
      try {
        while (clock.monotonic() < req.deadlineMs && !req.signal.aborted) {
          const changed = waitForChange(req)
          await cells.demand(req.model, waiting.get(req.model) ?? 1)
          const route = choose(req)
          if (route !== undefined) return Ok(route)
          await changed
          const later = choose(req)
          if (later !== undefined) return Ok(later)
        }
      } finally {
        count(waiting, req.model, -1)
      }
      return Err(refusal('deadline_exceeded', `No replica of ${req.model} became ready in time.`, 5))
    }
  }
}
