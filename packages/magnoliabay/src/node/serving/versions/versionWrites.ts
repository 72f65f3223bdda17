/** Brings the keys of the history of versions into the store: each is written until the store has it, or the write is not due any more. */
import { inBackground } from '../../background'
import { sleep } from '../../clock'
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import type { Store, WriteOperation } from '../../store'

/** Delay after a write that failed, milliseconds; doubled after each further one. */
const MIN_RETRY_DELAY_MS = 500
const MAX_RETRY_DELAY_MS = 8000
const MS_PER_SECOND = 1000

export interface WriteRequest {
  valueOf: () => string
  /** Whether the store drops the value after a while. */
  isLeased: boolean
  delayMs: number
  /** Whether the store still lacks the value. */
  isDue: () => boolean
}

/** `stored`: the store has the value. `not-due`: it need not have it any more. `stopped`: the instance ends. */
export type WriteEnd = 'stored' | 'not-due' | 'stopped'

export interface VersionWrites {
  /** Starts a write of the key, unless one is due or under way. */
  start (key: string, request: WriteRequest): void
  /** Time since the write of the key that is due or under way was started, milliseconds; undefined if none is. */
  pendingMs (key: string): number | undefined
  hasPending (): boolean
}

export interface VersionWritesOptions {
  store: Pick<Store, 'grantLease'>
  recordStore: Pick<Store, 'get' | 'transact'>
  /** Time for which the store keeps a leased value, milliseconds. */
  leaseMs: () => number
  /** Called when the store has the value. */
  onStored: (key: string, value: string) => void
  /** Called when a leased value may not have been written. */
  onLeaseDoubtful: (key: string) => void
  onEnd: (end: WriteEnd, isLeased: boolean) => void
  clock: Clock
  logger: Logger
  /** Ends all writes. */
  signal: () => AbortSignal
}

export function createVersionWrites (options: VersionWritesOptions): VersionWrites {
  const { store, recordStore, leaseMs, clock, logger } = options
  /** When writes that are due or under way were started, monotonic milliseconds, by key. */
  const pending = new Map<string, number>()
  /** Keys that this instance has tried to write under a lease without a response; the write may be carried out later. */
  const unconfirmed = new Set<string>()

  /** Writes the value unless the store has an equal one, and returns whether the store has it. */
  const write = async (key: string, value: string, isLeased: boolean): Promise<boolean> => {
    const found = await recordStore.get(key, { priority: 'ownership' })
    if (found.err) return false
    // A new revision keeps an earlier write of this instance from being carried out later.
    if (found.val?.value === value && (isLeased || !unconfirmed.has(key))) return true
    const lease = isLeased ? await store.grantLease(leaseMs() / MS_PER_SECOND) : undefined
    if (lease?.err === true) return false
    const put: WriteOperation = { kind: 'put', key, value, ...(lease === undefined ? {} : { leaseId: lease.val }) }
    const result = await recordStore.transact({ compares: [{ key, target: 'mod', equals: found.val?.modRevision ?? 0 }], writes: [put] }, { priority: 'ownership' })
    return result.ok && result.val.succeeded
  }
  const tryWrite = async (key: string, { valueOf, isLeased, isDue }: WriteRequest): Promise<WriteEnd | undefined> => {
    const value = valueOf()
    if (!isDue()) return 'not-due'
    if (await write(key, value, isLeased)) {
      unconfirmed.delete(key)
      options.onStored(key, value)
      return 'stored'
    }
    if (isLeased) {
      unconfirmed.add(key)
      options.onLeaseDoubtful(key)
    }
    return undefined
  }
  const writeUntilDone = async (key: string, request: WriteRequest): Promise<void> => {
    const startedMs = clock.monotonic()
    let waitMs = request.delayMs
    let retryMs = MIN_RETRY_DELAY_MS
    let end: WriteEnd | undefined
    while (end === undefined && !options.signal().aborted) {
      if (waitMs > 0) await sleep(clock, waitMs, options.signal())
      waitMs = retryMs
      retryMs = Math.min(MAX_RETRY_DELAY_MS, retryMs * 2)
      end = await tryWrite(key, request)
    }
    pending.delete(key)
    logger.info('software-version-written', { key, outcome: end ?? 'stopped', isLeased: request.isLeased, afterMs: Math.round(clock.monotonic() - startedMs) })
    options.onEnd(end ?? 'stopped', request.isLeased)
  }

  return {
    start: (key, request) => {
      if (pending.has(key)) return
      pending.set(key, clock.monotonic())
      inBackground('write-software-version', writeUntilDone(key, request))
    },
    pendingMs: key => {
      const sinceMs = pending.get(key)
      return sinceMs === undefined ? undefined : clock.monotonic() - sinceMs
    },
    hasPending: () => pending.size > 0
  }
}
