/**
 * Chooses the replica for a request, and waits while there is none.
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
  /** Team of the request; its weight affects the order of model loads. */
  team?: string
  /** Hash of the prompt's prefix, so that similar prompts go to one replica. */
  prefixHash?: string
  /** Monotonic milliseconds by which the request has to be sent. */
  deadlineMs: number
  /**
   * Engines not to use, such as one that has just failed this request. An engine that loses its replica is removed from
   * the set.
   */
  excludedEngines: Set<string>
  signal: AbortSignal
}

export interface AcquiredReplica {
  replica: ReplicaEntry
  /** Releases the replica. Called once, when the request has ended. */
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
  /** The platform's list of engines, to exclude those that are leaving. */
  directory: Pick<BackendDirectory, 'engine'>
  /** Whether the engine at an address has said that it leaves. */
  isLeaving: (address: string) => boolean
  /** Time for which the engine at an address takes no requests, as it has stated, milliseconds. */
  refusedForMs: (address: string) => number
  clock: Clock
}

interface Target {
  model: string
  adapter?: string
}

const RETRY_AFTER_SECONDS = 5
const MS_PER_SECOND = 1000

export function createReplicaRouter (options: RouterOptions): ReplicaRouter {
  const { cells, cfg, clock, directory } = options
  const inFlight = new Map<string, number>()
  const replicaWaits = createReplicaWaits(cells, clock)

  const changeInFlight = (engine: string, change: number): void => {
    const next = (inFlight.get(engine) ?? 0) + change
    if (next === 0) inFlight.delete(engine)
    else inFlight.set(engine, next)
  }
  /** The reported load lags but covers all instances; the local count is current but covers this instance alone. */
  const loadOf = (engine: string): number => Math.max(cells.loadOf(engine), inFlight.get(engine) ?? 0)
  /**
   * A table may be out of date: its cell leader may be paused, unreachable from here, or terminated. Every instance
   * reads the platform's list itself, so that leaving engines get no new requests after the lag of that list.
   */
  const isNotLeaving = (replica: ReplicaEntry): boolean => directory.engine(replica.engine)?.status !== 'leaving' && !options.isLeaving(replica.address)
  const targetOf = (name: string): Target => {
    const adapter = cfg.adapter(name)
    return adapter === undefined ? { model: name } : { model: adapter.model, adapter: name }
  }
  const isUsable = (req: ReplicaRequest, target: Target, replica: ReplicaEntry): boolean =>
    !req.excludedEngines.has(replica.engine) && isNotLeaving(replica) && (target.adapter === undefined || replica.adapters.includes(target.adapter))
  /**
   * Removes the exclusion of engines that have since lost their replica: a replica loaded there later may serve.
   * Otherwise a request whose only engine died would wait until its deadline beside the reloaded replica.
   */
  const clearLostExclusions = (excludedEngines: Set<string>, all: readonly ReplicaEntry[]): void => {
    const lost = [...excludedEngines].filter(engine => !all.some(replica => replica.engine === engine))
    lost.forEach(engine => excludedEngines.delete(engine))
  }
  /** Returns the time after which the first replica takes requests again, if all that could serve this one take none now. */
  const refusedForMs = (req: ReplicaRequest, target: Target): number => {
    const usable = cells.replicas.replicasOf(target.model).filter(candidate => isUsable(req, target, candidate))
    return usable.length === 0 ? 0 : Math.min(...usable.map(replica => options.refusedForMs(replica.address)))
  }
  const choose = (req: ReplicaRequest, target: Target): AcquiredReplica | undefined => {
    const all = cells.replicas.replicasOf(target.model)
    clearLostExclusions(req.excludedEngines, all)
    const avoidDomains = new Set(all.filter(replica => req.excludedEngines.has(replica.engine)).map(replica => replica.failureDomain))
    const replica = chooseReplica({ replicas: all.filter(candidate => isUsable(req, target, candidate) && options.refusedForMs(candidate.address) === 0), prefix: req.prefixHash, loadOf, avoidDomains })
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
      // A long response counts as use until its end.
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
      const refusedMs = refusedForMs(req, target)
      if (refusedMs > 0) return Err(createRefusal('overloaded', `The engines with ${req.modelOrAdapter} take no more requests for the moment.`, refusedMs / MS_PER_SECOND))
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
