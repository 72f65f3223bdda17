import { expect } from 'chai'
import { repeat } from '..'
import { createVirtualClock } from '../virtual'
import type { Clock } from '..'

describe('repeat', () => {
  /** Guards against a separate wake-up of the process for each of its repeated tasks. */
  it('runs all tasks of one period at the same moments, whenever they began', async () => {
    const clock = createVirtualClock()
    const stop = new AbortController()
    const ranMs: number[] = []
    for (const beganMs of [0, 130, 170]) {
      await clock.advance(beganMs - clock.monotonic())
      repeat(clock, 300, stop.signal, () => { ranMs.push(clock.monotonic()) })
    }
    await clock.advance(1000)
    stop.abort()
    expect([...new Set(ranMs)]).to.deep.equal([0, 130, 170, 300, 600, 900])
    expect(ranMs.filter(ms => ms === 600)).to.have.length(3)
  })

  /** Guards against running every task twice: the runtime's timers fire up to a millisecond early. */
  it('does not run a task again for the fraction of a millisecond by which its timer was early', async () => {
    const clock = createVirtualClock()
    const early: Clock = { ...clock, monotonic: () => clock.monotonic() - 0.4, schedule: (delayMs, callback) => clock.schedule(Math.floor(delayMs), callback) }
    const stop = new AbortController()
    let runs = 0
    repeat(early, 100, stop.signal, () => { runs += 1 })
    await clock.advance(1050)
    stop.abort()
    expect(runs).to.equal(11)
  })
})
