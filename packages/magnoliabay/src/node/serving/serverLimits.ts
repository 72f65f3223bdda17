/** Keeps the rate limits that backend servers state in their answers. */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { ResponseMetadata } from './attempt'

export interface ServerLimits {
  /** Records what an answer of the server process states. */
  record (process: string, answer: Pick<ResponseMetadata, 'isNotRun' | 'isSigned' | 'statement'>): void
  /** Requests a second that the process takes from all instances together; undefined if it states no limit. */
  limitOf (process: string): number | undefined
  forget (process: string): void
}

export interface ServerLimitsOptions {
  clock: Clock
  logger: Logger
  /** Called with the number of limited processes when it has changed. */
  onChanged: (count: number) => void
}

export function createServerLimits ({ logger, onChanged }: ServerLimitsOptions): ServerLimits {
  const limits = new Map<string, number>()

  const set = (process: string, requestsPerSecond: number | undefined): void => {
    const before = limits.get(process)
    if (before === requestsPerSecond) return
    if (requestsPerSecond === undefined) limits.delete(process)
    else limits.set(process, requestsPerSecond)
    logger.info('server-limit', { server: process, requestsPerSecond: requestsPerSecond ?? 'none', before: before ?? 'none' })
    onChanged(limits.size)
  }
  return {
    record: (process, { isNotRun, isSigned, statement: { requestsPerSecond } }) => {
      // A rejection may come from a proxy or from another process, so its silence lifts nothing.
      const canLift = isSigned && !isNotRun
      if (requestsPerSecond !== undefined || canLift) set(process, requestsPerSecond)
    },
    limitOf: process => limits.get(process),
    forget: process => { if (limits.delete(process)) onChanged(limits.size) }
  }
}
