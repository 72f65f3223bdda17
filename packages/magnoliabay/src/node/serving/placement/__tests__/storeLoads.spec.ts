import { expect } from 'chai'
import { createStoreLoads } from '../storeLoads'

const WINDOW_MS = 5000

describe('loads from the weight store', () => {
  it('are bounded in the window', () => {
    const loads = createStoreLoads({ windowMs: WINDOW_MS, loadsPerSecond: () => 0.4 })
    expect(loads.left(0)).to.equal(2)
    loads.noteBegun(0)
    loads.noteBegun(1000)
    expect(loads.left(4000)).to.equal(0)
    expect(loads.left(7500)).to.equal(2)
  })

  it('are bounded in number at once, whatever the rate', () => {
    const loads = createStoreLoads({ windowMs: WINDOW_MS, loadsPerSecond: () => 100 })
    Array.from({ length: 3 }).forEach(() => loads.noteBegun(0))
    expect(loads.left(6000)).to.equal(0)
    expect(loads.left(7000)).to.equal(3)
  })

  /**
   * More loads begin in a window than the store allows, beside a change of who gives orders.
   * 1. The holder before begins loads, and is gone. 2. The new one does not know of them. 3. It counts half of the
   * window as used.
   */
  it('count half of the window as used by the holder before', () => {
    const loads = createStoreLoads({ windowMs: WINDOW_MS, loadsPerSecond: () => 0.8 })
    loads.assumeEarlier(0)
    expect(loads.left(0)).to.equal(1)
  })
})
