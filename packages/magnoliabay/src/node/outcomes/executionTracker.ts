/**
 * What became of a request so far, over all its attempts: the only place that decides whether *not run* may
 * be said of it.
 */
import { createMachine, interpret, state, transition } from 'robot3'
import type { Failure } from '../failures'
import type { RequestOutcome } from './outcome'

/**
 * `untouched`: nothing can have run. `sent`: an attempt is out. `tainted`: an attempt may have run, and
 * nothing that happens elsewhere afterwards can take that back.
 */
export type ExecutionState = 'untouched' | 'sent' | 'tainted'

/**
 * `send`: an attempt goes out. `disclaim`: it certainly didn't run (never sent, or the backend server said so).
 * `lose`: it ended in any other way.
 */
export type ExecutionEvent = 'send' | 'disclaim' | 'lose'

export interface ExecutionTracker {
  record (event: ExecutionEvent): void
  state (): ExecutionState
  /** The failure as it may be told: *not run* only while that is true of every attempt. */
  conclude (failure: Failure): RequestOutcome
}

const machine = createMachine('untouched', {
  untouched: state(transition('send', 'sent')),
  sent: state(
    transition('disclaim', 'untouched'),
    transition('lose', 'tainted')
  ),
  tainted: state()
})

export function createExecutionTracker (): ExecutionTracker {
  const service = interpret(machine, () => {})
  const current = (): ExecutionState => service.machine.current as ExecutionState
  return {
    record: event => service.send(event),
    state: current,
    conclude: failure => {
      const notRun = failure.notRun && current() === 'untouched'
      return notRun
        ? { kind: 'refused-not-run', failure }
        : { kind: 'failed-may-have-run', failure: { ...failure, notRun: false } }
    }
  }
}
