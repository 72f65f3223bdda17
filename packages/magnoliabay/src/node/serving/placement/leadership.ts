/**
 * Which instance gives orders to engines: one at a time, under a lease of the store. Engines need not check fencing
 * numbers, so two instances that order in turns are kept apart in time instead.
 */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import { STORE_ROOT } from '../../constants'
import type { Logger } from '../../logger'
import type { Store, StoreErrorKind } from '../../store'
import { createId, parseJson } from '../../utils'

export const LEADER_KEY = `${STORE_ROOT}/orderer`

/** How often the lease is renewed. Three renewals fit into a lease, so that one lost answer costs nothing. */
const RENEW_PERIOD_MS = 600
const LEASE_MS = 2200
/** The leader stops this long before its lease ends, so that an order on its way arrives before another leads. */
const STOP_BEFORE_END_MS = 300
/** Candidates try at different moments; the first one wins without a race. */
const MAX_CANDIDATE_DELAY_MS = 100
/**
 * Processes younger than others try first: where instances are restarted in turn, the old ones go next, and each
 * hand-over costs some seconds in which nothing is ordered.
 */
const AGE_DELAY_MS = 250
const OLD_MS = 40_000
/**
 * Instances with less than a whole processor try later, by so many milliseconds for each that they lack of one: the
 * leader of a large fleet hears hundreds of reports a second.
 */
const SLOW_DELAY_MS = 450

export interface Leadership {
  /** The number under which orders may be sent now, or undefined. */
  fence (): number | undefined
  /** Whether this instance holds the lease, though it may have to wait before its first order. */
  isHolder (): boolean
  /** The instance that holds the lease, as far as the store has told. */
  holder (): string | undefined
  start (signal: AbortSignal): void
  /** Gives the lease back; no orders are sent any more. */
  resign (): Promise<void>
}

export interface LeadershipOptions {
  store: Store
  self: string
  /** Orders of two holders must be this far apart, milliseconds. */
  orderLeaseMs: number
  minLeaseMs: number
  /** Processor time a second that this process may use, seconds. */
  processorShare: number
  clock: Clock
  logger: Logger
  random: () => number
}

interface Term {
  leaseId: string
  fence: number
  /** Monotonic milliseconds of the first order. */
  fromMs: number
}

/**
 * Time that passed since a moment by whichever clock saw more of it. The steady clock stands still while a machine
 * is suspended; the time of day may be set back.
 */
interface Moment {
  steadyMs: number
  wallMs: number
}

export function createLeadership (options: LeadershipOptions): Leadership {
  const { store, self, clock, logger } = options
  const leaseMs = Math.max(LEASE_MS, options.minLeaseMs)
  let term: Term | undefined
  let confirmed: Moment | undefined
  let holderKnown: string | undefined
  let hasResigned = false
  let wake = new AbortController()
  const startedMs = clock.monotonic()

  const mark = (): Moment => ({ steadyMs: clock.monotonic(), wallMs: clock.now() })
  const since = (moment: Moment): number => Math.max(clock.monotonic() - moment.steadyMs, clock.now() - moment.wallMs)
  const isConfirmed = (): boolean => confirmed !== undefined && since(confirmed) < leaseMs - STOP_BEFORE_END_MS
  const lose = (reason: string): void => {
    if (term === undefined) return
    logger.warn('orderer-lost', { fence: term.fence, reason })
    term = undefined
    confirmed = undefined
  }
  /** After a lost answer the write may or may not have taken effect: only the key itself tells. */
  const readBack = async (value: string): Promise<number | undefined> => {
    const read = await store.get(LEADER_KEY, { priority: 'ownership' })
    return read.ok && read.val?.value === value ? read.val.createRevision : undefined
  }
  const candidate = async (): Promise<void> => {
    const sentAt = mark()
    const lease = await store.grantLease(leaseMs / 1000)
    if (lease.err) return
    const value = JSON.stringify({ holder: self, claim: createId('claim') })
    const put = await store.transact({
      compares: [{ key: LEADER_KEY, target: 'create', equals: 0 }],
      writes: [{ kind: 'put', key: LEADER_KEY, value, leaseId: lease.val }]
    }, { priority: 'ownership' })
    const UNSURE: readonly StoreErrorKind[] = ['unknown', 'unavailable']
    const fence = put.ok
      ? (put.val.succeeded ? put.val.revision : undefined)
      : (UNSURE.includes(put.val.kind) ? await readBack(value) : undefined)
    if (fence === undefined) {
      await store.revokeLease(lease.val)
      return
    }
    term = { leaseId: lease.val, fence, fromMs: clock.monotonic() + options.orderLeaseMs }
    confirmed = sentAt
    logger.info('orderer-won', { fence, firstOrderInMs: options.orderLeaseMs })
  }
  const renew = async (held: Term): Promise<void> => {
    const sentAt = mark()
    const renewed = await store.renewLease(held.leaseId)
    if (term !== held) return
    if (renewed.ok) {
      // Counted from when it was sent: the answer may have waited while this process stood still.
      confirmed = sentAt
      return
    }
    if (renewed.val.kind === 'lease-lost') return lose('lease ended')
    if (!isConfirmed()) lose('lease not renewed in time')
  }
  const step = async (): Promise<void> => {
    if (term !== undefined) return await renew(term)
    if (holderKnown !== undefined || hasResigned) return
    const age = Math.min(1, (clock.monotonic() - startedMs) / OLD_MS)
    const lacking = Math.max(0, 1 - options.processorShare)
    await sleep(clock, options.random() * MAX_CANDIDATE_DELAY_MS + age * AGE_DELAY_MS + lacking * SLOW_DELAY_MS)
    if (holderKnown !== undefined || hasResigned) return
    // Changes are gathered before they are told: in a large fleet most have missed that another has won.
    const read = await store.get(LEADER_KEY, { priority: 'ownership' })
    if (read.err) return
    if (read.val === undefined) return await candidate()
    holderKnown = read.val.value
  }
  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await step()
      wake = new AbortController()
      await sleep(clock, RENEW_PERIOD_MS, AbortSignal.any([signal, wake.signal]))
    }
  }

  return {
    fence: () => {
      if (term === undefined || hasResigned || clock.monotonic() < term.fromMs) return undefined
      if (!isConfirmed()) return undefined
      return term.fence
    },
    isHolder: () => term !== undefined && !hasResigned,
    holder: () => holderKnown === undefined ? undefined : (parseJson(holderKnown) as { holder?: string } | undefined)?.holder,
    start: signal => {
      // Until the first snapshot nobody knows whether there is a holder.
      holderKnown = ''
      store.watch(LEADER_KEY, {
        onSnapshot: ({ entries }) => { holderKnown = entries.find(entry => entry.key === LEADER_KEY)?.value },
        onEvent: event => {
          holderKnown = event.kind === 'put' ? event.value : undefined
          if (holderKnown === undefined) wake.abort()
        }
      }, signal)
      run(signal)
    },
    resign: async () => {
      hasResigned = true
      if (term === undefined) return
      logger.info('orderer-resigned', { fence: term.fence })
      const { leaseId } = term
      term = undefined
      await store.revokeLease(leaseId)
    }
  }
}
