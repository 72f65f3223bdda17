import { expect } from 'chai'
import { createTicker } from '../ticker'
import { createVirtualClock } from '../virtual'
import type { Clock } from '..'

describe('ticker', () => {
  /** Guards against one timer for each link of a process: hundreds of idle processes would wake up only for these. */
  it('calls all listeners from one timer, and runs only while there are listeners', async () => {
    const clock = createVirtualClock()
    let timers = 0
    const counting: Clock = {
      ...clock,
      schedule: (delayMs, callback) => {
        timers += 1
        return clock.schedule(delayMs, callback)
      }
    }
    const ticker = createTicker(counting, 1000)
    const calls: string[] = []
    const disposers = ['a', 'b', 'c'].map(name => ticker.add(() => { calls.push(name) }))
    await clock.advance(2500)
    expect(calls.join('')).to.equal('abcabc')
    expect(timers).to.equal(3)
    disposers.forEach(each => each())
    await clock.advance(5000)
    expect(calls).to.have.length(6)
    expect(timers).to.equal(3)
  })

  it('starts again when a listener is added after the last one was removed', async () => {
    const clock = createVirtualClock()
    const ticker = createTicker(clock, 1000)
    ticker.add(() => {})()
    let ticks = 0
    ticker.add(() => { ticks += 1 })
    await clock.advance(1000)
    expect(ticks).to.equal(1)
  })
})
