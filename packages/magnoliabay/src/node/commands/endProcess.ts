/** Ends the process of a command whose shutdown is over. */
import { EXIT_SUCCESS } from './types'

/**
 * Exits explicitly, since sockets that callers keep open must not delay the end past the grace period.
 *
 * `isLogWritten`: whether all log lines have been written. Node waits for its thread pool before it exits, where the write to
 * a reader that has stopped never returns: the process would run until its platform kills it. Nothing but log lines is left
 * by then, so it ends itself by the same signal.
 */
export function endProcess (isLogWritten: boolean): never {
  if (!isLogWritten) process.kill(process.pid, 'SIGKILL')
  process.exit(EXIT_SUCCESS)
}
