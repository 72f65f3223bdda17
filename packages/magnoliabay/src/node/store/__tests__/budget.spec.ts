import { expect } from 'chai'
import { createDirectStore, createKvCallCounter, createKvState } from '@magnoliabay/standins'
import fc from 'fast-check'
import { createVirtualClock } from '../../clock/virtual'
import { createBudgetedStore, createStoreBudget } from '../budget'
import type { StorePriority } from '../store'

const PRIORITIES: readonly StorePriority[] = ['config', 'ownership', 'once', 'ledger']

describe('budget of store calls', () => {
  // Claims and ledgers of a busy minute use up the instance's share. A change of configuration and the lease's
  // renewal must still get through, or load would cost the instance its membership.
  const KEPT: ReadonlyArray<{ priority: StorePriority, calls: number }> = [
    { priority: 'ledger', calls: 50 },
    { priority: 'once', calls: 75 },
    { priority: 'ownership', calls: 90 },
    { priority: 'config', calls: 100 }
  ]
  KEPT.forEach(({ priority, calls }) => it(`${priority} gets ${calls} of 100 calls at once`, () => {
    const budget = createStoreBudget({ callsPerSecond: () => 1, burstCalls: 100, clock: createVirtualClock() })
    const made = Array.from({ length: 200 }, () => budget.trySpend(priority)).filter(Boolean).length
    expect(made).to.equal(calls)
  }))

  it('never lets more through than rate and burst, and never a lesser call where a greater one is refused', () => {
    const steps = fc.array(fc.record({ waitMs: fc.integer({ min: 0, max: 400 }), priority: fc.constantFrom(...PRIORITIES) }), { maxLength: 300 })
    fc.assert(fc.asyncProperty(steps, async taken => {
      const clock = createVirtualClock()
      const budget = createStoreBudget({ callsPerSecond: () => 5, burstCalls: 20, clock })
      let made = 0
      for (const { waitMs, priority } of taken) {
        await clock.advance(waitMs)
        if (budget.trySpend(priority)) made += 1
        else expect(PRIORITIES.slice(PRIORITIES.indexOf(priority)).some(lesser => budget.trySpend(lesser))).to.equal(false)
      }
      expect(made).to.be.at.most(20 + clock.monotonic() * 5 / 1000)
    }), { seed: 11, numRuns: 50 })
  })

  it('a call over the budget is not sent, and says so', async () => {
    const clock = createVirtualClock()
    const counter = createKvCallCounter()
    const outcomes: string[] = []
    const inner = createDirectStore(createKvState({ clock }), { clock, counter })
    const store = createBudgetedStore(inner, { callsPerSecond: () => 1, burstCalls: 2, clock, onCall: call => outcomes.push(call.outcome) })
    const results = [await store.get('a'), await store.get('a'), await store.get('a', { priority: 'config' })]
    expect(results.map(result => result.err ? result.val.kind : 'ok')).to.deep.equal(['ok', 'over-budget', 'ok'])
    expect(counter.total().reads).to.equal(2)
    expect(outcomes).to.deep.equal(['ok', 'over-budget', 'ok'])
  })
})
