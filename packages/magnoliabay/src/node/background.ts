/**
 * Runs tasks that nobody awaits. A fault in one ends only that task: without a handler, the runtime would end the process, and
 * with it every request in flight.
 */
import { messageOf } from './utils'

export type FaultReporter = (task: string, err: unknown) => void

let report: FaultReporter = (task, err) => process.emitWarning(`${task}: ${messageOf(err)}`, 'TaskFault')

/** Sets where faults are reported. @default a warning of the runtime */
export function setFaultReporter (reporter: FaultReporter): void {
  report = reporter
}

/** Reports a fault in a task, by its name. */
export function reportFault (task: string, err: unknown): void {
  report(task, err)
}

/** Runs one step of a loop; a fault in it is reported, and the loop goes on. */
export async function runStep (task: string, step: () => unknown): Promise<void> {
  try {
    await step()
  } catch (err) {
    reportFault(task, err)
  }
}

/** Runs a listener or the callback of a timer, which the runtime calls: an exception that left it would end the process. */
export function runGuarded (task: string, callback: () => void): void {
  try {
    callback()
  } catch (err) {
    reportFault(task, err)
  }
}

/** Reports the fault of a task that nobody awaits. */
export function inBackground (task: string, promise: PromiseLike<unknown> | void): void {
  promise?.then(undefined, (err: unknown) => reportFault(task, err))
}
