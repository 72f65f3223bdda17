import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createEvacuations } from '../evacuations'
import type { Evacuations } from '../evacuations'

interface Harness {
  clock: ReturnType<typeof createVirtualClock>
  evacuations: Evacuations
  storeReachableSinceMs: { value: number }
}

function createHarness (): Harness {
  const clock = createVirtualClock()
  const storeReachableSinceMs = { value: -60_000 }
  return { clock, storeReachableSinceMs, evacuations: createEvacuations({ storeReachableSinceMs: () => storeReachableSinceMs.value, clock, logger: createSilentLogger() }) }
}

describe('evacuations of failure domains', () => {
  it('begin and end by events of the store', async () => {
    const { evacuations, clock } = createHarness()
    evacuations.snapshot([], 3)
    evacuations.begin('a', 4)
    expect(evacuations.isEvacuated('a')).to.equal(true)
    evacuations.end('a', 5)
    await clock.advance(100)
    expect(evacuations.isEvacuated('a')).to.equal(false)
    expect(evacuations.endedAgoMs('a')).to.equal(100)
    expect(evacuations.endedAgoMs('b')).to.equal(Infinity)
  })

  /** Guards against an evacuation that ends or restarts at some instances because of an outdated state from a peer. */
  it('ignore an older state from a peer', () => {
    const { evacuations } = createHarness()
    evacuations.applyFromPeer({ domains: ['a'], revision: 7 })
    evacuations.applyFromPeer({ domains: [], revision: 6 })
    evacuations.applyFromPeer(undefined)
    expect(evacuations.isEvacuated('a')).to.equal(true)
    evacuations.applyFromPeer({ domains: [], revision: 8 })
    evacuations.applyFromPeer({ domains: ['a'], revision: 7 })
    expect(evacuations.isEvacuated('a')).to.equal(false)
  })

  /**
   * Failure: requests reach engines of a failure domain that the operator has evacuated.
   * 1. The store is rolled back to a copy from before the evacuation. 2. The operator's records are written again shortly
   * afterwards.
   */
  it('continue after a rollback of the store until their records are written again', async () => {
    const { evacuations, storeReachableSinceMs, clock } = createHarness()
    evacuations.snapshot(['a', 'b'], 5)
    storeReachableSinceMs.value = clock.monotonic()
    evacuations.snapshot([], 100)
    expect(evacuations.isEvacuated('a')).to.equal(true)
    await clock.advance(1000)
    evacuations.begin('a', 101)
    await clock.advance(5000)
    expect(evacuations.isEvacuated('a')).to.equal(true)
  })

  it('end if their records are not written again after a rollback', async () => {
    const { evacuations, storeReachableSinceMs, clock } = createHarness()
    evacuations.snapshot(['a'], 5)
    storeReachableSinceMs.value = clock.monotonic()
    evacuations.snapshot([], 100)
    await clock.advance(3000)
    expect(evacuations.isEvacuated('a')).to.equal(false)
  })
})
