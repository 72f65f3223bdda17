/** The one deadline of a request: a time, and a signal that aborts then or when the caller goes. */
import type { ServerResponse } from 'node:http'
import type { Clock } from '../clock'

export type AbortReason = 'deadline' | 'caller-gone' | 'key-withdrawn' | 'shutting-down'

export interface AbortableDeadline {
  /** Monotonic milliseconds. */
  atMs: number
  signal: AbortSignal
  abort (reason: AbortReason): void
  /** Why the signal aborted. */
  reason (): AbortReason | undefined
}

export function createDeadline (clock: Clock, delayMs: number, res: ServerResponse): AbortableDeadline {
  const controller = new AbortController()
  let reason: AbortReason | undefined
  const abort = (why: AbortReason): void => {
    if (reason !== undefined) return
    reason = why
    controller.abort()
  }
  const cancel = clock.schedule(delayMs, () => abort('deadline'))
  res.on('close', () => {
    cancel()
    if (!res.writableFinished) abort('caller-gone')
  })
  return { atMs: clock.monotonic() + delayMs, signal: controller.signal, abort, reason: () => reason }
}
