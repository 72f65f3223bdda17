/**
 * Which replica a request goes to, and the wait while there is none.
 */
import type { BackendDirectory } from '../backend/directory'
import type { Cells, ReplicaEntry } from '../cells'
import type { Clock } from '../clock'
import type { ConfigProvider } from '../config'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { chooseReplica } from './replicaSelection'
import { createReplicaWaits } from './replicaWait'

export interface ReplicaRequest {
  /** A model, or an adapter, which needs its model at the same engine. */
  modelOrAdapter: string
  /** Team that waits; its weight counts in the order of loads. */
  team?: string
  /** Hash of the prompt's beginning, to bring alike prompts to one replica. */
  prefixHash?: string
  /** Monotonic time by which the request has to be on its way. */
  deadlineMs: number
  /** Engines not to use again, such as one that has just failed this request. One that loses its replica is taken out. */
  excludedEngines: Set<string>
  signal: AbortSignal
}

export interface AcquiredReplica {
  replica: ReplicaEntry
  /** To be called once, when the request has ended. */
  release: () => void
}

export interface ReplicaRouter {
  /** Chooses a replica, waiting for one to be loaded if none is. */
  acquireReplica (req: ReplicaRequest): Promise<Result<AcquiredReplica, Failure>>
  inFlight (engine: string): number
}

export interface RouterOptions {
  cells: Cells
  cfg: Pick<ConfigProvider, 'adapter' | 'team'>
  /** What the platform's list says about engines, to leave out those that are leaving. */
  directory: Pick<BackendDirectory, 'engine'>
  clock: Clock
}

interface Target {
  model: string
  adapter?: string
}

const RETRY_AFTER_SECONDS = 5

export function createReplicaRouter (options: RouterOptions): ReplicaRouter {
  const { cells, cfg, clock, directory } = options
  const inFlight = new Map<string, number>()
  const replicaWaits = createReplicaWaits(cells, clock)

  const changeInFlight = (engine: string, change: number): void => {
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
  const isNotLeaving = (replica: ReplicaEntry): boolean => directory.engine(replica.engine)?.status !== 'leaving'
  const targetOf = (name: string): Target => {
    const adapter = cfg.adapter(name)
    return adapter === undefined ? { model: name } : { model: adapter.model, adapter: name }
  }
  const isUsable = (req: ReplicaRequest, target: Target, replica: ReplicaEntry): boolean =>
    !req.excludedEngines.has(replica.engine) && isNotLeaving(replica) && (target.adapter === undefined || replica.adapters.includes(target.adapter))
  /**
   * An engine that has lost its replica since is no longer the one that failed, and its next load may serve. Without
   * this, a request whose only engine died would wait beside the replica loaded anew until its deadline.
   */
  const clearLostExclusions = (excludedEngines: Set<string>, all: readonly ReplicaEntry[]): void => {
    const lost = [...excludedEngines].filter(engine => !all.some(replica => replica.engine === engine))
    lost.forEach(engine => excludedEngines.delete(engine))
  }
  const choose = (req: ReplicaRequest, target: Target): AcquiredReplica | undefined => {
    const all = cells.replicas.replicasOf(target.model)
    clearLostExclusions(req.excludedEngines, all)
    const avoidDomains = new Set(all.filter(replica => req.excludedEngines.has(replica.engine)).map(replica => replica.failureDomain))
    const replica = chooseReplica({ replicas: all.filter(candidate => isUsable(req, target, candidate)), prefix: req.prefixHash, loadOf, avoidDomains })
    if (replica === undefined) return undefined
    changeInFlight(replica.engine, 1)
    cells.recordUse(target.model, target.adapter)
    return { replica, release: createRelease(target, replica.engine) }
  }
  const createRelease = ({ model, adapter }: Target, engine: string): () => void => {
    let isReleased = false
    return () => {
      if (isReleased) return
      isReleased = true
      changeInFlight(engine, -1)
      // A long answer is use until its end.
      cells.recordUse(model, adapter)
    }
  }
  const createTimeoutRefusal = (name: string, model: string): Failure => {
    const reason = replicaWaits.reasonFor(model)
    return createRefusal('deadline_exceeded', `No replica of ${name} became ready in time${reason === undefined ? '' : `: ${reason}`}.`, RETRY_AFTER_SECONDS)
  }
  return {
    inFlight: engine => inFlight.get(engine) ?? 0,
    acquireReplica: async req => {
      const target = targetOf(req.modelOrAdapter)
      const acquiredNow = choose(req, target)
      if (acquiredNow !== undefined) return Ok(acquiredNow)
      const acquired = await replicaWaits.wait({
        ...target,
        deadlineMs: req.deadlineMs,
        weight: cfg.team(req.team ?? '')?.weight ?? 1,
        signal: req.signal,
        tryAcquire: () => choose(req, target)
      })
      return acquired === undefined ? Err(createTimeoutRefusal(req.modelOrAdapter, target.model)) : Ok(acquired)
    }
  }
}
