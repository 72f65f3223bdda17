import { expect } from 'chai'
import { createDirectStore, createKvCallCounter, createKvState } from '@magnoliabay/standins'
import fc from 'fast-check'
import { createVirtualClock } from '../../clock/virtual'
import { createBudgetedStore, createStoreBudget } from '../budget'
import type { StorePriority } from '../store'

const PRIORITIES: readonly StorePriority[] = ['config', 'ownership', 'once', 'ledger']

describe('store call budget', () => {
  // Claims and ledgers may use up the instance's budget under load. A change of configuration and the renewal of
  // the lease must still be sent, or the instance would lose its membership.
  const ALLOWED_CALLS: ReadonlyArray<{ priority: StorePriority, calls: number }> = [
    { priority: 'ledger', calls: 50 },
    { priority: 'once', calls: 75 },
    { priority: 'ownership', calls: 90 },
    { priority: 'config', calls: 100 }
  ]
  ALLOWED_CALLS.forEach(({ priority, calls }) => it(`allows priority ${priority} ${calls} of 100 calls at once`, () => {
    const budget = createStoreBudget({ callsPerSecond: () => 1, burstCalls: 100, clock: createVirtualClock() })
    const made = Array.from({ length: 200 }, () => budget.tryTake(priority)).filter(Boolean).length
    expect(made).to.equal(calls)
  }))

  it('never allows more calls than rate and burst, nor a call of lower priority where a higher one is refused', () => {
    const steps = fc.array(fc.record({ waitMs: fc.integer({ min: 0, max: 400 }), priority: fc.constantFrom(...PRIORITIES) }), { maxLength: 300 })
    fc.assert(fc.asyncProperty(steps, async taken => {
      const clock = createVirtualClock()
      const budget = createStoreBudget({ callsPerSecond: () => 5, burstCalls: 20, clock })
      let made = 0
      for (const { waitMs, priority } of taken) {
        await clock.advance(waitMs)
        if (budget.tryTake(priority)) made += 1
        else expect(PRIORITIES.slice(PRIORITIES.indexOf(priority)).some(lower => budget.tryTake(lower))).to.equal(false)
      }
      expect(made).to.be.at.most(20 + clock.monotonic() * 5 / 1000)
    }), { seed: 11, numRuns: 50 })
  })

  it('does not send a call over the budget, and fails it with over-budget', async () => {
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
