import { expect } from 'chai'
import perfHooks from 'node:perf_hooks'
import { createRegistry } from '../registry'

/** A process that has nothing to do wakes this often at most for its own metrics. */
const MOST_WAKES_PER_SECOND = 2
const MS_PER_SECOND = 1000

describe('metrics of the runtime', () => {
  /** Guards against the sampler of the event loop waking each of hundreds of idle processes a hundred times a second. */
  it('wake an idle process rarely', () => {
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
    expect(MS_PER_SECOND / resolutions[0]!).to.be.at.most(MOST_WAKES_PER_SECOND)
  })
})
