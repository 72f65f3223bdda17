/**
 * Keeps the accounts of a cell's engines in step with the engines: takes up those that came, looks at each again
 * and again, and lets go of those that are gone.
 */
import type { EngineState } from '../backend/protocol'
import type { ListedInstance } from '../store'
import { dropIfGone } from './engineAccount'
import type { EngineAccount, Replica } from './engineAccount'
import type { CellLeaderContext } from './context'
import type { ReplicaOps } from './replicaOps'
import type { Intent } from './records'
import { adopt, noteState, takeUpEngine } from './engineTakeover'

/** How often an engine's state is read. */
const LOOK_PERIOD_MS = 2000
/**
 * An engine is given up when it has been neither in the platform's list nor reachable for this long. The list
 * alone may be wrong by one, and an unreachable engine may still hold its memory; both together, for longer than
 * the list lags, mean that it was reclaimed.
 */
const GONE_AFTER_MS = 30_000
const TAKE_UP_RETRY_MS = 1000

export interface EngineCareOptions {
  ctx: CellLeaderContext
  ops: ReplicaOps
  /** Engines of this cell that are listed. */
  listed: () => readonly ListedInstance[]
  earlier: () => ReturnType<Parameters<typeof takeUpEngine>[0]['earlier']>
  /** Recorded by earlier stewards for the engine. */
  inheritedOf: (engine: string) => readonly Intent[]
  areAllAccountedFor: () => boolean
  onGivenUp: (engine: string) => void
}

export interface EngineCare {
  tend (): void
}

export function createEngineCare (options: EngineCareOptions): EngineCare {
  const { ctx, ops } = options
  const { clock, logger, accounts } = ctx
  const busy = new Set<string>()
  const nextLookMs = new Map<string, number>()

  const takeUp = async (listed: ListedInstance): Promise<void> => {
    nextLookMs.set(listed.id, clock.monotonic() + TAKE_UP_RETRY_MS)
    const taken = await takeUpEngine({
      listed,
      fence: ctx.fence,
      nowMs: clock.monotonic(),
      engines: ctx.engines,
      earlier: options.earlier,
      areAllAccountedFor: options.areAllAccountedFor
    })
    if (ctx.isStopped()) return
    if (taken.kind === 'superseded') return ctx.supersede('an engine knows a newer fencing number')
    if (taken.kind === 'refused') return logger.warn('engine-not-taken-up', { engine: listed.id, reason: taken.reason })
    accounts.set(listed.id, taken.account)
    logger.info('engine-taken-up', { engine: listed.id, models: [...taken.account.replicas.keys()], unresolved: taken.unresolved.length })
    ctx.publish()
    // Behind the raised fence, nothing that was ordered before can begin any more.
    if (taken.account.checksFence) forgetInherited(listed.id)
    taken.unresolved.forEach(intent => { ops.resolve(taken.account, intent) })
  }
  const forgetInherited = (engine: string): void =>
    options.inheritedOf(engine).forEach(intent => ctx.intents.forget(intent.orderId))
  const look = async (account: EngineAccount, address: string): Promise<void> => {
    const startedMs = clock.monotonic()
    nextLookMs.set(account.engine, startedMs + LOOK_PERIOD_MS)
    const state = await ctx.engines.state(address)
    if (ctx.isStopped()) return
    const wasUsable = isUsable(account)
    noteReach(account, state)
    const changed = state.ok && compare(account, state.val, startedMs)
    if (changed || wasUsable !== isUsable(account)) ctx.publish()
  }
  const noteReach = (account: EngineAccount, state: Awaited<ReturnType<typeof ctx.engines.state>>): void => {
    const wasReachable = account.isReachable
    account.isReachable = state.ok
    if (wasReachable && state.err) logger.warn('engine-unreachable', { engine: account.engine, models: [...account.replicas.keys()], reason: state.val.message })
    if (!wasReachable && state.ok) logger.info('engine-reachable', { engine: account.engine })
  }
  /** True when what is loaded has changed. */
  const compare = (account: EngineAccount, state: EngineState, startedMs: number): boolean => {
    const restarted = state.incarnation !== account.incarnation
    if (restarted) logger.warn('engine-restarted', { engine: account.engine, incarnation: state.incarnation })
    noteState(account, state)
    state.models.filter(held => held.state === 'loaded').forEach(held => ctx.sender.settle(held.orderId))
    if (restarted) account.adapters.clear()
    // An answer that came in meanwhile is newer than this state.
    if (account.lastAnswerMs >= startedMs && !restarted) return false
    const settled = [...account.replicas.values()].filter(replica => !replica.hasOpenOrder)
    const moved = settled.map(replica => follow(account, replica, state)).some(isMoved => isMoved)
    const foreign = state.models.filter(held => !account.replicas.has(held.model))
    foreign.forEach(held => adopt(account, held, clock.monotonic()))
    return moved || foreign.length > 0 || restarted
  }
  /** Follows what the engine says about a replica that no order is under way for. */
  const follow = (account: EngineAccount, replica: Replica, state: EngineState): boolean => {
    const held = state.models.find(model => model.model === replica.model)
    if (held?.state === 'loaded') return replica.life.send('confirm')
    if (held !== undefined || !replica.life.send('lose')) return false
    logger.warn('replica-lost', { model: replica.model, engine: account.engine })
    dropIfGone(account, replica)
    return true
  }
  const noteMissing = (account: EngineAccount, isListed: boolean): void => {
    if (isListed || account.isReachable) {
      account.missingSinceMs = undefined
      return
    }
    account.missingSinceMs ??= clock.monotonic()
    if (clock.monotonic() - account.missingSinceMs < GONE_AFTER_MS) return
    logger.warn('engine-gone', { engine: account.engine, models: [...account.replicas.keys()] })
    accounts.delete(account.engine)
    options.onGivenUp(account.engine)
    forgetInherited(account.engine)
    addresses.delete(account.engine)
    ctx.publish()
  }
  const addresses = new Map<string, string>()
  const once = async (engine: string, task: () => Promise<void>): Promise<void> => {
    if (busy.has(engine) || clock.monotonic() < (nextLookMs.get(engine) ?? 0)) return
    busy.add(engine)
    await task()
    busy.delete(engine)
  }

  return {
    tend: () => {
      const listed = options.listed()
      listed.forEach(engine => addresses.set(engine.id, engine.address))
      const ids = new Set(listed.map(engine => engine.id))
      const kept = [...accounts.values()]
      kept.forEach(account => noteMissing(account, ids.has(account.engine)))
      listed.filter(engine => !accounts.has(engine.id)).forEach(engine => { once(engine.id, () => takeUp(engine)) })
      kept.filter(account => accounts.has(account.engine)).forEach(account => {
        once(account.engine, () => look(account, addresses.get(account.engine)!))
      })
    }
  }
}

/** Whether requests may be sent there. */
export function isUsable (account: EngineAccount): boolean {
  return account.isReachable && !account.isLeaving
}
