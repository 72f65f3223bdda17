import { expect } from 'chai'
import { createTicker } from '../ticker'
import { createVirtualClock } from '../virtual'
import type { Clock } from '..'

describe('a ticker', () => {
  /** Guards against a timer for each link of a process: hundreds of idle processes would wake for nothing else. */
  it('calls all who listen from one timer, and runs while somebody does', async () => {
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
    const heard: string[] = []
    const dispose = ['a', 'b', 'c'].map(name => ticker.add(() => { heard.push(name) }))
    await clock.advance(2500)
    expect(heard.join('')).to.equal('abcabc')
    expect(timers).to.equal(3)
    dispose.forEach(each => each())
    await clock.advance(5000)
    expect(heard).to.have.length(6)
    expect(timers).to.equal(3)
  })

  it('starts anew when somebody listens again', async () => {
    const clock = createVirtualClock()
    const ticker = createTicker(clock, 1000)
    ticker.add(() => {})()
    let ticks = 0
    ticker.add(() => { ticks += 1 })
    await clock.advance(1000)
    expect(ticks).to.equal(1)
  })
})
