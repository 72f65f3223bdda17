/**
 * Which instance gives orders to engines: one at a time, under a lease of the store. Engines need not check fencing
 * numbers, so two machines that order in turns are kept apart in time instead: one that was not the last to order
 * waits before its first order.
 */
import type { Clock } from '../../clock'
import { TIMED_OUT, sleep, delayToNextPeriod, withTimeout } from '../../clock'
import type { Logger } from '../../logger'
import type { Result } from '../../result'
import type { Store, StoreError } from '../../store'
import type { LeadershipTerm } from '../fleetMessages'
import { LAST_ORDERER_KEY, LEADER_KEY, createLeaderClaim, readLeaderRecords, versionedOf, writeLeaderClaim, writeLastOrderer } from './leaderRecords'
import type { LastOrderer, LeaderClaim, LeaderRecords, Versioned } from './leaderRecords'

export { LEADER_KEY }

/** How often the lease is renewed. Three renewals fit into a lease, so that one lost answer costs nothing. */
const RENEW_PERIOD_MS = 600
const LEASE_MS = 2200
/** The leader stops this long before its lease ends, so that an order on its way arrives before another leads. */
const STOP_BEFORE_END_MS = 300
/** A renewal that the store has not answered by then is tried by way of a peer, milliseconds. */
const RENEW_PATIENCE_MS = 350
/** How often one who does not lead looks whether the leader is gone, milliseconds. */
const LOOK_PERIOD_MS = 250
/** The same for one whom a leader tells that it is there, milliseconds. */
const FOLLOWER_LOOK_PERIOD_MS = 500
/** Pause before this instance tries again to be named as the last to order, milliseconds. */
const BEGIN_RETRY_MS = 100
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

export interface LeaderElection {
  /** The number under which orders may be sent now, or undefined. */
  fencingToken (): number | undefined
  /** Milliseconds until this instance may order; undefined where it does not hold the lease. */
  firstOrderInMs (): number | undefined
  /** Whether this instance holds the lease, though it may have to wait before its first order. */
  isLeaseHolder (): boolean
  /** The instance that holds the lease, by the latest claim that the store or a peer has told. */
  leaseHolder (): string | undefined
  /** By what this instance leads; undefined where it does not hold the lease. */
  ownClaim (): LeadershipTerm | undefined
  /** The claim that stands, as far as known. */
  knownClaim (): LeadershipTerm | undefined
  /** Revision of the latest claim, or of its end, that is known. */
  latestClaimRevision (): number
  /** A peer tells of a claim. */
  noteClaimFromPeer (claim: LeadershipTerm): void
  start (signal: AbortSignal): void
  /** Gives the lease back; no orders are sent any more. */
  resign (): Promise<void>
}

export interface LeaderElectionOptions {
  store: Store
  self: string
  /** Names the machine: its orders are those of one holder, whatever process sends them. */
  machine: string
  /** Orders of two holders must be this far apart, milliseconds. */
  orderLeaseMs: number
  minLeaseMs: number
  /** Processor time a second that this process may use, seconds. */
  processorShare: number
  /** Renews a lease by way of a peer that reaches the store; undefined where none does. */
  renewLeaseViaPeer: (leaseId: string) => Promise<Result<number, StoreError> | undefined>
  /** Another leads and says so: the store need not be asked. */
  isFollowing: () => boolean
  /** Tries for the lease later than others do, milliseconds. */
  candidacyDelayMs: () => number
  /** Of the store: it rises whenever the store goes on from an older copy of itself. */
  era: () => number
  /** The whole fleet starts for the first time, so a record that is not there was never written. */
  isFirstStart: boolean
  /** Whether the instance's process is proven to have ended. */
  hasProcessEnded: (instance: string) => Promise<boolean>
  clock: Clock
  logger: Logger
  random: () => number
}

interface Term {
  claim: LeaderClaim
  /** Of the store, as the claim was written. */
  era: number
  leaseId: string
  fence: number
  /** Monotonic milliseconds of the first order. */
  fromMs: number
  /** Revision of the record of who ordered last, as this term began. */
  lastRevision: number
  /** Whether that record names this machine: no other has ordered since. */
  isLast: boolean
}

/**
 * Time that passed since a moment by whichever clock saw more of it. The steady clock stands still while a machine
 * is suspended; the time of day may be set back.
 */
interface Moment {
  steadyMs: number
  wallMs: number
}

/** When the lease was seen to be free, and the revision of the record of who ordered last as it then was. */
interface Freed {
  atMs: number
  lastRevision: number
}

export function createLeaderElection (options: LeaderElectionOptions): LeaderElection {
  const { store, self, machine, clock, logger } = options
  const leaseMs = Math.max(LEASE_MS, options.minLeaseMs)
  let term: Term | undefined
  let confirmed: Moment | undefined
  /** Until the first snapshot nobody knows whether there is a holder. */
  let isInformed = false
  let leader: Versioned<LeaderClaim> = versionedOf(undefined)
  /** Of claims and of their ends, as far as known: what a peer tells may be older. */
  let latestRevision = 0
  let last: Versioned<LastOrderer> = versionedOf(undefined)
  let freed: Freed | undefined
  let hasResigned = false
  let wake = new AbortController()
  const startedMs = clock.monotonic()
  /** Of the first answer that this process had. */
  let firstEra = 0
  /**
   * The era in which this machine's lease was lost though its time had not run out: nobody else can have ordered before
   * that era, and whoever does in it says so in the store first.
   */
  let heldIntoEra: number | undefined

  const mark = (): Moment => ({ steadyMs: clock.monotonic(), wallMs: clock.now() })
  const since = (moment: Moment): number => Math.max(clock.monotonic() - moment.steadyMs, clock.now() - moment.wallMs)
  const isConfirmed = (): boolean => confirmed !== undefined && since(confirmed) < leaseMs - STOP_BEFORE_END_MS
  const lose = (reason: string): void => {
    if (term === undefined) return
    logger.warn('orderer-lost', { fence: term.fence, era: term.era, reason })
    if (term.era < options.era() && term.isLast && isConfirmed()) heldIntoEra = options.era()
    term = undefined
    confirmed = undefined
    wake.abort()
  }
  const wasLast = ({ last: known }: Pick<LeaderRecords, 'last'>): boolean => {
    const era = options.era()
    if (known.value?.era === era) return known.value.machine === machine
    return heldIntoEra === era && era > 0
  }
  /** A store that went back to an older copy may have lost the record. */
  const hasNobodyOrdered = ({ last: known }: LeaderRecords): boolean => known.revision === 0 && options.isFirstStart && options.era() === firstEra
  /**
   * Whether the claim may be taken now. One of this machine's own is that of a process before this one. One of a
   * machine that was not the last to order has ordered nothing yet: this machine, which was, need not wait at all,
   * so that orders go on at once after a restart of everybody, and once a short outage of the store is over.
   */
  const mayClaim = (known: LeaderRecords): boolean =>
    known.leader.value === undefined || known.leader.value.machine === machine || wasLast(known)
  /**
   * The machine before this one ordered nothing after its lease was free. That moment counts only if nobody has ordered
   * since: the record of who ordered last changes with each claim of the one it names.
   */
  const firstOrderMs = (known: LeaderRecords): number => {
    if (wasLast(known) || hasNobodyOrdered(known)) return clock.monotonic()
    const isFreedKnown = freed?.lastRevision === known.last.revision && known.last.value?.era === options.era()
    const freeSinceMs = isFreedKnown ? freed!.atMs : clock.monotonic()
    return freeSinceMs + options.orderLeaseMs
  }
  const candidate = async (): Promise<void> => {
    const sentAt = mark()
    const known = await readLeaderRecords(store)
    if (known.err) return
    const era = options.era()
    leader = known.val.leader
    latestRevision = Math.max(latestRevision, leader.revision)
    last = known.val.last
    if (!mayClaim(known.val) || hasResigned) return
    const lease = await store.grantLease(leaseMs / 1000)
    if (lease.err) return
    const fromMs = firstOrderMs(known.val)
    const claim = createLeaderClaim(self, machine)
    const isLast = wasLast(known.val)
    const claimed = await writeLeaderClaim(store, known.val, claim, { leaseId: lease.val, era, isLast })
    // What was read may be of a store that has gone back to an older copy since.
    if (claimed.kind !== 'done' || options.era() !== era) {
      await store.revokeLease(lease.val)
      return
    }
    term = { claim, era, leaseId: lease.val, fence: claimed.revision, fromMs, isLast, lastRevision: isLast ? claimed.revision : known.val.last.revision }
    confirmed = sentAt
    logger.info('orderer-won', { fence: term.fence, firstOrderInMs: Math.max(0, Math.round(fromMs - clock.monotonic())), orderedLast: known.val.last.value?.machine })
  }
  /** The first order goes out only once the store names this machine as the last to order. */
  const beginOrdering = async (held: Term): Promise<void> => {
    const written = await writeLastOrderer(store, { machine, era: held.era }, held.fence, held.lastRevision)
    if (term !== held) return
    if (written.kind === 'lost') return lose('another machine took the lease back')
    if (written.kind === 'failed') return logger.warn('orderer-not-named', { fence: held.fence, reason: written.reason })
    held.isLast = true
    held.lastRevision = written.revision
  }
  /** The store may turn this instance away and serve others: the lease is renewed by way of one of them. */
  const renewLease = async (leaseId: string): Promise<{ sentAt: Moment, renewed: Result<number, StoreError> }> => {
    const sentAt = mark()
    const direct = store.renewLease(leaseId)
    const first = await withTimeout(clock, RENEW_PATIENCE_MS, direct)
    if (first !== TIMED_OUT && (first.ok || first.val.kind === 'lease-lost')) return { sentAt, renewed: first }
    const askedAt = mark()
    const byPeer = await options.renewLeaseViaPeer(leaseId)
    if (byPeer === undefined || byPeer.err) logger.debug('lease-not-renewed-by-peer', { lease: leaseId, reason: byPeer?.err === true ? byPeer.val.kind : 'no peer' })
    if (byPeer !== undefined && (byPeer.ok || byPeer.val.kind === 'lease-lost')) return { sentAt: askedAt, renewed: byPeer }
    return { sentAt, renewed: await direct }
  }
  const renew = async (held: Term): Promise<void> => {
    const wasConfirmed = isConfirmed()
    const { sentAt, renewed } = await renewLease(held.leaseId)
    if (term !== held) return
    if (renewed.err) {
      if (renewed.val.kind === 'lease-lost') return lose('lease ended')
      // While the store is away for everybody nobody else can take the lease; it may even stand still meanwhile.
      if (wasConfirmed && !isConfirmed()) logger.warn('orderer-paused', { fence: held.fence, reason: 'lease not renewed in time' })
      return
    }
    // Counted from when it was sent: the answer may have waited while this process stood still.
    confirmed = sentAt
    if (!wasConfirmed) logger.info('orderer-resumed', { fence: held.fence })
  }
  /** Ends the lease of a leader whose process has ended, so that orders go on without waiting for it to lapse. */
  const releaseEnded = async (): Promise<void> => {
    const holder = leader.value?.holder
    if (holder === undefined || holder === self || !await options.hasProcessEnded(holder)) return
    const known = await readLeaderRecords(store)
    if (known.err || known.val.leader.value?.claim !== leader.value?.claim || known.val.leader.leaseId === undefined) return
    logger.info('orderer-ended', { holder, lease: known.val.leader.leaseId })
    await store.revokeLease(known.val.leader.leaseId)
  }
  const step = async (): Promise<void> => {
    if (term !== undefined) return await renew(term)
    if (!isInformed || hasResigned || options.isFollowing()) return
    if (!mayClaim({ leader, last })) return await releaseEnded()
    if (!wasLast({ last })) {
      const age = Math.min(1, (clock.monotonic() - startedMs) / OLD_MS)
      const lacking = Math.max(0, 1 - options.processorShare)
      await sleep(clock, options.random() * MAX_CANDIDATE_DELAY_MS + age * AGE_DELAY_MS + lacking * SLOW_DELAY_MS + options.candidacyDelayMs())
      if (!mayClaim({ leader, last }) || hasResigned || options.isFollowing()) return
    }
    // Changes are gathered before they are told: in a large fleet most have missed that another has won.
    await candidate()
  }
  const untilNextMs = (): number => {
    if (term === undefined) return delayToNextPeriod(clock, options.isFollowing() ? FOLLOWER_LOOK_PERIOD_MS : LOOK_PERIOD_MS)
    const untilFirstMs = term.fromMs - clock.monotonic()
    if (term.isLast) return RENEW_PERIOD_MS
    return untilFirstMs > 0 ? Math.min(RENEW_PERIOD_MS, untilFirstMs) : BEGIN_RETRY_MS
  }
  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      wake = new AbortController()
      await step()
      if (term !== undefined && !term.isLast && clock.monotonic() >= term.fromMs) await beginOrdering(term)
      await sleep(clock, untilNextMs(), AbortSignal.any([signal, wake.signal]))
    }
  }
  /** `revision`: of the change that is told, which may be older than the claim of this instance. */
  const noteLeader = (next: Versioned<LeaderClaim>, revision: number): void => {
    leader = next
    latestRevision = Math.max(latestRevision, revision)
    if (term !== undefined && revision > term.fence) lose(next.value === undefined ? 'lease ended' : 'another machine took the lease')
    if (next.value === undefined) freed = { atMs: clock.monotonic(), lastRevision: last.revision }
    if (mayClaim({ leader, last })) wake.abort()
  }
  const noteLast = (next: Versioned<LastOrderer>): void => {
    last = next
    if (mayClaim({ leader, last })) wake.abort()
  }

  return {
    fencingToken: () => {
      if (term === undefined || hasResigned || !term.isLast || clock.monotonic() < term.fromMs) return undefined
      if (!isConfirmed()) return undefined
      return term.fence
    },
    firstOrderInMs: () => {
      if (term === undefined || hasResigned || !isConfirmed()) return undefined
      return Math.max(0, term.fromMs - clock.monotonic())
    },
    isLeaseHolder: () => term !== undefined && !hasResigned && isConfirmed(),
    leaseHolder: () => leader.value?.holder,
    ownClaim: () => term === undefined || hasResigned || !isConfirmed() ? undefined : { claim: term.claim, revision: term.fence },
    knownClaim: () => leader.value === undefined ? undefined : { claim: leader.value, revision: leader.revision },
    latestClaimRevision: () => Math.max(latestRevision, term?.fence ?? 0),
    noteClaimFromPeer: ({ claim, revision }) => {
      if (revision > Math.max(latestRevision, term?.fence ?? 0)) noteLeader({ value: claim, revision, leaseId: undefined }, revision)
    },
    start: signal => {
      store.watch(LEADER_KEY, {
        onSnapshot: ({ entries }) => {
          if (!isInformed) firstEra = options.era()
          isInformed = true
          const found = entries.find(entry => entry.key === LEADER_KEY)
          noteLeader(versionedOf(found), found?.modRevision ?? 0)
        },
        onEvent: event => {
          if (event.key === LEADER_KEY) noteLeader(versionedOf(event.kind === 'put' ? event : undefined), event.modRevision)
        }
      }, signal)
      store.watch(LAST_ORDERER_KEY, {
        onSnapshot: ({ entries }) => noteLast(versionedOf(entries.find(entry => entry.key === LAST_ORDERER_KEY))),
        onEvent: event => { if (event.kind === 'put' && event.key === LAST_ORDERER_KEY) noteLast(versionedOf(event)) }
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
