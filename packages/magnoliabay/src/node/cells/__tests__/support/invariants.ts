/** Checks invariants against the state of the engine stand-ins, and creates callers. */
import { expect } from 'chai'
import { chargedMiB } from '../../engineAccount'
import type { CellsHarness } from './harness'

/** Maximum number of replicas by model. */
export type MaxReplicas = Readonly<Record<string, number>>

export function checkInvariants (harness: CellsHarness, maxReplicas: MaxReplicas): void {
  const loadedModels = harness.engines.flatMap(engine => engine.isDown() ? [] : engine.state().models.map(model => model.model))
  Object.entries(maxReplicas).forEach(([model, max]) => {
    expect(loadedModels.filter(name => name === model).length, `replicas of ${model}`).to.be.at.most(max)
  })
  const accounts = harness.leader()?.cells.localLeaders().flatMap(leader => leader.accounts()) ?? []
  harness.engines.forEach(engine => {
    expect(engine.records().overcommitAttempts, `overcommits of ${engine.id}`).to.deep.equal([])
    const { incarnation, usedMiB } = engine.state()
    const account = accounts.find(candidate => candidate.engine === engine.id && candidate.incarnation === incarnation)
    if (account !== undefined && !engine.isDown()) expect(chargedMiB(account), `charged at ${engine.id}`).to.be.at.least(usedMiB)
  })
}

export interface Caller {
  outcome: string
  readonly instance: string
  readonly deadlineMs: number
}

export function callAt (harness: CellsHarness, instance: string, model: string, timeoutMs: number): Caller {
  const deadlineMs = harness.clock.monotonic() + timeoutMs
  const caller: Caller = { outcome: 'open', instance, deadlineMs }
  const settle = async (): Promise<void> => {
    const route = await harness.instance(instance).routing.acquireReplica({ modelOrAdapter: model, deadlineMs, excludedEngines: new Set(), signal: new AbortController().signal })
    caller.outcome = route.ok ? 'served' : route.val.code
    if (route.ok) route.val.release()
  }
  settle()
  return caller
}
