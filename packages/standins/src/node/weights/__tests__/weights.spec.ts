import { expect } from 'chai'
import { createVirtualClock } from 'magnoliabay/clock/virtual'
import type { VirtualClock } from 'magnoliabay/clock/virtual'
import { createWeightStore } from '..'
import { createSharedRate } from '../sharedRate'

function startAll (clock: VirtualClock, count: number, run: () => Promise<boolean>): number[] {
  const endedAtMs: number[] = []
  Array.from({ length: count }, () => run().then(() => endedAtMs.push(clock.monotonic())))
  return endedAtMs
}

describe('weight store', () => {
  const SLOT_CASES: ReadonlyArray<{ jobs: number, slowdown: number, endMs: number }> = [
    { jobs: 4, slowdown: 1, endMs: 100 },
    { jobs: 8, slowdown: 1, endMs: 200 },
    { jobs: 4, slowdown: 3, endMs: 300 }
  ]

  SLOT_CASES.forEach(({ jobs, slowdown, endMs }) => it(`runs ${jobs} jobs on 4 slots at slowdown ${slowdown} in ${endMs} ms`, async () => {
    const clock = createVirtualClock()
    const rate = createSharedRate({ clock, slots: 4, slowdown: () => slowdown })
    const endedAtMs = startAll(clock, jobs, () => rate.run(100))
    await clock.advance(endMs - 1)
    expect(endedAtMs).to.deep.equal([])
    await clock.advance(1)
    expect(endedAtMs).to.deep.equal(Array.from({ length: jobs }, () => endMs))
  }))

  it('gives the bandwidth of an aborted job to the others', async () => {
    const clock = createVirtualClock()
    const rate = createSharedRate({ clock, slots: 1 })
    const stop = new AbortController()
    const endedAtMs = startAll(clock, 1, () => rate.run(100))
    const aborted = rate.run(100, stop.signal)
    await clock.advance(50)
    stop.abort()
    expect(await aborted).to.equal(false)
    await clock.advance(75)
    expect(endedAtMs).to.deep.equal([125])
  })

  it('starts two loads per second', async () => {
    const clock = createVirtualClock()
    const weights = createWeightStore({ clock })
    Array.from({ length: 5 }, (_unused, index) => weights.loadModel({ model: `m${index}`, engine: 'e', memoryMiB: 1 }))
    await clock.advance(3000)
    const [first = 0] = weights.records().map(record => record.startedAtMs)
    expect(weights.records().map(record => record.startedAtMs - first)).to.deep.equal([0, 500, 1000, 1500, 2000])
  })

  const ADAPTERS: ReadonlyArray<{ count: number, minMs: number, maxMs: number }> = [
    { count: 30, minMs: 5, maxMs: 15 },
    { count: 90, minMs: 5, maxMs: 45 }
  ]

  ADAPTERS.forEach(({ count, minMs, maxMs }) => it(`loads ${count} concurrent adapters in ${minMs} to ${maxMs} ms`, async () => {
    const clock = createVirtualClock()
    const weights = createWeightStore({ clock })
    const endedAtMs = startAll(clock, count, () => weights.loadAdapter())
    await clock.advance(100)
    expect(endedAtMs.length).to.equal(count)
    expect(Math.min(...endedAtMs)).to.be.at.least(minMs)
    expect(Math.max(...endedAtMs)).to.be.within(maxMs * 0.6, maxMs)
  }))
})
