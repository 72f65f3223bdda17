/** Deadline of a request, with a signal that aborts at that time or when the caller disconnects. */
import type { ServerResponse } from 'node:http'
import type { Clock } from '../clock'

export type AbortReason = 'deadline' | 'caller-gone' | 'key-withdrawn' | 'shutting-down'

export interface AbortableDeadline {
  /** Monotonic milliseconds. */
  atMs: number
  signal: AbortSignal
  abort (reason: AbortReason): void
  /** Reason for which the signal aborted; undefined while it has not. */
  reason (): AbortReason | undefined
}

export function createDeadline (clock: Clock, delayMs: number, res: ServerResponse): AbortableDeadline {
  const controller = new AbortController()
  let reason: AbortReason | undefined
  const abort = (abortReason: AbortReason): void => {
    if (reason !== undefined) return
    reason = abortReason
    controller.abort()
  }
  const cancel = clock.schedule(delayMs, () => abort('deadline'))
  res.on('close', () => {
    cancel()
    if (!res.writableFinished) abort('caller-gone')
  })
  return { atMs: clock.monotonic() + delayMs, signal: controller.signal, abort, reason: () => reason }
}
