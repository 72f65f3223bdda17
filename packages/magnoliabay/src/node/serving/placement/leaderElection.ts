/**
 * Elects the instance that gives orders to engines, one at a time, under a lease of the store. Engines need not check
 * fencing tokens, so orders of two machines are separated in time instead: a machine that was not the last to order
 * waits before its first order.
 */
import { inBackground, runStep } from '../../background'
import type { Clock } from '../../clock'
import { TIMED_OUT, sleep, delayToNextPeriod, withTimeout } from '../../clock'
import type { Logger } from '../../logger'
import type { Result } from '../../result'
import type { Store, StoreError } from '../../store'
import type { LeadershipTerm } from '../fleetMessages'
import { LAST_ORDER_KEY, LEADER_KEY, createLeaderClaim, readLeaderRecords, toLastOrder, toLeaderClaim, writeLeaderClaim, writeLastOrderRecord } from './leaderRecords'
import type { LastOrderRecord, LeaderClaim, LeaderRecords, RecordMonitor, Versioned } from './leaderRecords'

export { LEADER_KEY }

/** Interval between renewals of the lease. Three fit into its lifetime, so that one lost response does not end it. */
const RENEW_INTERVAL_MS = 600
const LEASE_TTL_MS = 2200
/** The leader stops ordering this long before its lease ends, so that an order in flight arrives before another leads. */
const LEASE_SAFETY_MARGIN_MS = 300
/** Time after which an unanswered renewal is also tried through a peer, milliseconds. */
const DIRECT_RENEW_TIMEOUT_MS = 350
/** Interval at which an instance that is not the leader checks whether it may claim the lease, milliseconds. */
const LEADER_CHECK_INTERVAL_MS = 250
/** The same interval for an instance that receives summaries from a leader, milliseconds. */
const FOLLOWER_CHECK_INTERVAL_MS = 500
/** Delay before the leader tries again to record its machine as the last to order, milliseconds. */
const LAST_ORDER_RETRY_DELAY_MS = 100
/**
 * Bound of the random delay that makes candidates try at different moments, so that the first one wins without a race.
 */
const MAX_CANDIDATE_DELAY_MS = 100
/**
 * Younger processes try first: in a rolling restart the older ones are restarted next, and each handover leaves some
 * seconds without orders. The delay grows with age up to this bound.
 */
const MAX_AGE_DELAY_MS = 250
const MAX_AGE_DELAY_AFTER_MS = 40_000
/**
 * Instances with less than one whole processor try later, by this delay times the missing fraction of a processor: the
 * leader of a large fleet receives hundreds of reports per second.
 */
const MAX_PROCESSOR_DELAY_MS = 450
/** A partitioned instance leads only where no other one takes the lease within this time, milliseconds. */
const PARTITIONED_CANDIDACY_DELAY_MS = 4000

export interface LeaderElection {
  /** Fencing token under which orders may be sent now; undefined if none may be sent. */
  fencingToken (): number | undefined
  /** Milliseconds until this instance may order; undefined if it does not hold the lease. */
  firstOrderInMs (): number | undefined
  /** Whether this instance holds the lease, though it may have to wait before its first order. */
  isLeaseHolder (): boolean
  /** The lease holder, by the latest claim received from the store or a peer. */
  leaseHolder (): string | undefined
  /** The claim of this instance; undefined if it does not hold the lease. */
  ownClaim (): LeadershipTerm | undefined
  /** The current claim, if known. */
  knownClaim (): LeadershipTerm | undefined
  /** Revision of the latest known claim or of its end. */
  latestClaimRevision (): number
  /** Applies a claim received from a peer, if it is newer than the known one. */
  recordClaimFromPeer (claim: LeadershipTerm): void
  start (signal: AbortSignal): void
  /** Gives up the lease for now, since this instance cannot send orders; another one takes over. */
  stepDown (reason: string): Promise<void>
  /** Revokes the lease; no orders are sent afterwards. */
  resign (): Promise<void>
}

export interface LeaderElectionOptions {
  /** Logs and counts records that cannot be read. @default they count as none only */
  inputs?: RecordMonitor
  store: Store
  self: string
  /** Id of the machine: orders from any of its processes count as those of one lease holder. */
  machine: string
  /** Shortest time between the orders of two machines, milliseconds. */
  orderLeaseMs: number
  minLeaseMs: number
  /** Processor time that this process may use, seconds per second. */
  processorShare: number
  /** Renews a lease through a peer that reaches the store; undefined if there is none. */
  renewLeaseViaPeer: (leaseId: string) => Promise<Result<number, StoreError> | undefined>
  /** Whether this instance receives summaries from another leader, so that it need not check the store. */
  isFollowing: () => boolean
  /** Whether this instance reaches the engines, so that its orders would arrive. @default () => true */
  reachesEngines?: () => boolean
  /** Whether this process shuts down: it claims no lease that it would give up at once. @default () => false */
  isLeaving?: () => boolean
  /** Additional delay before this instance tries to claim the lease, milliseconds. */
  candidacyDelayMs: () => number
  /** Era of the store; it rises whenever the store goes on from an older copy. */
  era: () => number
  /** Whether the whole fleet starts for the first time, so that a missing record was never written. */
  isFirstStart: boolean
  /** Whether the instance's process is proven to have ended. */
  hasProcessEnded: (instance: string) => Promise<boolean>
  clock: Clock
  logger: Logger
  random: () => number
}

interface LeaderTerm {
  claim: LeaderClaim
  /** Era of the store when the claim was written. */
  era: number
  leaseId: string
  fence: number
  /** Earliest time of the first order, monotonic milliseconds. */
  firstOrderMs: number
  /** Revision of the last-order record when this term began. */
  lastOrderRevision: number
  /** Whether that record names this machine, so that no other has ordered since. */
  isLastToOrder: boolean
}

/**
 * A moment by both clocks: elapsed time is the larger of the two differences. The monotonic clock stops while a machine
 * is suspended; the wall clock may be set back.
 */
interface Timestamp {
  monotonicMs: number
  wallMs: number
}

/** When the lease was seen to be released, and the revision of the last-order record at that time. */
interface LeaseRelease {
  atMs: number
  lastOrderRevision: number
}

export function createLeaderElection (options: LeaderElectionOptions): LeaderElection {
  const { store, self, machine, clock, logger } = options
  const leaseMs = Math.max(LEASE_TTL_MS, options.minLeaseMs)
  let term: LeaderTerm | undefined
  let confirmedAt: Timestamp | undefined
  /** Whether a first snapshot has arrived; until then it is unknown whether there is a lease holder. */
  let hasSnapshot = false
  let leader: Versioned<LeaderClaim> = toLeaderClaim(undefined)
  /** Latest known revision of a claim or of its end; claims from peers may be older. */
  let latestRevision = 0
  let lastOrder: Versioned<LastOrderRecord> = toLastOrder(undefined)
  let leaseRelease: LeaseRelease | undefined
  let hasResigned = false
  let wake = new AbortController()
  const startedMs = clock.monotonic()
  /** Era of the first snapshot that this process received. */
  let firstEra = 0
  /**
   * The era whose start ended this machine's lease before its time had run out. No other machine can have ordered before
   * that era, and one that orders in it writes the last-order record first.
   */
  let uninterruptedEra: number | undefined

  const currentTimestamp = (): Timestamp => ({ monotonicMs: clock.monotonic(), wallMs: clock.now() })
  const elapsedMs = (moment: Timestamp): number => Math.max(clock.monotonic() - moment.monotonicMs, clock.now() - moment.wallMs)
  const isConfirmed = (): boolean => confirmedAt !== undefined && elapsedMs(confirmedAt) < leaseMs - LEASE_SAFETY_MARGIN_MS
  const endTerm = (reason: string): void => {
    if (term === undefined) return
    logger.warn('orderer-lost', { fence: term.fence, era: term.era, reason })
    if (term.era < options.era() && term.isLastToOrder && isConfirmed()) uninterruptedEra = options.era()
    term = undefined
    confirmedAt = undefined
    wake.abort()
  }
  const wasLastToOrder = ({ lastOrder: record }: Pick<LeaderRecords, 'lastOrder'>): boolean => {
    const era = options.era()
    if (record.value?.era === era) return record.value.machine === machine
    return uninterruptedEra === era && era > 0
  }
  /** A missing record proves nothing in a later era: a rollback of the store may have lost it. */
  const hasNoMachineOrdered = ({ lastOrder: record }: LeaderRecords): boolean => record.revision === 0 && options.isFirstStart && options.era() === firstEra
  /**
   * Whether the claim may be replaced now. A claim of this machine belongs to an earlier process. If this machine was the
   * last to order, the holder of any other claim has ordered nothing yet, and this machine need not wait: orders continue
   * at once after a restart of the whole fleet and after a short outage of the store.
   */
  const mayClaim = (records: LeaderRecords): boolean =>
    records.leader.value === undefined || records.leader.value.machine === machine || wasLastToOrder(records)
  /**
   * The previous leader ordered nothing after its lease was released. The time of release is used only if no machine has
   * ordered since: the last-order record changes with each claim of the machine that it names.
   */
  const earliestOrderMs = (records: LeaderRecords): number => {
    if (wasLastToOrder(records) || hasNoMachineOrdered(records)) return clock.monotonic()
    const isReleaseTimeKnown = leaseRelease?.lastOrderRevision === records.lastOrder.revision && records.lastOrder.value?.era === options.era()
    const freeSinceMs = isReleaseTimeKnown ? leaseRelease!.atMs : clock.monotonic()
    return freeSinceMs + options.orderLeaseMs
  }
  /**
   * The hand-over may wait for the store after the shutdown has begun. A lease that is claimed meanwhile is given up again
   * within seconds, and the next machine waits for its first order as long as after a leader's.
   */
  const mayNotLead = (): boolean => hasResigned || options.isLeaving?.() === true
  const tryClaim = async (): Promise<void> => {
    const sentAt = currentTimestamp()
    const records = await readLeaderRecords(store, options.inputs)
    if (records.err) return
    const era = options.era()
    leader = records.val.leader
    latestRevision = Math.max(latestRevision, leader.revision)
    lastOrder = records.val.lastOrder
    if (!mayClaim(records.val) || mayNotLead()) return
    const lease = await store.grantLease(leaseMs / 1000)
    if (lease.err) return
    const firstOrderMs = earliestOrderMs(records.val)
    const claim = createLeaderClaim(self, machine)
    const isLastToOrder = wasLastToOrder(records.val)
    const claimed = await writeLeaderClaim(store, records.val, claim, { leaseId: lease.val, era, isLastToOrder })
    // The records may have been read before a rollback of the store.
    if (claimed.kind !== 'done' || options.era() !== era) {
      await store.revokeLease(lease.val)
      return
    }
    term = { claim, era, leaseId: lease.val, fence: claimed.revision, firstOrderMs, isLastToOrder, lastOrderRevision: isLastToOrder ? claimed.revision : records.val.lastOrder.revision }
    confirmedAt = sentAt
    logger.info('orderer-won', { fence: term.fence, firstOrderInMs: Math.max(0, Math.round(firstOrderMs - clock.monotonic())), orderedLast: records.val.lastOrder.value?.machine })
  }
  /** Writes the last-order record: no order is sent before the store names this machine in it. */
  const beginOrdering = async (ownTerm: LeaderTerm): Promise<void> => {
    const written = await writeLastOrderRecord(store, { machine, era: ownTerm.era }, ownTerm.fence, ownTerm.lastOrderRevision)
    if (term !== ownTerm) return
    if (written.kind === 'lost') return endTerm('another machine took the lease back')
    if (written.kind === 'failed') return logger.warn('orderer-not-named', { fence: ownTerm.fence, reason: written.reason })
    ownTerm.isLastToOrder = true
    ownTerm.lastOrderRevision = written.revision
  }
  /** Renews the lease, through a peer if the store rejects this instance or does not respond to it in time. */
  const renewLease = async (leaseId: string): Promise<{ sentAt: Timestamp, renewed: Result<number, StoreError> }> => {
    const sentAt = currentTimestamp()
    const directRenewal = store.renewLease(leaseId)
    const directResult = await withTimeout(clock, DIRECT_RENEW_TIMEOUT_MS, directRenewal)
    if (directResult !== TIMED_OUT && (directResult.ok || directResult.val.kind === 'lease-lost')) return { sentAt, renewed: directResult }
    const peerSentAt = currentTimestamp()
    const peerResult = await options.renewLeaseViaPeer(leaseId)
    if (peerResult === undefined || peerResult.err) logger.debug('lease-not-renewed-by-peer', { lease: leaseId, reason: peerResult?.err === true ? peerResult.val.kind : 'no peer' })
    if (peerResult !== undefined && (peerResult.ok || peerResult.val.kind === 'lease-lost')) return { sentAt: peerSentAt, renewed: peerResult }
    return { sentAt, renewed: await directRenewal }
  }
  const renew = async (ownTerm: LeaderTerm): Promise<void> => {
    const wasConfirmed = isConfirmed()
    const { sentAt, renewed } = await renewLease(ownTerm.leaseId)
    if (term !== ownTerm) return
    if (renewed.err) {
      if (renewed.val.kind === 'lease-lost') return endTerm('lease ended')
      // While the store is unreachable for all instances, no other can take the lease, and the lease may not expire at all.
      if (wasConfirmed && !isConfirmed()) logger.warn('orderer-paused', { fence: ownTerm.fence, reason: 'lease not renewed in time' })
      return
    }
    // Counted from the time of sending: the response may have waited while this process was suspended.
    confirmedAt = sentAt
    if (!wasConfirmed) logger.info('orderer-resumed', { fence: ownTerm.fence })
  }
  /** Revokes the lease of a leader whose process has ended, so that orders continue without waiting for it to expire. */
  const revokeEndedLeaderLease = async (): Promise<void> => {
    const holder = leader.value?.holder
    if (holder === undefined || holder === self || !await options.hasProcessEnded(holder)) return
    const records = await readLeaderRecords(store, options.inputs)
    if (records.err || records.val.leader.value?.claim !== leader.value?.claim || records.val.leader.leaseId === undefined) return
    logger.info('orderer-ended', { holder, lease: records.val.leader.leaseId })
    await store.revokeLease(records.val.leader.leaseId)
  }
  const isPartitioned = (): boolean => options.reachesEngines?.() === false
  /** A partitioned instance takes the lease from nobody: whoever holds it can send orders. */
  const mustLeaveLease = (): boolean => isPartitioned() && leader.value !== undefined
  const step = async (): Promise<void> => {
    if (term !== undefined) return await renew(term)
    if (!hasSnapshot || mayNotLead() || options.isFollowing() || mustLeaveLease()) return
    if (!mayClaim({ leader, lastOrder })) return await revokeEndedLeaderLease()
    if (isPartitioned()) await sleep(clock, PARTITIONED_CANDIDACY_DELAY_MS)
    if (!wasLastToOrder({ lastOrder })) {
      const age = Math.min(1, (clock.monotonic() - startedMs) / MAX_AGE_DELAY_AFTER_MS)
      const missingShare = Math.max(0, 1 - options.processorShare)
      await sleep(clock, options.random() * MAX_CANDIDATE_DELAY_MS + age * MAX_AGE_DELAY_MS + missingShare * MAX_PROCESSOR_DELAY_MS + options.candidacyDelayMs())
    }
    if (!mayClaim({ leader, lastOrder }) || mayNotLead() || options.isFollowing() || mustLeaveLease()) return
    // Changes are delivered in batches, so in a large fleet most candidates have not seen yet that another has won.
    await tryClaim()
  }
  const delayToNextStepMs = (): number => {
    if (term === undefined) return delayToNextPeriod(clock, options.isFollowing() ? FOLLOWER_CHECK_INTERVAL_MS : LEADER_CHECK_INTERVAL_MS)
    const untilFirstMs = term.firstOrderMs - clock.monotonic()
    if (term.isLastToOrder) return RENEW_INTERVAL_MS
    return untilFirstMs > 0 ? Math.min(RENEW_INTERVAL_MS, untilFirstMs) : LAST_ORDER_RETRY_DELAY_MS
  }
  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      wake = new AbortController()
      await runStep('leader-election', async () => {
        await step()
        if (term !== undefined && !term.isLastToOrder && clock.monotonic() >= term.firstOrderMs) await beginOrdering(term)
      })
      await sleep(clock, delayToNextStepMs(), signal, wake.signal)
    }
  }
  /** `revision`: of the received change, which may be older than the claim of this instance. */
  const applyLeader = (next: Versioned<LeaderClaim>, revision: number): void => {
    leader = next
    latestRevision = Math.max(latestRevision, revision)
    if (term !== undefined && revision > term.fence) endTerm(next.value === undefined ? 'lease ended' : 'another machine took the lease')
    if (next.value === undefined) leaseRelease = { atMs: clock.monotonic(), lastOrderRevision: lastOrder.revision }
    if (mayClaim({ leader, lastOrder })) wake.abort()
  }
  const applyLastOrder = (next: Versioned<LastOrderRecord>): void => {
    lastOrder = next
    if (mayClaim({ leader, lastOrder })) wake.abort()
  }

  return {
    fencingToken: () => {
      if (term === undefined || hasResigned || !term.isLastToOrder || clock.monotonic() < term.firstOrderMs) return undefined
      if (!isConfirmed()) return undefined
      return term.fence
    },
    firstOrderInMs: () => {
      if (term === undefined || hasResigned || !isConfirmed()) return undefined
      return Math.max(0, term.firstOrderMs - clock.monotonic())
    },
    isLeaseHolder: () => term !== undefined && !hasResigned && isConfirmed(),
    leaseHolder: () => leader.value?.holder,
    ownClaim: () => term === undefined || hasResigned || !isConfirmed() ? undefined : { claim: term.claim, revision: term.fence },
    knownClaim: () => leader.value === undefined ? undefined : { claim: leader.value, revision: leader.revision },
    latestClaimRevision: () => Math.max(latestRevision, term?.fence ?? 0),
    recordClaimFromPeer: ({ claim, revision }) => {
      if (revision > Math.max(latestRevision, term?.fence ?? 0)) applyLeader({ value: claim, revision, leaseId: undefined }, revision)
    },
    start: signal => {
      store.watch(LEADER_KEY, {
        onSnapshot: ({ entries }) => {
          if (!hasSnapshot) firstEra = options.era()
          hasSnapshot = true
          const found = entries.find(entry => entry.key === LEADER_KEY)
          applyLeader(toLeaderClaim(found, options.inputs), found?.modRevision ?? 0)
        },
        onEvent: event => {
          if (event.key === LEADER_KEY) applyLeader(toLeaderClaim(event.kind === 'put' ? event : undefined, options.inputs), event.modRevision)
        }
      }, signal)
      store.watch(LAST_ORDER_KEY, {
        onSnapshot: ({ entries }) => applyLastOrder(toLastOrder(entries.find(entry => entry.key === LAST_ORDER_KEY), options.inputs)),
        onEvent: event => { if (event.kind === 'put' && event.key === LAST_ORDER_KEY) applyLastOrder(toLastOrder(event, options.inputs)) }
      }, signal)
      inBackground('leader-election', run(signal))
    },
    stepDown: async reason => {
      if (term === undefined) return
      const { leaseId } = term
      endTerm(reason)
      await store.revokeLease(leaseId)
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
