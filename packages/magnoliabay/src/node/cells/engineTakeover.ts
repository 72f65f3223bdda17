/**
 * Takes over an engine for a new leader: first raises the fence, then reads the state; only then may replicas be decided
 * there. In any other sequence, an order of a former leader could take effect after the state was read.
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
  /** Reads the intents of former leaders. Undefined while not all of them are known. */
  readInheritedIntents: () => Promise<readonly Intent[] | undefined>
  /** Whether every former leader has provably terminated or has released the cell. */
  areFormerLeadersInactive: () => boolean
}

const RAISE_FENCE_TIMEOUT_MS = 5000

export async function takeOverEngine (req: EngineTakeoverRequest): Promise<EngineTakeover> {
  const { listed, engines } = req
  const raised = await engines.order(listed.address, { orderId: createId('order'), fence: req.fence, action: 'raise-fence' }, RAISE_FENCE_TIMEOUT_MS)
  if (raised.ok && raised.val.outcome === 'stale-fence') return { kind: 'superseded' }
  const state = await engines.state(listed.address)
  if (state.err) return { kind: 'refused', reason: state.val.message }
  // If the answer was lost, the state shows whether the fence was raised. Engines that ignore fences need none.
  if (raised.err && state.val.checksFence && state.val.fence < req.fence) return { kind: 'refused', reason: raised.val.message }
  const account = accountFromState(state.val, req.nowMs)
  if (state.val.checksFence && state.val.fence > req.fence) return { kind: 'superseded' }
  if (state.val.checksFence) return { kind: 'taken', account, unresolved: [] }
  return await takeOverUnfenced(req, account)
}

/**
 * Takes over an engine that ignores fencing tokens. It would still carry out an order of a former leader, so no former
 * leader may be able to send any more. Each of their intents is charged and then resent under its original id: the
 * answer gives its outcome, and a late copy of it then has no effect.
 */
async function takeOverUnfenced (req: EngineTakeoverRequest, account: EngineAccount): Promise<EngineTakeover> {
  if (!req.areFormerLeadersInactive()) return { kind: 'refused', reason: 'ignores fencing tokens, and a former leader may still send orders' }
  const intents = await req.readInheritedIntents()
  if (intents === undefined) return { kind: 'refused', reason: 'too few members answered to know all intents' }
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
  state.models.forEach(reported => adoptModel(account, reported, nowMs))
  state.adapters.forEach(reported => account.adapters.set(reported.adapter, {
    adapter: reported.adapter,
    model: reported.model,
    memoryMiB: reported.memoryMiB,
    isLoaded: reported.state === 'loaded',
    lastUsedMs: nowMs
  }))
  return account
}

/** Copies the properties that an engine reports to its account, but not its models and adapters. */
export function applyEngineState (account: EngineAccount, state: EngineState): void {
  account.incarnation = state.incarnation
  account.memoryMiB = state.memoryMiB
  account.checksFence = state.checksFence
  account.role = state.role
  account.isLeaving = state.leaving
  account.tiers = new Map(state.checkpoints.map(({ model, tier }) => [model, tier]))
}

/** Charges a model that the engine reports. Its state is `unknown` while it is loading or unloading. */
export function adoptModel (account: EngineAccount, reported: LoadedModel, nowMs: number): void {
  addReplica(account, {
    engine: account.engine,
    model: reported.model,
    version: reported.version,
    memoryMiB: reported.memoryMiB,
    orderId: reported.orderId,
    nowMs,
    initialState: reported.state === 'loaded' ? 'loaded' : 'unknown'
  })
}
