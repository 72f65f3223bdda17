/**
 * Keeps the backoff times for which backend servers want no requests from this instance. They asked this instance alone, so the
 * times are not shared: others may still be served.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'

export interface ServerBackoffs {
  /** Records that an answer of the process asks for backoff; a shorter time does not end a longer one. */
  record (process: string, backoffMs: number): void
  /** Remaining time for which the process wants no requests from this instance, milliseconds. */
  remainingMs (process: string): number
}

export interface ServerBackoffsOptions {
  clock: Clock
  logger: Logger
}

export function createServerBackoffs ({ clock, logger }: ServerBackoffsOptions): ServerBackoffs {
  /** Monotonic milliseconds, by process. */
  const untilMs = new Map<string, number>()

  const remainingMs = (process: string): number => Math.max(0, (untilMs.get(process) ?? -Infinity) - clock.monotonic())
  const dropEnded = (): void => untilMs.forEach((_, process) => { if (remainingMs(process) === 0) untilMs.delete(process) })
  return {
    remainingMs,
    record: (process, backoffMs) => {
      if (backoffMs <= remainingMs(process)) return
      dropEnded()
      untilMs.set(process, clock.monotonic() + backoffMs)
      logger.info('server-backoff', { server: process, backoffMs })
    }
  }
}
