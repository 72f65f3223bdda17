/**
 * Taking an engine up: the fence is raised first, then the state is read, and only then may anything be
 * decided there. In any other order, an earlier steward's order could take effect after the state was read.
 */
import type { EngineClient } from '../backend/engineClient'
import type { EngineState, LoadedModel } from '../backend/protocol'
import type { ListedInstance } from '../store'
import { createId } from '../utils'
import { addReplica, createEngineAccount } from './engineAccount'
import type { EngineAccount } from './engineAccount'
import type { Intent } from './records'

export type TakeUp =
  | { kind: 'taken', account: EngineAccount, unresolved: readonly Intent[] }
  | { kind: 'refused', reason: string }
  | { kind: 'superseded' }

export interface TakeUpRequest {
  listed: ListedInstance
  fence: number
  nowMs: number
  engines: EngineClient
  /** Orders of earlier stewards that may still arrive, or undefined while they are not all known. */
  earlier: () => Promise<readonly Intent[] | undefined>
  /** Whether every earlier steward is proven gone or has given the cell up. */
  areAllAccountedFor: () => boolean
}

const RAISE_TIMEOUT_MS = 5000

export async function takeUpEngine (req: TakeUpRequest): Promise<TakeUp> {
  const { listed, engines } = req
  const raised = await engines.order(listed.address, { orderId: createId('order'), fence: req.fence, action: 'raise-fence' }, RAISE_TIMEOUT_MS)
  if (raised.ok && raised.val.outcome === 'stale-fence') return { kind: 'superseded' }
  const state = await engines.state(listed.address)
  if (state.err) return { kind: 'refused', reason: state.val.message }
  // Where the answer was lost, the state shows whether the fence is up; where fences are ignored, it need not be.
  if (raised.err && state.val.checksFence && state.val.fence < req.fence) return { kind: 'refused', reason: raised.val.message }
  const account = accountOfState(state.val, req.nowMs)
  if (state.val.checksFence && state.val.fence > req.fence) return { kind: 'superseded' }
  if (state.val.checksFence) return { kind: 'taken', account, unresolved: [] }
  return await takeUpUnfenced(req, account)
}

/**
 * An engine that ignores fencing numbers would carry out an order of an earlier steward even now. So that
 * steward must not be able to send any more, and each of its intents is charged and sent again under its own
 * id: the answer tells what became of it, and a late copy of it then does nothing.
 */
async function takeUpUnfenced (req: TakeUpRequest, account: EngineAccount): Promise<TakeUp> {
  if (!req.areAllAccountedFor()) return { kind: 'refused', reason: 'ignores fencing, and an earlier steward may still act' }
  const intents = await req.earlier()
  if (intents === undefined) return { kind: 'refused', reason: 'too few members answered about intents' }
  const mine = intents.filter(intent => intent.engine === account.engine)
  mine.filter(intent => intent.action === 'load' && !account.replicas.has(intent.model)).forEach(intent =>
    addReplica(account, { ...intent, nowMs: req.nowMs, from: 'unknown' }))
  mine.filter(intent => intent.action === 'load-adapter' && !account.adapters.has(intent.adapter!)).forEach(intent =>
    account.adapters.set(intent.adapter!, { adapter: intent.adapter!, model: intent.model, memoryMiB: intent.memoryMiB, isLoaded: false, lastUsedMs: req.nowMs }))
  return { kind: 'taken', account, unresolved: mine }
}

function accountOfState (state: EngineState, nowMs: number): EngineAccount {
  const account = createEngineAccount(state.engine, state.memoryMiB)
  noteState(account, state)
  state.models.forEach(held => adopt(account, held, nowMs))
  state.adapters.forEach(held => account.adapters.set(held.adapter, {
    adapter: held.adapter,
    model: held.model,
    memoryMiB: held.memoryMiB,
    isLoaded: held.state === 'loaded',
    lastUsedMs: nowMs
  }))
  return account
}

/** Takes over what an engine says about itself, but for what it holds. */
export function noteState (account: EngineAccount, state: EngineState): void {
  account.incarnation = state.incarnation
  account.memoryMiB = state.memoryMiB
  account.checksFence = state.checksFence
  account.role = state.role
  account.isLeaving = state.leaving
  account.tiers = new Map(state.checkpoints.map(({ model, tier }) => [model, tier]))
}

/** Charges a model that the engine holds. One that is not loaded yet, or not unloaded yet, is looked at again. */
export function adopt (account: EngineAccount, held: LoadedModel, nowMs: number): void {
  addReplica(account, {
    engine: account.engine,
    model: held.model,
    version: held.version,
    memoryMiB: held.memoryMiB,
    orderId: held.orderId,
    nowMs,
    from: held.state === 'loaded' ? 'loaded' : 'unknown'
  })
}
