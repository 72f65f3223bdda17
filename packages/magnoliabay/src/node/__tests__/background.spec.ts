import { expect } from 'chai'
import { inBackground, runStep, setFaultReporter } from '../background'
import { repeat } from '../clock'
import { createVirtualClock } from '../clock/virtual'

describe('tasks that nobody awaits', () => {
  const faults: string[] = []
  before(() => setFaultReporter((task, err) => faults.push(`${task}: ${(err as Error).message}`)))
  after(() => setFaultReporter(() => {}))
  beforeEach(() => { faults.length = 0 })

  /** Guards against a process that ends for the fault of one task: the runtime ends it for a rejection without a handler. */
  it('report their faults', async () => {
    inBackground('read-report', Promise.reject(new TypeError('no report')))
    await new Promise(resolve => setImmediate(resolve))
    expect(faults).to.deep.equal(['read-report: no report'])
  })

  /** Guards against a loop that ends for good with its first fault, such as that of the plans of a leader. */
  it('go on with their next round after a fault in one', async () => {
    const clock = createVirtualClock()
    const stop = new AbortController()
    let rounds = 0
    const plan = (): void => {
      rounds += 1
      throw new RangeError(`round ${rounds}`)
    }
    inBackground('plans', repeat(clock, 100, stop.signal, plan))
    await clock.advance(250)
    stop.abort()
    expect(rounds).to.equal(3)
    expect(faults).to.deep.equal(['plan: round 1', 'plan: round 2', 'plan: round 3'])
  })

  it('report a step that throws at once', async () => {
    await runStep('step', () => { throw new Error('now') })
    expect(faults).to.deep.equal(['step: now'])
  })
})
