import { expect } from 'chai'
import perfHooks from 'node:perf_hooks'
import { createRegistry } from '../registry'

/** How often an idle process may wake up for its own metrics. */
const MAX_WAKEUPS_PER_SECOND = 2
const MS_PER_SECOND = 1000

describe('default metrics of the runtime', () => {
  /** Guards against event loop sampling that wakes each of hundreds of idle processes a hundred times a second. */
  it('wake an idle process at most twice a second', () => {
    const original = perfHooks.monitorEventLoopDelay
    const resolutions: number[] = []
    perfHooks.monitorEventLoopDelay = options => {
      resolutions.push(options?.resolution ?? 0)
      return original(options)
    }
    try {
      createRegistry()
    } finally {
      perfHooks.monitorEventLoopDelay = original
    }
    expect(resolutions).to.have.length(1)
    expect(MS_PER_SECOND / resolutions[0]!).to.be.at.most(MAX_WAKEUPS_PER_SECOND)
  })
})
