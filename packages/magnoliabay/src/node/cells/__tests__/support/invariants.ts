/** What must hold at every step, by the stand-in engines' own account, and callers to settle. */
import { expect } from 'chai'
import { chargedMiB } from '../../engineAccount'
import type { World } from './world'

/** Each model with the most replicas that may be decided for it. */
export type Decided = Readonly<Record<string, number>>

export function checkInvariants (world: World, decided: Decided): void {
  const held = world.engines.flatMap(engine => engine.isDown() ? [] : engine.state().models.map(model => model.model))
  Object.entries(decided).forEach(([model, most]) => {
    expect(held.filter(name => name === model).length, `replicas of ${model}`).to.be.at.most(most)
  })
  const accounts = world.steward()?.cells.localLeaders().flatMap(steward => steward.accounts()) ?? []
  world.engines.forEach(engine => {
    expect(engine.records().overcommitAttempts, `overcommits of ${engine.id}`).to.deep.equal([])
    const { incarnation, usedMiB } = engine.state()
    const account = accounts.find(kept => kept.engine === engine.id && kept.incarnation === incarnation)
    if (account !== undefined && !engine.isDown()) expect(chargedMiB(account), `charged at ${engine.id}`).to.be.at.least(usedMiB)
  })
}

export interface Caller {
  outcome: string
  readonly instance: string
  readonly deadlineMs: number
}

export function callAt (world: World, instance: string, model: string, patienceMs: number): Caller {
  const deadlineMs = world.clock.monotonic() + patienceMs
  const caller: Caller = { outcome: 'open', instance, deadlineMs }
  const settle = async (): Promise<void> => {
    const route = await world.instance(instance).routing.acquireReplica({ modelOrAdapter: model, deadlineMs, excludedEngines: new Set(), signal: new AbortController().signal })
    caller.outcome = route.ok ? 'served' : route.val.code
    if (route.ok) route.val.release()
  }
  settle()
  return caller
}
