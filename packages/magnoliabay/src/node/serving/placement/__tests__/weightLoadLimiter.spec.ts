import { expect } from 'chai'
import { createWeightLoadLimiter } from '../weightLoadLimiter'

const WINDOW_MS = 5000

/** Duration of one load without contention, milliseconds. */
const UNCONTENDED_MS = 8000

describe('weight load limiter', () => {
  it('limits the loads in a window', () => {
    const loads = createWeightLoadLimiter({ windowMs: WINDOW_MS, loadsPerSecond: () => 0.4 })
    expect(loads.remaining(0)).to.equal(2)
    loads.recordStart('e1', 0)
    loads.recordStart('e2', 1000)
    loads.recordEnd('e1', 500, UNCONTENDED_MS)
    loads.recordEnd('e2', 500, UNCONTENDED_MS)
    expect(loads.remaining(4000)).to.equal(0)
    expect(loads.remaining(7500)).to.equal(2)
  })

  it('limits concurrency until a load has ended, whatever the rate', () => {
    const loads = createWeightLoadLimiter({ windowMs: WINDOW_MS, loadsPerSecond: () => 100 })
    const engines = ['e1', 'e2', 'e3']
    engines.forEach(engine => loads.recordStart(engine, 0))
    expect(loads.remaining(6000)).to.equal(0)
    loads.recordEnd('e1', UNCONTENDED_MS, UNCONTENDED_MS)
    expect(loads.remaining(UNCONTENDED_MS)).to.be.at.least(1)
  })

  it('stops counting a load whose end was not reported after some time', () => {
    const loads = createWeightLoadLimiter({ windowMs: WINDOW_MS, loadsPerSecond: () => 100 })
    Array.from({ length: 3 }).forEach((_, index) => loads.recordStart(`e${index}`, 0))
    expect(loads.remaining(29_000)).to.equal(0)
    expect(loads.remaining(31_000)).to.equal(3)
  })

  /**
   * Guards against rare models that take twenty seconds to load instead of eight.
   * 1. Six loads begin at once. 2. The store runs two at full speed, so each of the six takes three times as long.
   * 3. From then on no more than two run at once.
   */
  it('lowers concurrency when loads slow each other down', () => {
    const loads = createWeightLoadLimiter({ windowMs: WINDOW_MS, loadsPerSecond: () => 100 })
    const engines = ['e1', 'e2', 'e3']
    engines.forEach(engine => loads.recordStart(engine, 0))
    engines.forEach(engine => loads.recordEnd(engine, UNCONTENDED_MS * 3 / 2, UNCONTENDED_MS))
    expect(loads.remaining(20_000)).to.equal(2)
    const runTwoLoads = (): void => {
      loads.recordStart('e1', 30_000)
      loads.recordStart('e2', 30_000)
      loads.recordEnd('e1', UNCONTENDED_MS, UNCONTENDED_MS)
      loads.recordEnd('e2', UNCONTENDED_MS, UNCONTENDED_MS)
    }
    runTwoLoads()
    runTwoLoads()
    expect(loads.remaining(60_000)).to.equal(2)
    expect(loads.slowdownFactor(3)).to.equal(2)
  })

  it('raises concurrency when loads do not slow each other down', () => {
    const loads = createWeightLoadLimiter({ windowMs: WINDOW_MS, loadsPerSecond: () => 100 })
    const engines = ['e1', 'e2', 'e3']
    engines.forEach(engine => loads.recordStart(engine, 0))
    engines.forEach(engine => loads.recordEnd(engine, UNCONTENDED_MS, UNCONTENDED_MS))
    expect(loads.remaining(20_000)).to.be.above(3)
  })

  /**
   * Guards against more loads in a window than the store allows, after a change of leader.
   * 1. The previous leader begins loads and ends. 2. The new leader does not know of them. 3. It counts half of the window
   * as used.
   */
  it('counts half of the window as used by the previous leader', () => {
    const loads = createWeightLoadLimiter({ windowMs: WINDOW_MS, loadsPerSecond: () => 0.8 })
    loads.assumeEarlierLoads(0)
    expect(loads.remaining(0)).to.equal(1)
  })

  /**
   * Guards against more loads in a window than the store allows, while the leader restarts again and again.
   * 1. Each term begins as many loads as it may at once. 2. Its process is killed, and starts again. 3. It counts half of the window
   * as used, whatever began in the terms before.
   */
  it('allows one load at once after each restart of the leader, so that several within a window keep to the limit', () => {
    for (const loadsPerSecond of [0.2, 0.4, 0.6, 0.8, 1, 2, 4]) {
      const allowedInWindow = loadsPerSecond * WINDOW_MS / 1000 * 1.1 + 3
      const beginTerm = (atMs: number): number => {
        const loads = createWeightLoadLimiter({ windowMs: WINDOW_MS, loadsPerSecond: () => loadsPerSecond })
        if (atMs > 0) loads.assumeEarlierLoads(atMs)
        const begun = loads.remaining(atMs)
        Array.from({ length: begun }).forEach((_, index) => loads.recordStart(`e${index}`, atMs))
        return begun
      }
      const begun = [0, 1500, 3000, 4500].map(beginTerm).reduce((sum, each) => sum + each, 0)
      expect(begun, `at ${loadsPerSecond} a second`).to.be.at.most(allowedInWindow)
    }
  })

  /** Guards against the end of the leading process, again and again, with a configuration without engines: RangeError. */
  it('counts earlier loads where no rate is known, or none is allowed', () => {
    for (const rate of [Infinity, 1e12, 0]) {
      const limiter = createWeightLoadLimiter({ windowMs: 5000, loadsPerSecond: () => rate })
      limiter.assumeEarlierLoads(0)
      expect(limiter.remaining(0)).to.be.at.most(3)
    }
  })
})
