/**
 * The steward of a cell: it alone decides replicas there, keeps the memory account and sends orders.
 */
import type { Directory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { EngineState, Order, OrderAction } from '../backend/protocol'
import type { Clock } from '../clock'
import type { ConfigHolder } from '../config'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { ListedInstance, Store } from '../platform'
import { createId } from '../utils'
import { createEngineAccount } from './account'
import type { Charge, EngineAccount } from './account'
import { decidePlacement } from './placement'
import { cellOf, intentKey, intentsPrefix, stewardKey, tableNotice } from './records'
import type { DemandReply, Intent, ReplicaEntry, ReplicaTable } from './records'

/** An order unanswered for this long is looked up in the engine's state instead. */
const ORDER_TIMEOUT_MS = 120_000
/** A model unused for this long is unloaded. */
const IDLE_UNLOAD_MS = 600_000

export interface StewardOptions {
  cell: string
  /** Create revision of the steward key. */
  fence: number
  store: Store
  directory: Directory
  engines: EngineClient
  cfg: ConfigHolder
  peers: Peers
  clock: Clock
  logger: Logger
  onTable: (table: ReplicaTable) => void
}

export interface Steward {
  readonly cell: string
  demand (model: string): Promise<DemandReply>
  noteUsed (models: readonly string[]): void
  table (): ReplicaTable
  /** Takes up engines that came, forgets those gone, unloads what is idle. */
  tend (): Promise<void>
  stop (): void
}

export function createSteward (options: StewardOptions): Steward {
  const { cell, fence, store, clock } = options
  const logger = options.logger.with({ cell, fence })
  const accounts = new Map<string, EngineAccount>()
  let tableVersion = 0
  let stopped = false

  const listedEngines = (): ListedInstance[] => {
    const { cells } = options.cfg.inForce().fleet
    return options.directory.engines().filter(engine => cellOf(engine.id, cells) === cell)
  }
  const table = (): ReplicaTable => ({ cell, fence, version: tableVersion, replicas: [...accounts.values()].flatMap(replicasOf) })
  const replicasOf = (account: EngineAccount): ReplicaEntry[] => {
    const listed = options.directory.engine(account.engine)
    if (listed === undefined || listed.status === 'leaving') return []
    return [...account.charges.values()]
      .filter(charge => charge.state === 'loaded')
      .map(charge => ({ engine: account.engine, address: listed.address, failureDomain: listed.failureDomain, model: charge.model }))
  }
  const publish = (): void => {
    tableVersion += 1
    const current = table()
    options.onTable(current)
    options.peers.notifyAll(tableNotice, current)
  }

  /** Raises the fence first, so that no order of an earlier steward can take effect after the state is read. */
  const takeUp = async (listed: ListedInstance): Promise<void> => {
    const raise: Order = { orderId: createId('order'), fence, action: 'raise-fence' }
    const raised = await options.engines.order(listed.address, raise, ORDER_TIMEOUT_MS)
    if (raised.err) return logger.warn('engine-not-taken-up', { engine: listed.id, reason: raised.val.message })
    const state = await options.engines.state(listed.address)
    if (state.err) return logger.warn('engine-not-taken-up', { engine: listed.id, reason: state.val.message })
    const account = accountOf(state.val)
    const intents = await readIntents(listed.id)
    intents
      .filter(intent => intent.action === 'load' && !account.charges.has(intent.model))
      .forEach(intent => account.charges.set(intent.model, chargeOf(intent)))
    accounts.set(listed.id, account)
    logger.info('engine-taken-up', { engine: listed.id, models: [...account.charges.keys()] })
    publish()
  }
  const accountOf = (state: EngineState): EngineAccount => {
    const account = createEngineAccount(state.engine, state.memoryMiB)
    state.models.forEach(model => account.charges.set(model.model, {
      model: model.model,
      memoryMiB: model.memoryMiB,
      state: model.state,
      orderId: model.orderId,
      lastUsedMs: clock.monotonic()
    }))
    return account
  }
  const chargeOf = (intent: Intent): Charge => ({
    model: intent.model,
    memoryMiB: intent.memoryMiB,
    state: 'loading',
    orderId: intent.orderId,
    lastUsedMs: clock.monotonic()
  })
  const readIntents = async (engine: string): Promise<Intent[]> => {
    const range = await store.range(intentsPrefix(cell), { priority: 'ownership' })
    if (range.err) return []
    return range.val.entries
      .map(entry => JSON.parse(entry.value) as Intent)
      .filter(intent => intent.engine === engine)
  }

  /** Records the intent, sends the order, and tells whether the engine has confirmed it. */
  const carryOut = async (account: EngineAccount, action: OrderAction, charge: Charge): Promise<boolean> => {
    const listed = options.directory.engine(account.engine)
    if (listed === undefined) return false
    const intent: Intent = { orderId: charge.orderId, fence, engine: account.engine, action, model: charge.model, memoryMiB: charge.memoryMiB }
    const recorded = await store.transact({
      compares: [{ key: stewardKey(cell), target: 'create', equals: fence }],
      writes: [{ kind: 'put', key: intentKey(cell, intent.orderId), value: JSON.stringify(intent) }]
    }, { priority: 'ownership' })
    if (recorded.err || !recorded.val.succeeded) {
      logger.warn('intent-not-recorded', { model: charge.model, reason: recorded.err ? recorded.val.message : 'no longer steward' })
      return false
    }
    const order: Order = { orderId: intent.orderId, fence, action, model: charge.model, memoryMiB: charge.memoryMiB }
    logger.info('order-sent', { order: order.orderId, action, model: charge.model, engine: account.engine })
    const reply = await options.engines.order(listed.address, order, ORDER_TIMEOUT_MS)
    if (reply.err) {
      logger.warn('order-unanswered', { order: order.orderId, reason: reply.val.message })
      return false
    }
    await store.transact({ compares: [], writes: [{ kind: 'delete', key: intentKey(cell, intent.orderId) }] })
    logger.info('order-answered', { order: order.orderId, outcome: reply.val.outcome })
    return reply.val.outcome === 'done' || reply.val.outcome === 'already-done'
  }
  const load = async (account: EngineAccount, model: string, memoryMiB: number): Promise<void> => {
    const charge: Charge = { model, memoryMiB, state: 'loading', orderId: createId('order'), lastUsedMs: clock.monotonic() }
    account.charges.set(model, charge)
    if (await carryOut(account, 'load', charge)) {
      charge.state = 'loaded'
      return publish()
    }
    await reconcile(account)
  }
  const unload = async (account: EngineAccount, charge: Charge): Promise<void> => {
    charge.state = 'unloading'
    charge.orderId = createId('order')
    publish()
    if (await carryOut(account, 'unload', charge)) account.charges.delete(charge.model)
    else await reconcile(account)
  }
  /** After an order whose outcome is not known: what the engine says is loaded, nothing else frees a charge. */
  const reconcile = async (account: EngineAccount): Promise<void> => {
    const listed = options.directory.engine(account.engine)
    if (listed !== undefined) await takeUp(listed)
  }

  const existing = (model: string): Charge | undefined =>
    [...accounts.values()].map(account => account.charges.get(model)).find(charge => charge !== undefined && charge.state !== 'unloading')

  const demand = async (model: string): Promise<DemandReply> => {
    const modelCfg = options.cfg.model(model)
    if (modelCfg === undefined) return { status: 'unknown-model', reason: 'not in the configuration' }
    const charge = existing(model)
    if (charge !== undefined) return { status: charge.state === 'loaded' ? 'loaded' : 'loading', reason: 'already decided' }
    const usable = [...accounts.values()].filter(account => options.directory.engine(account.engine)?.status === 'live')
    const placement = decidePlacement({ model, memoryMiB: modelCfg.memoryMiB, accounts: usable })
    logger.info('replica-decided', { model, decision: placement.kind, reason: placement.reason })
    if (placement.kind === 'none') return { status: 'no-room', reason: placement.reason }
    const account = accounts.get(placement.engine)!
    if (placement.kind === 'load') {
      load(account, model, modelCfg.memoryMiB)
      return { status: 'loading', reason: placement.reason }
    }
    await unload(account, account.charges.get(placement.model)!)
    return await demand(model)
  }

  const unloadIdle = async (): Promise<void> => {
    const idle = [...accounts.values()].flatMap(account => [...account.charges.values()]
      .filter(charge => charge.state === 'loaded' && clock.monotonic() - charge.lastUsedMs > IDLE_UNLOAD_MS)
      .map(charge => ({ account, charge })))
    await Promise.all(idle.map(({ account, charge }) => unload(account, charge)))
  }

  return {
    cell,
    demand,
    table,
    noteUsed: models => models.forEach(model => {
      [...accounts.values()].forEach(account => {
        const charge = account.charges.get(model)
        if (charge !== undefined) charge.lastUsedMs = clock.monotonic()
      })
    }),
    tend: async () => {
      const listed = listedEngines()
      const ids = new Set(listed.map(engine => engine.id))
      const gone = [...accounts.keys()].filter(id => !ids.has(id))
      gone.forEach(id => accounts.delete(id))
      if (gone.length > 0) publish()
      await Promise.all(listed.filter(engine => !accounts.has(engine.id) && !stopped).map(takeUp))
      await unloadIdle()
    },
    stop: () => { stopped = true }
  }
}
