import { expect } from 'chai'
import fc from 'fast-check'
import { createVirtualClock } from '../../clock/virtual'
import { addReplica, createEngineAccount } from '../engineAccount'
import type { EngineAccount } from '../engineAccount'
import { createGapHistory, decideKeepAliveMs, predictNextUse } from '../keepAlivePolicy'
import { createLoadTimes } from '../loadTimes'
import { decidePlacement } from '../placement'
import type { Placement, PlacementRequest } from '../placement'
import { cellNames } from '../records'
import { quotaOfCell } from '../quota'
import { createReplicaLifecycle } from '../replicaLifecycle'
import { createStoreShareClient, createStoreShareAllocator } from '../weightStoreShare'
import type { StoreShare } from '../weightStoreShare'
import { createPendingDemand } from '../pendingDemand'

const MINUTE_MS = 60_000
const WORTH_MS = 5 * MINUTE_MS

describe('keep-alive time of an idle model', () => {
  const costOf = (gaps: readonly number[], keepMs: number): number =>
    gaps.reduce((sum, gap) => sum + (gap <= keepMs ? gap : keepMs + WORTH_MS), 0)

  it('equals the worth of one cold start without a history', () => {
    expect(decideKeepAliveMs([], { coldStartWorthMs: WORTH_MS })).to.equal(WORTH_MS)
  })

  const CASES: ReadonlyArray<{ title: string, gaps: readonly number[], atLeast: number, atMost: number }> = [
    { title: 'called every two minutes: kept through the gap', gaps: [2, 2, 2, 2, 2].map(gap => gap * MINUTE_MS), atLeast: 2 * MINUTE_MS, atMost: 3 * MINUTE_MS },
    { title: 'called every hour: unloaded at once', gaps: [60, 61, 59, 60].map(gap => gap * MINUTE_MS), atLeast: 0, atMost: 20_000 },
    { title: 'short and long gaps: kept through the short ones', gaps: [1, 1, 1, 700, 1, 1, 1, 700].map(gap => gap * MINUTE_MS), atLeast: MINUTE_MS, atMost: 2 * MINUTE_MS }
  ]
  CASES.forEach(({ title, gaps, atLeast, atMost }) => it(title, () => {
    expect(decideKeepAliveMs(gaps, { coldStartWorthMs: WORTH_MS })).to.be.within(atLeast, atMost)
  }))

  it('costs no more than any fixed time over the recorded gaps, apart from its margin, seed 3', () => {
    const gaps = fc.array(fc.integer({ min: 15_000, max: 20 * MINUTE_MS }), { minLength: 4, maxLength: 30 })
    const fixed = fc.integer({ min: 15_000, max: 20 * MINUTE_MS })
    fc.assert(fc.property(gaps, fixed, (seen, fixedMs) => {
      const keepMs = decideKeepAliveMs(seen, { coldStartWorthMs: WORTH_MS })
      return costOf(seen, keepMs) <= 1.1 * costOf(seen, fixedMs) + 1
    }), { seed: 3, numRuns: 300 })
  })

  it('predicts the next use of a model only if its gaps are regular', () => {
    expect(predictNextUse(1000, [600, 605, 595, 600, 600])?.atMs).to.equal(1600)
    expect(predictNextUse(1000, [600, 100, 900, 20, 600])).to.equal(undefined)
  })

  it('keeps its history over a change of leader, across monotonic clocks with different origins', () => {
    const old = createGapHistory();
    [0, 60_000, 120_000].forEach(atMs => old.recordUse('m', atMs))
    const next = createGapHistory()
    next.restore(old.save(1_000_000), 1_000_000 - 5000)
    expect(next.gaps('m')).to.deep.equal([60_000, 60_000])
    expect(next.lastUseMs('m')).to.equal(125_000)
  })
})

describe('placement', () => {
  const accountOf = (engine: string, models: Record<string, number> = {}): EngineAccount => {
    const account = createEngineAccount(engine, 100)
    Object.entries(models).forEach(([model, memoryMiB]) => addReplica(account, { engine, model, memoryMiB, orderId: model, nowMs: 0, initialState: 'loaded' }))
    return account
  }
  const place = (accounts: readonly EngineAccount[], changes: Partial<PlacementRequest> = {}): Placement => decidePlacement({
    model: 'm', memoryMiB: 50, accounts, loadTimes: createLoadTimes(), storeWaitMs: 0, isEvictable: () => true, evictionCostMs: () => 100, usedDomains: new Set(), domainOf: engine => engine, ...changes
  })
  const summary = (placement: Placement): string =>
    placement.kind === 'none' ? 'none' : `${placement.engine} ${placement.tier} ${placement.victims.map(victim => victim.model).join('+')}`

  it('prefers a faster checkpoint tier to an emptier engine', () => {
    const near = accountOf('near', { a: 40 })
    near.tiers.set('m', 'disk')
    expect(summary(place([accountOf('empty'), near], { memoryMiB: 60 }))).to.equal('near disk ')
  })

  it('includes the cost of evictions', () => {
    const near = accountOf('near', { a: 80 })
    near.tiers.set('m', 'disk')
    expect(summary(place([accountOf('empty'), near], { evictionCostMs: () => 60_000 }))).to.equal('empty remote ')
  })

  it('evicts no more than it needs', () => {
    const full = accountOf('full', { small: 10, other: 30, large: 60 })
    expect(summary(place([full], { evictionCostMs: replica => replica.model === 'large' ? 500 : 1 }))).to.equal('full remote large')
  })

  it('evicts no replica that is in use, and returns none without free memory', () => {
    expect(summary(place([accountOf('full', { a: 60, b: 40 })], { isEvictable: () => false }))).to.equal('none')
  })

  it('prefers another failure domain for a second replica', () => {
    expect(summary(place([accountOf('one'), accountOf('two', { a: 40 })], { usedDomains: new Set(['one']) }))).to.equal('two remote ')
  })
})

describe('quotas and shares of cells', () => {
  it('quotas add up to the maximum of the whole fleet, seed 5', () => {
    const cellsOf = fc.integer({ min: 1, max: 60 })
    fc.assert(fc.property(cellsOf, fc.integer({ min: 1, max: 9 }), fc.string(), (cells, maxReplicas, name) => {
      const quotas = cellNames(cells).map(cell => quotaOfCell({ name, maxReplicas }, cell, cells))
      return quotas.reduce((sum, quota) => sum + quota, 0) === maxReplicas
    }), { seed: 5, numRuns: 100 })
  })

  it('shares give the whole weight store to a cell that loads alone, and equal parts to cells that load together', async () => {
    const clock = createVirtualClock()
    const total = (): StoreShare => ({ slots: 4, perSecond: 2 })
    const allocator = createStoreShareAllocator(clock, total)
    expect(allocator.allocate('cell-1')).to.deep.equal({ slots: 4, perSecond: 2 })
    expect(allocator.allocate('cell-2')).to.deep.equal({ slots: 2, perSecond: 1 })
    await clock.advance(6000)
    expect(allocator.allocate('cell-2')).to.deep.equal({ slots: 4, perSecond: 2 })
  })

  it('shares fall back to a fixed part while the allocator does not answer', async () => {
    const clock = createVirtualClock()
    let answer: StoreShare | undefined = { slots: 4, perSecond: 2 }
    const client = createStoreShareClient({ clock, cells: 60, capacity: () => ({ slots: 4, perSecond: 2 }), request: async () => answer })
    expect(client.current().slots).to.equal(1)
    client.recordDemand()
    await clock.settle()
    expect(client.current().slots).to.equal(4)
    answer = undefined
    await clock.advance(6000)
    expect(client.current().slots).to.equal(1)
  })
})

describe('pending demand', () => {
  it('is ordered by deadline, weight, and whether the deadline can still be met', () => {
    const pendingDemand = createPendingDemand()
    const add = (model: string, patienceMs: number, weight = 1, isPredicted = false): unknown => pendingDemand.add({ model, adapters: [], waiting: 1, patienceMs, weight, isPredicted }, 0)
    add('hopeless', 1000)
    add('patient', 60_000)
    add('weighty', 60_000, 10)
    add('urgent', 8000)
    add('ahead', 5000, 1, true)
    expect(pendingDemand.byUrgency(0, () => 4000).map(demand => demand.model)).to.deep.equal(['weighty', 'urgent', 'patient', 'hopeless', 'ahead'])
  })

  /* Two models are requested at the same time, one by ten times as many requests, but slower to load. */
  it('puts a large model with many requests before a small one with one request', () => {
    const pendingDemand = createPendingDemand()
    pendingDemand.add({ model: 'rare', adapters: [], waiting: 1, patienceMs: 10_000, weight: 1 }, 0)
    pendingDemand.add({ model: 'popular', adapters: [], waiting: 10, patienceMs: 10_000, weight: 1 }, 0)
    const loadMs = (demand: { model: string }): number => demand.model === 'popular' ? 2000 : 500
    expect(pendingDemand.byUrgency(0, loadMs).map(demand => demand.model)).to.deep.equal(['popular', 'rare'])
  })

  it('expires unless it is repeated', () => {
    const pendingDemand = createPendingDemand()
    pendingDemand.add({ model: 'm', adapters: [], waiting: 1, patienceMs: 60_000, weight: 1 }, 0)
    expect(pendingDemand.byUrgency(2000, () => 0).length).to.equal(1)
    expect(pendingDemand.byUrgency(4000, () => 0).length).to.equal(0)
  })
})

describe('lifecycle of a replica', () => {
  const LIFECYCLES: ReadonlyArray<{ events: ReadonlyArray<Parameters<ReturnType<typeof createReplicaLifecycle>['send']>[0]>, ends: string }> = [
    { events: ['record', 'order', 'confirm', 'unload', 'remove'], ends: 'gone' },
    { events: ['record', 'order', 'silence', 'confirm'], ends: 'loaded' },
    { events: ['record', 'order', 'fail', 'confirm'], ends: 'gone' },
    { events: ['confirm'], ends: 'decided' },
    { events: ['record', 'order', 'lose'], ends: 'ordered' },
    { events: ['record', 'order', 'confirm', 'unload', 'lose'], ends: 'unloading' }
  ]
  LIFECYCLES.forEach(({ events, ends }) => it(`${events.join(', ')}: ${ends}`, () => {
    const lifecycle = createReplicaLifecycle()
    events.forEach(lifecycle.send)
    expect(lifecycle.state()).to.equal(ends)
  }))
})
