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

export type EngineTakeover =
  | { kind: 'taken', account: EngineAccount, unresolved: readonly Intent[] }
  | { kind: 'refused', reason: string }
  | { kind: 'superseded' }

export interface EngineTakeoverRequest {
  listed: ListedInstance
  fence: number
  nowMs: number
  engines: EngineClient
  /** Orders of earlier stewards that may still arrive, or undefined while they are not all known. */
  readInheritedIntents: () => Promise<readonly Intent[] | undefined>
  /** Whether every earlier steward is proven gone or has given the cell up. */
  areFormerLeadersInactive: () => boolean
}

const RAISE_FENCE_TIMEOUT_MS = 5000

export async function takeOverEngine (req: EngineTakeoverRequest): Promise<EngineTakeover> {
  const { listed, engines } = req
  const raised = await engines.order(listed.address, { orderId: createId('order'), fence: req.fence, action: 'raise-fence' }, RAISE_FENCE_TIMEOUT_MS)
  if (raised.ok && raised.val.outcome === 'stale-fence') return { kind: 'superseded' }
  const state = await engines.state(listed.address)
  if (state.err) return { kind: 'refused', reason: state.val.message }
  // Where the answer was lost, the state shows whether the fence is up; where fences are ignored, it need not be.
  if (raised.err && state.val.checksFence && state.val.fence < req.fence) return { kind: 'refused', reason: raised.val.message }
  const account = accountFromState(state.val, req.nowMs)
  if (state.val.checksFence && state.val.fence > req.fence) return { kind: 'superseded' }
  if (state.val.checksFence) return { kind: 'taken', account, unresolved: [] }
  return await takeOverUnfenced(req, account)
}

/**
 * An engine that ignores fencing numbers would carry out an order of an earlier steward even now. So that
 * steward must not be able to send any more, and each of its intents is charged and sent again under its own
 * id: the answer tells what became of it, and a late copy of it then does nothing.
 */
async function takeOverUnfenced (req: EngineTakeoverRequest, account: EngineAccount): Promise<EngineTakeover> {
  if (!req.areFormerLeadersInactive()) return { kind: 'refused', reason: 'ignores fencing, and an earlier steward may still act' }
  const intents = await req.readInheritedIntents()
  if (intents === undefined) return { kind: 'refused', reason: 'too few members answered about intents' }
  const inherited = intents.filter(intent => intent.engine === account.engine)
  inherited.filter(intent => intent.action === 'load' && !account.replicas.has(intent.model)).forEach(intent =>
    addReplica(account, { ...intent, nowMs: req.nowMs, initialState: 'unknown' }))
  inherited.filter(intent => intent.action === 'load-adapter' && !account.adapters.has(intent.adapter!)).forEach(intent =>
    account.adapters.set(intent.adapter!, { adapter: intent.adapter!, model: intent.model, memoryMiB: intent.memoryMiB, isLoaded: false, lastUsedMs: req.nowMs }))
  return { kind: 'taken', account, unresolved: inherited }
}

function accountFromState (state: EngineState, nowMs: number): EngineAccount {
  const account = createEngineAccount(state.engine, state.memoryMiB)
  applyEngineState(account, state)
  state.models.forEach(held => adoptModel(account, held, nowMs))
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
export function applyEngineState (account: EngineAccount, state: EngineState): void {
  account.incarnation = state.incarnation
  account.memoryMiB = state.memoryMiB
  account.checksFence = state.checksFence
  account.role = state.role
  account.isLeaving = state.leaving
  account.tiers = new Map(state.checkpoints.map(({ model, tier }) => [model, tier]))
}

/** Charges a model that the engine holds. One that is not loaded yet, or not unloaded yet, is looked at again. */
export function adoptModel (account: EngineAccount, held: LoadedModel, nowMs: number): void {
  addReplica(account, {
    engine: account.engine,
    model: held.model,
    version: held.version,
    memoryMiB: held.memoryMiB,
    orderId: held.orderId,
    nowMs,
    initialState: held.state === 'loaded' ? 'loaded' : 'unknown'
  })
}
