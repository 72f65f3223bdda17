/**
 * Carrying a decision out: the memory is charged, the intent recorded, the order sent until it is answered,
 * and only the answer moves the replica on.
 */
import type { CheckpointTier, Order, OrderOutcome } from '../backend/protocol'
import { createId } from '../utils'
import { addReplica, dropIfGone, freeMiB } from './engineAccount'
import type { EngineAccount, Replica } from './engineAccount'
import type { CellLeaderContext } from './context'
import type { OrderEnd } from './orderSender'
import type { Intent } from './records'

export type LoadEnd = 'loaded' | 'refused' | 'not-recorded' | 'stopped'

export interface LoadDecision {
  model: string
  version: string
  memoryMiB: number
  tier: CheckpointTier
  victims: readonly Replica[]
  reason: string
}

export interface ReplicaOps {
  load (account: EngineAccount, decision: LoadDecision): Promise<LoadEnd>
  unload (account: EngineAccount, replica: Replica, reason: string): Promise<void>
  /** Changes the version of a loaded replica in place. */
  setVersion (account: EngineAccount, replica: Replica, version: string): Promise<void>
  loadAdapter (account: EngineAccount, adapter: string, model: string, memoryMiB: number): Promise<void>
  unloadAdapter (account: EngineAccount, adapter: string): Promise<void>
  /** Sends an order of an earlier steward again, under its own id, to learn what became of it. */
  resolve (account: EngineAccount, intent: Intent): Promise<void>
}

type OrderBody = Pick<Intent, 'action' | 'model' | 'adapter' | 'version' | 'memoryMiB'>

const DONE: ReadonlySet<OrderOutcome> = new Set<OrderOutcome>(['done', 'already-done'])

export function createReplicaOps (ctx: CellLeaderContext): ReplicaOps {
  const { cell, fence, clock, logger, intents } = ctx

  const isDone = (end: OrderEnd): boolean => end.kind === 'answered' && DONE.has(end.outcome)
  /** Sends and waits; a refused fencing number ends this steward. */
  const send = async (account: EngineAccount, intent: Intent, onSilence: () => void): Promise<OrderEnd> => {
    const { orderId, action, model, adapter, version, memoryMiB } = intent
    const order: Order = { orderId, fence: intent.fence, action, model, adapter, version, memoryMiB }
    const end = await ctx.sender.carryOut(account.engine, order, onSilence)
    account.lastAnswerMs = clock.monotonic()
    if (end.kind === 'stopped') return end
    intents.forget(orderId)
    if (end.kind === 'answered' && end.outcome === 'stale-fence' && intent.fence === fence) {
      ctx.supersede('an engine refused the fencing number')
      return { kind: 'stopped' }
    }
    return end
  }
  const intentOf = (account: EngineAccount, orderId: string, body: OrderBody): Intent =>
    ({ orderId, cell, fence, engine: account.engine, ...body })
  const record = async (intent: Intent): Promise<boolean> => {
    const outcome = await intents.record(intent)
    if (outcome === 'superseded') ctx.supersede('the steward key names another')
    return (outcome === 'stored' || outcome === 'on-peers') && !ctx.isStopped()
  }
  const abandon = (account: EngineAccount, replica: Replica, end: LoadEnd): LoadEnd => {
    replica.life.send('abandon')
    dropIfGone(account, replica)
    return end
  }

  const load: ReplicaOps['load'] = async (account, decision) => {
    const { model, version, memoryMiB, tier } = decision
    const replica = addReplica(account, { engine: account.engine, model, version, memoryMiB, orderId: createId('order'), nowMs: clock.monotonic() })
    replica.hasOpenOrder = true
    logger.info('replica-decided', { model, engine: account.engine, order: replica.orderId, reason: decision.reason })
    await Promise.all(decision.victims.map(victim => unload(account, victim, `makes room for ${model}`)))
    // Room is made only by confirmed unloads; one that failed leaves the account too full, and nothing is sent.
    if (freeMiB(account) < 0) return abandon(account, replica, 'refused')
    const intent = intentOf(account, replica.orderId, { action: 'load', model, version, memoryMiB })
    if (!await record(intent)) return abandon(account, replica, ctx.isStopped() ? 'stopped' : 'not-recorded')
    replica.life.send('record')
    replica.life.send('order')
    const sentMs = clock.monotonic()
    const end = await send(account, intent, () => replica.life.send('silence'))
    replica.hasOpenOrder = false
    if (end.kind === 'stopped') return 'stopped'
    replica.life.send(isDone(end) ? 'confirm' : 'fail')
    dropIfGone(account, replica)
    if (!isDone(end)) return 'refused'
    replica.loadedAtMs = clock.monotonic()
    replica.lastUsedMs = replica.loadedAtMs
    ctx.times.note(tier, memoryMiB, replica.loadedAtMs - sentMs)
    ctx.publish()
    return 'loaded'
  }
  const unload: ReplicaOps['unload'] = async (account, replica, reason) => {
    if (!replica.life.send('unload')) return
    replica.hasOpenOrder = true
    replica.orderId = createId('order')
    logger.info('unload-decided', { model: replica.model, engine: account.engine, order: replica.orderId, reason })
    // Entry instances stop sending before the engine is told.
    ctx.publish()
    const intent = intentOf(account, replica.orderId, { action: 'unload', model: replica.model, memoryMiB: replica.memoryMiB })
    const isRecorded = await record(intent)
    const end = isRecorded ? await send(account, intent, () => replica.life.send('silence')) : undefined
    replica.hasOpenOrder = false
    if (end?.kind === 'stopped' || ctx.isStopped()) return
    replica.life.send(end !== undefined && (isDone(end) || end.kind === 'engine-gone') ? 'remove' : 'confirm')
    dropIfGone(account, replica)
    ctx.publish()
  }
  const setVersion: ReplicaOps['setVersion'] = async (account, replica, version) => {
    replica.hasOpenOrder = true
    const intent = intentOf(account, createId('order'), { action: 'set-version', model: replica.model, version, memoryMiB: replica.memoryMiB })
    logger.info('version-change-decided', { model: replica.model, engine: account.engine, version, order: intent.orderId })
    const end = await record(intent) ? await send(account, intent, () => {}) : undefined
    replica.hasOpenOrder = false
    if (end === undefined || !isDone(end)) return
    replica.version = version
    ctx.publish()
  }
  const loadAdapter: ReplicaOps['loadAdapter'] = async (account, adapter, model, memoryMiB) => {
    const charge = { adapter, model, memoryMiB, isLoaded: false, lastUsedMs: clock.monotonic() }
    account.adapters.set(adapter, charge)
    const intent = intentOf(account, createId('order'), { action: 'load-adapter', model, adapter, memoryMiB })
    const end = await record(intent) ? await send(account, intent, () => {}) : undefined
    if (end?.kind === 'stopped' || ctx.isStopped()) return
    charge.isLoaded = end !== undefined && isDone(end)
    if (!charge.isLoaded) account.adapters.delete(adapter)
    ctx.publish()
  }
  const unloadAdapter: ReplicaOps['unloadAdapter'] = async (account, adapter) => {
    const charge = account.adapters.get(adapter)
    if (charge === undefined || !charge.isLoaded) return
    charge.isLoaded = false
    ctx.publish()
    const intent = intentOf(account, createId('order'), { action: 'unload-adapter', model: charge.model, adapter, memoryMiB: charge.memoryMiB })
    const end = await record(intent) ? await send(account, intent, () => {}) : undefined
    if (end?.kind === 'stopped' || ctx.isStopped()) return
    if (end !== undefined && isDone(end)) account.adapters.delete(adapter)
    else charge.isLoaded = true
    ctx.publish()
  }
  const resolve: ReplicaOps['resolve'] = async (account, intent) => {
    const replica = account.replicas.get(intent.model)
    if (replica !== undefined) replica.hasOpenOrder = true
    const end = await send(account, intent, () => {})
    if (replica !== undefined) replica.hasOpenOrder = false
    if (end.kind === 'stopped') return
    if (intent.action === 'load' && replica?.life.state() === 'unknown') replica.life.send(isDone(end) ? 'confirm' : 'fail')
    if (intent.action === 'unload' && isDone(end)) {
      replica?.life.send('unload')
      replica?.life.send('remove')
    }
    if (replica !== undefined) dropIfGone(account, replica)
    if (intent.action === 'load-adapter' && !isDone(end)) account.adapters.delete(intent.adapter!)
    const adapter = account.adapters.get(intent.adapter ?? '')
    if (intent.action === 'load-adapter' && adapter !== undefined) adapter.isLoaded = true
    ctx.publish()
  }
  return { load, unload, setVersion, loadAdapter, unloadAdapter, resolve }
}
