import { expect } from 'chai'
import { repeat } from '..'
import { createVirtualClock } from '../virtual'

describe('what is repeated', () => {
  /** Guards against a wake-up of its own for each task that a process repeats. */
  it('falls due at the same moments for all tasks of one period, whenever they began', async () => {
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
})
