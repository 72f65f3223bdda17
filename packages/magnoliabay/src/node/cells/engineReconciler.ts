/**
 * Reconciles the accounts of a cell's engines with the engines: takes over listed engines, reads the state of each
 * periodically, and drops engines that were reclaimed.
 */
import { inBackground } from '../background'
import type { EngineState } from '../backend/protocol'
import type { ListedInstance } from '../store'
import { dropIfGone } from './engineAccount'
import type { EngineAccount, Replica } from './engineAccount'
import type { CellLeaderContext } from './context'
import type { ReplicaOps } from './replicaOps'
import type { Intent } from './records'
import { adoptModel, applyEngineState, takeOverEngine } from './engineTakeover'

/** Interval between two reads of an engine's state. */
const STATE_READ_INTERVAL_MS = 2000
/**
 * An engine is dropped when it has been neither in the platform's list nor reachable for this long. The list
 * alone may be wrong by one engine, and an unreachable engine may still hold its memory; both together, for longer than
 * the list lags, mean that the engine was reclaimed.
 */
const MISSING_TIMEOUT_MS = 30_000
const TAKEOVER_RETRY_DELAY_MS = 1000

export interface EngineReconcilerOptions {
  ctx: CellLeaderContext
  ops: ReplicaOps
  /** Engines of this cell in the platform's list. */
  listedEngines: () => readonly ListedInstance[]
  readInheritedIntents: () => ReturnType<Parameters<typeof takeOverEngine>[0]['readInheritedIntents']>
  /** Intents that former leaders recorded for the engine. */
  inheritedIntentsOf: (engine: string) => readonly Intent[]
  areFormerLeadersInactive: () => boolean
  onEngineDropped: (engine: string) => void
}

export interface EngineReconciler {
  reconcile (): void
}

export function createEngineReconciler (options: EngineReconcilerOptions): EngineReconciler {
  const { ctx, ops } = options
  const { clock, logger, accounts } = ctx
  const busy = new Set<string>()
  const nextReadAtMs = new Map<string, number>()

  const takeOver = async (listed: ListedInstance): Promise<void> => {
    nextReadAtMs.set(listed.id, clock.monotonic() + TAKEOVER_RETRY_DELAY_MS)
    const takeover = await takeOverEngine({
      listed,
      fence: ctx.fence,
      nowMs: clock.monotonic(),
      engines: ctx.engines,
      readInheritedIntents: options.readInheritedIntents,
      areFormerLeadersInactive: options.areFormerLeadersInactive
    })
    if (ctx.isStopped()) return
    if (takeover.kind === 'superseded') return ctx.supersede('an engine has a newer fencing token')
    if (takeover.kind === 'refused') return logger.warn('engine-not-taken-up', { engine: listed.id, reason: takeover.reason })
    accounts.set(listed.id, takeover.account)
    logger.info('engine-taken-up', { engine: listed.id, models: [...takeover.account.replicas.keys()], unresolved: takeover.unresolved.length })
    ctx.publish()
    // The engine now refuses all orders of former leaders, so their intents are settled.
    if (takeover.account.checksFence) forgetInheritedIntents(listed.id)
    takeover.unresolved.forEach(intent => { inBackground('resolve-intent', ops.resolveIntent(takeover.account, intent)) })
  }
  const forgetInheritedIntents = (engine: string): void =>
    options.inheritedIntentsOf(engine).forEach(intent => ctx.intents.forget(intent.orderId))
  const readState = async (account: EngineAccount, address: string): Promise<void> => {
    const startedMs = clock.monotonic()
    nextReadAtMs.set(account.engine, startedMs + STATE_READ_INTERVAL_MS)
    const state = await ctx.engines.state(address)
    if (ctx.isStopped()) return
    const wasUsable = isUsable(account)
    recordReachability(account, state)
    const changed = state.ok && applyState(account, state.val, startedMs)
    if (changed || wasUsable !== isUsable(account)) ctx.publish()
  }
  const recordReachability = (account: EngineAccount, state: Awaited<ReturnType<typeof ctx.engines.state>>): void => {
    const wasReachable = account.isReachable
    account.isReachable = state.ok
    if (wasReachable && state.err) logger.warn('engine-unreachable', { engine: account.engine, models: [...account.replicas.keys()], reason: state.val.message })
    if (!wasReachable && state.ok) logger.info('engine-reachable', { engine: account.engine })
  }
  /** Applies the state that an engine reports to its account. Returns whether the loaded models have changed. */
  const applyState = (account: EngineAccount, state: EngineState, startedMs: number): boolean => {
    const restarted = state.incarnation !== account.incarnation
    if (restarted) logger.warn('engine-restarted', { engine: account.engine, incarnation: state.incarnation })
    applyEngineState(account, state)
    state.models.filter(reported => reported.state === 'loaded').forEach(reported => ctx.orderSender.markDone(reported.orderId))
    if (restarted) account.adapters.clear()
    // An answer that arrived during the read is newer than this state.
    if (account.lastAnswerMs >= startedMs && !restarted) return false
    const settled = [...account.replicas.values()].filter(replica => !replica.hasOpenOrder)
    const hasChanged = settled.map(replica => applyReplicaState(account, replica, state)).some(isChanged => isChanged)
    const unaccounted = state.models.filter(reported => !account.replicas.has(reported.model))
    unaccounted.forEach(reported => adoptModel(account, reported, clock.monotonic()))
    return hasChanged || unaccounted.length > 0 || restarted
  }
  /** Applies the state that an engine reports to a replica without an order in flight. */
  const applyReplicaState = (account: EngineAccount, replica: Replica, state: EngineState): boolean => {
    const reported = state.models.find(model => model.model === replica.model)
    if (reported?.state === 'loaded') return replica.lifecycle.send('confirm')
    if (reported !== undefined || !replica.lifecycle.send('lose')) return false
    logger.warn('replica-lost', { model: replica.model, engine: account.engine })
    dropIfGone(account, replica)
    return true
  }
  const dropIfMissing = (account: EngineAccount, isListed: boolean): void => {
    if (isListed || account.isReachable) {
      account.missingSinceMs = undefined
      return
    }
    account.missingSinceMs ??= clock.monotonic()
    if (clock.monotonic() - account.missingSinceMs < MISSING_TIMEOUT_MS) return
    logger.warn('engine-gone', { engine: account.engine, models: [...account.replicas.keys()] })
    accounts.delete(account.engine)
    options.onEngineDropped(account.engine)
    forgetInheritedIntents(account.engine)
    addresses.delete(account.engine)
    ctx.publish()
  }
  const addresses = new Map<string, string>()
  const runExclusive = async (engine: string, task: () => Promise<void>): Promise<void> => {
    if (busy.has(engine) || clock.monotonic() < (nextReadAtMs.get(engine) ?? 0)) return
    busy.add(engine)
    await task()
    busy.delete(engine)
  }

  return {
    reconcile: () => {
      const listed = options.listedEngines()
      listed.forEach(engine => addresses.set(engine.id, engine.address))
      const ids = new Set(listed.map(engine => engine.id))
      const known = [...accounts.values()]
      known.forEach(account => dropIfMissing(account, ids.has(account.engine)))
      listed.filter(engine => !accounts.has(engine.id)).forEach(engine => { inBackground('run-exclusive', runExclusive(engine.id, () => takeOver(engine))) })
      known.filter(account => accounts.has(account.engine)).forEach(account => {
        inBackground('run-exclusive', runExclusive(account.engine, () => readState(account, addresses.get(account.engine)!)))
      })
    }
  }
}

/** Whether requests may be sent to the engine. */
export function isUsable (account: EngineAccount): boolean {
  return account.isReachable && !account.isLeaving
}
