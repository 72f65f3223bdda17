/**
 * Carries out decisions about replicas and adapters. Memory is charged first, then the intent is recorded, then the order
 * is sent until it is answered. Only the answer changes the state of the replica.
 */
import type { CheckpointTier, Order, OrderOutcome } from '../backend/protocol'
import { createId } from '../utils'
import { addReplica, dropIfGone, freeMiB } from './engineAccount'
import type { EngineAccount, Replica } from './engineAccount'
import type { CellLeaderContext } from './context'
import type { OrderResult } from './orderSender'
import type { Intent } from './records'

export type LoadResult = 'loaded' | 'refused' | 'not-recorded' | 'stopped'

export interface LoadDecision {
  model: string
  version: string
  memoryMiB: number
  tier: CheckpointTier
  victims: readonly Replica[]
  reason: string
}

export interface ReplicaOps {
  load (account: EngineAccount, decision: LoadDecision): Promise<LoadResult>
  unload (account: EngineAccount, replica: Replica, reason: string): Promise<void>
  /** Changes the version of a loaded replica in place. */
  setVersion (account: EngineAccount, replica: Replica, version: string): Promise<void>
  loadAdapter (account: EngineAccount, adapter: string, model: string, memoryMiB: number): Promise<void>
  unloadAdapter (account: EngineAccount, adapter: string): Promise<void>
  /** Resends an order of a former leader under its original id, to learn its outcome. */
  resolveIntent (account: EngineAccount, intent: Intent): Promise<void>
}

type OrderBody = Pick<Intent, 'action' | 'model' | 'adapter' | 'version' | 'memoryMiB'>

const DONE_OUTCOMES: ReadonlySet<OrderOutcome> = new Set<OrderOutcome>(['done', 'already-done'])

export function createReplicaOps (ctx: CellLeaderContext): ReplicaOps {
  const { cell, fence, clock, logger, intents } = ctx

  const isDone = (result: OrderResult): boolean => result.kind === 'answered' && DONE_OUTCOMES.has(result.outcome)
  /** Sends an order and waits for its result. Stops this leader if the engine refuses its fencing token. */
  const send = async (account: EngineAccount, intent: Intent, onUnanswered: () => void): Promise<OrderResult> => {
    const { orderId, action, model, adapter, version, memoryMiB } = intent
    const order: Order = { orderId, fence: intent.fence, action, model, adapter, version, memoryMiB }
    const result = await ctx.orderSender.send(account.engine, order, onUnanswered)
    account.lastAnswerMs = clock.monotonic()
    if (result.kind === 'stopped') return result
    intents.forget(orderId)
    if (result.kind === 'answered' && result.outcome === 'stale-fence' && intent.fence === fence) {
      ctx.supersede('an engine refused the fencing token')
      return { kind: 'stopped' }
    }
    return result
  }
  const intentOf = (account: EngineAccount, orderId: string, body: OrderBody): Intent =>
    ({ orderId, cell, fence, engine: account.engine, ...body })
  const record = async (intent: Intent): Promise<boolean> => {
    const outcome = await intents.record(intent)
    if (outcome === 'superseded') ctx.supersede('the leader key has changed')
    return (outcome === 'stored' || outcome === 'on-peers') && !ctx.isStopped()
  }
  const abandon = (account: EngineAccount, replica: Replica, result: LoadResult): LoadResult => {
    replica.lifecycle.send('abandon')
    dropIfGone(account, replica)
    return result
  }

  const load: ReplicaOps['load'] = async (account, decision) => {
    const { model, version, memoryMiB, tier } = decision
    const replica = addReplica(account, { engine: account.engine, model, version, memoryMiB, orderId: createId('order'), nowMs: clock.monotonic() })
    replica.hasOpenOrder = true
    logger.info('replica-decided', { model, engine: account.engine, order: replica.orderId, reason: decision.reason })
    await Promise.all(decision.victims.map(victim => unload(account, victim, `makes room for ${model}`)))
    // Only a confirmed unload frees memory. If one failed, the account is overcommitted and no order is sent.
    if (freeMiB(account) < 0) return abandon(account, replica, 'refused')
    const intent = intentOf(account, replica.orderId, { action: 'load', model, version, memoryMiB })
    if (!await record(intent)) return abandon(account, replica, ctx.isStopped() ? 'stopped' : 'not-recorded')
    replica.lifecycle.send('record')
    replica.lifecycle.send('order')
    const sentMs = clock.monotonic()
    const result = await send(account, intent, () => replica.lifecycle.send('silence'))
    replica.hasOpenOrder = false
    if (result.kind === 'stopped') return 'stopped'
    replica.lifecycle.send(isDone(result) ? 'confirm' : 'fail')
    dropIfGone(account, replica)
    if (!isDone(result)) return 'refused'
    replica.loadedAtMs = clock.monotonic()
    replica.lastUsedMs = replica.loadedAtMs
    ctx.loadTimes.recordLoad(tier, memoryMiB, replica.loadedAtMs - sentMs)
    ctx.publish()
    return 'loaded'
  }
  const unload: ReplicaOps['unload'] = async (account, replica, reason) => {
    if (!replica.lifecycle.send('unload')) return
    replica.hasOpenOrder = true
    replica.orderId = createId('order')
    logger.info('unload-decided', { model: replica.model, engine: account.engine, order: replica.orderId, reason })
    // Entry instances stop sending requests before the engine gets the order.
    ctx.publish()
    const intent = intentOf(account, replica.orderId, { action: 'unload', model: replica.model, memoryMiB: replica.memoryMiB })
    const isRecorded = await record(intent)
    const result = isRecorded ? await send(account, intent, () => replica.lifecycle.send('silence')) : undefined
    replica.hasOpenOrder = false
    if (result?.kind === 'stopped' || ctx.isStopped()) return
    replica.lifecycle.send(result !== undefined && (isDone(result) || result.kind === 'engine-gone') ? 'remove' : 'confirm')
    dropIfGone(account, replica)
    ctx.publish()
  }
  const setVersion: ReplicaOps['setVersion'] = async (account, replica, version) => {
    replica.hasOpenOrder = true
    const intent = intentOf(account, createId('order'), { action: 'set-version', model: replica.model, version, memoryMiB: replica.memoryMiB })
    logger.info('version-change-decided', { model: replica.model, engine: account.engine, version, order: intent.orderId })
    const result = await record(intent) ? await send(account, intent, () => {}) : undefined
    replica.hasOpenOrder = false
    if (result === undefined || !isDone(result)) return
    replica.version = version
    ctx.publish()
  }
  const loadAdapter: ReplicaOps['loadAdapter'] = async (account, adapter, model, memoryMiB) => {
    const charge = { adapter, model, memoryMiB, isLoaded: false, lastUsedMs: clock.monotonic() }
    account.adapters.set(adapter, charge)
    const intent = intentOf(account, createId('order'), { action: 'load-adapter', model, adapter, memoryMiB })
    const result = await record(intent) ? await send(account, intent, () => {}) : undefined
    if (result?.kind === 'stopped' || ctx.isStopped()) return
    charge.isLoaded = result !== undefined && isDone(result)
    if (!charge.isLoaded) account.adapters.delete(adapter)
    ctx.publish()
  }
  const unloadAdapter: ReplicaOps['unloadAdapter'] = async (account, adapter) => {
    const charge = account.adapters.get(adapter)
    if (charge === undefined || !charge.isLoaded) return
    charge.isLoaded = false
    ctx.publish()
    const intent = intentOf(account, createId('order'), { action: 'unload-adapter', model: charge.model, adapter, memoryMiB: charge.memoryMiB })
    const result = await record(intent) ? await send(account, intent, () => {}) : undefined
    if (result?.kind === 'stopped' || ctx.isStopped()) return
    if (result !== undefined && isDone(result)) account.adapters.delete(adapter)
    else charge.isLoaded = true
    ctx.publish()
  }
  const resolve: ReplicaOps['resolveIntent'] = async (account, intent) => {
    const replica = account.replicas.get(intent.model)
    if (replica !== undefined) replica.hasOpenOrder = true
    const result = await send(account, intent, () => {})
    if (replica !== undefined) replica.hasOpenOrder = false
    if (result.kind === 'stopped') return
    if (intent.action === 'load' && replica?.lifecycle.state() === 'unknown') replica.lifecycle.send(isDone(result) ? 'confirm' : 'fail')
    if (intent.action === 'unload' && isDone(result)) {
      replica?.lifecycle.send('unload')
      replica?.lifecycle.send('remove')
    }
    if (replica !== undefined) dropIfGone(account, replica)
    if (intent.action === 'load-adapter' && !isDone(result)) account.adapters.delete(intent.adapter!)
    const adapter = account.adapters.get(intent.adapter ?? '')
    if (intent.action === 'load-adapter' && adapter !== undefined) adapter.isLoaded = true
    ctx.publish()
  }
  return { load, unload, setVersion, loadAdapter, unloadAdapter, resolveIntent: resolve }
}
