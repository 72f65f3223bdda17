/**
 * Tracks over all attempts whether a request may have run. Only this module decides whether a failure is
 * reported as *not run*.
 */
import { createMachine, interpret, state, transition } from 'robot3'
import type { NotRunEvidence } from '../answers'
import type { Failure } from '../failures'
import type { RequestOutcome } from './outcome'

/**
 * `untouched`: no attempt can have run. `sent`: an attempt is in flight. `tainted`: an attempt may have run;
 * this state is final, whatever happens to later attempts.
 */
export type ExecutionState = 'untouched' | 'sent' | 'tainted'

/**
 * `send`: an attempt starts. `lose`: it ended, and may have run.
 */
export type ExecutionEvent = 'send' | 'lose'

export interface ExecutionTracker {
  record (event: ExecutionEvent): void
  /** Records that the attempt ended and certainly did not run. */
  disclaim (evidence: NotRunEvidence): void
  /** What shows of each attempt so far that it did not run. */
  evidence (): readonly NotRunEvidence[]
  state (): ExecutionState
  /** Turns a failure into the request's outcome; it is *not run* only if no attempt may have run. */
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
  const evidence: NotRunEvidence[] = []
  const current = (): ExecutionState => service.machine.current as ExecutionState
  return {
    record: event => service.send(event),
    disclaim: shown => {
      evidence.push(shown)
      service.send('disclaim')
    },
    evidence: () => evidence,
    state: current,
    conclude: failure => {
      const notRun = failure.notRun && current() === 'untouched'
      return notRun
        ? { kind: 'refused-not-run', failure }
        : { kind: 'failed-may-have-run', failure: { ...failure, notRun: false } }
    }
  }
}
