/**
 * Which replica a request goes to, and the wait while there is none.
 */
import type { Directory } from '../backend/directory'
import type { Cells, ReplicaEntry } from '../cells'
import type { Clock } from '../clock'
import { refusal } from '../failures'
import type { Failure } from '../failures'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { chooseReplica } from './choice'
import { createWaitingRoom } from './waiting'

export interface RouteRequest {
  model: string
  /** Adapter of the model that has to be loaded there as well. */
  adapter?: string
  /** Hash of the prompt's beginning, to bring alike prompts to one replica. */
  prefix?: string
  /** Weight of the team that waits. @default 1 */
  weight?: number
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
  /** What the platform's list says about engines, to leave out those that are leaving. */
  directory: Pick<Directory, 'engine'>
  clock: Clock
}

const RETRY_AFTER_SECONDS = 5

export function createRouting (options: RoutingOptions): Routing {
  const { cells, clock, directory } = options
  const inFlight = new Map<string, number>()
  const waitingRoom = createWaitingRoom(cells, clock)

  const count = (engine: string, change: number): void => {
    const next = (inFlight.get(engine) ?? 0) + change
    if (next === 0) inFlight.delete(engine)
    else inFlight.set(engine, next)
  }
  /** The report lags, but counts all instances; our own count is of now, but of this instance alone. */
  const loadOf = (engine: string): number => Math.max(cells.loadOf(engine), inFlight.get(engine) ?? 0)
  /**
   * A table may be old: its steward may be paused, cut off from us, or gone. The platform's list, which every
   * instance reads itself, takes leaving engines out all the same, so they get nothing new within its lag.
   */
  const isStaying = (replica: ReplicaEntry): boolean => directory.engine(replica.engine)?.status !== 'leaving'
  const isUsable = (req: RouteRequest, replica: ReplicaEntry): boolean =>
    !req.avoid.has(replica.engine) && isStaying(replica) && (req.adapter === undefined || replica.adapters.includes(req.adapter))
  const choose = (req: RouteRequest): Route | undefined => {
    const all = cells.replicas.of(req.model)
    const avoidDomains = new Set(all.filter(replica => req.avoid.has(replica.engine)).map(replica => replica.failureDomain))
    const replica = chooseReplica({ replicas: all.filter(candidate => isUsable(req, candidate)), prefix: req.prefix, loadOf, avoidDomains })
    if (replica === undefined) return undefined
    count(replica.engine, 1)
    cells.noteUsed(req.model, req.adapter)
    return { replica, release: releaseOnce(req, replica.engine) }
  }
  const releaseOnce = (req: RouteRequest, engine: string): () => void => {
    let isReleased = false
    return () => {
      if (isReleased) return
      isReleased = true
      count(engine, -1)
      // A long answer is use until its end.
      cells.noteUsed(req.model, req.adapter)
    }
  }
  const refuse = (model: string): Failure => {
    const reason = waitingRoom.reasonFor(model)
    return refusal('deadline_exceeded', `No replica of ${model} became ready in time${reason === undefined ? '' : `: ${reason}`}.`, RETRY_AFTER_SECONDS)
  }
  return {
    inFlight: engine => inFlight.get(engine) ?? 0,
    acquire: async req => {
      const immediate = choose(req)
      if (immediate !== undefined) return Ok(immediate)
      const route = await waitingRoom.wait({
        model: req.model,
        adapter: req.adapter,
        deadlineMs: req.deadlineMs,
        weight: req.weight ?? 1,
        signal: req.signal,
        attempt: () => choose(req)
      })
      return route === undefined ? Err(refuse(req.model)) : Ok(route)
    }
  }
}
