import { expect } from 'chai'
import { MAX_TIMER_DELAY_MS, createSystemClock } from '..'
import type { Clock } from '..'
import { createVirtualClock } from '../virtual'

const MONTH_MS = 30 * 24 * 3_600_000
const DELAYS_MS = [MAX_TIMER_DELAY_MS + 1, MONTH_MS, Number.MAX_SAFE_INTEGER, 1e300, Infinity]
/** Turns of the event loop in which a timer of one millisecond fires. */
const CLOCKS: Readonly<Record<string, { clock: Clock, wait: () => Promise<unknown> }>> = {
  system: { clock: createSystemClock(), wait: () => new Promise(resolve => setTimeout(() => setTimeout(resolve, 5), 5)) },
  virtual: (() => {
    const clock = createVirtualClock()
    return { clock, wait: () => clock.advance(1000) }
  })()
}

/** Guards against requests that end as they arrive, and tasks that run without pause, by delays that the runtime's timers cannot hold. */
describe('a delay longer than the runtime\'s timers can hold', () => {
  Object.entries(CLOCKS).forEach(([name, { clock, wait }]) => DELAYS_MS.forEach(delayMs => it(`does not end at once: ${delayMs} ms of the ${name} clock`, async () => {
    let hasFired = false
    const cancel = clock.schedule(delayMs, () => { hasFired = true })
    await wait()
    cancel()
    expect(hasFired).to.equal(false)
  })))

  /** Guards against a callback that never runs, and a timer that is set again without end. */
  it('is not one that is no number: it ends at once', async () => {
    const clock = createSystemClock()
    await new Promise<void>(resolve => { clock.schedule(NaN, resolve) })
  })

  it('ends when it is over, and not after it was cancelled', async () => {
    const clock = createVirtualClock()
    const firedMs: number[] = []
    clock.schedule(MONTH_MS, () => firedMs.push(clock.monotonic()))
    const cancel = clock.schedule(MONTH_MS, () => firedMs.push(-1))
    await clock.advance(MAX_TIMER_DELAY_MS + 1)
    cancel()
    await clock.advance(MONTH_MS)
    expect(firedMs).to.deep.equal([MONTH_MS])
  })
})
