/**
 * Counts teams' allowances over the fleet. Members hold shares of each allowance and transfer them to each other.
 * `docs/design/allowance.md` explains why the limit is strict without a central coordinator.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat, sleep } from '../clock'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import type { TerminationProofs } from '../members/terminationDetector'
import type { Store } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { HOME_TARGET_UNITS, MS_PER_SECOND, MAINTENANCE_INTERVAL_MS } from './constants'
import { createShareExchange } from './shareExchange'
import { isIdle } from './transferPolicy'
import { createHomeMembers } from './homeMembers'
import { holdingNotice } from './messages'
import { createTransferCounters } from './transferCounters'
import { createReclaim } from './reclaim'
import { createRemoteReservations } from './remoteReservations'
import type { RemoteTicket } from './remoteReservations'
import { createProcessRegistry } from './processRegistry'
import type { Ticket } from './share'
import { createTeamShares } from './teamShares'
import type { TeamShare, ActiveTeamConfig } from './teamShares'

export interface Reservation {
  team: string
  tokens: number
  held: HeldTicket
}

/** Where a reservation is held: in this member's share, or at a home member. */
export type HeldTicket =
  | { at: 'here', ticket: Ticket }
  | { at: 'home', ticket: RemoteTicket }

export interface TeamHolding {
  team: string
  /** Share of the team's allowance held by this process, 0 to {@link TOTAL_UNITS}. */
  units: number
  /** Tokens available now. */
  level: number
  /** Tokens of reservations that are not settled yet. */
  outstanding: number
}

export interface Allowance {
  /** Takes `tokens` from the team's allowance, or returns when they will be available. */
  reserve (team: string, tokens: number): Promise<Result<Reservation, Failure>>
  /** Ends a reservation: refunds unused tokens, and charges those used beyond it as a debt. */
  settle (reservation: Reservation, usedTokens: number): void
  /** Members that hold the team's tokens, in order of preference. */
  homeMembers (team: string): readonly string[]
  /** Returns what this process holds of each team's allowance. */
  holdings (): readonly TeamHolding[]
  start (signal: AbortSignal): void
  /** Transfers all shares to members that are not leaving. Called when the last request has ended. */
  handOver (): Promise<void>
}

export interface AllowanceOptions {
  cfg: ActiveTeamConfig
  peers: Peers
  store: Store
  clock: Clock
  logger: Logger
  /** Without proofs nothing is reclaimed. @default no process is ever proven to have terminated */
  proofs?: TerminationProofs
}

const UNAVAILABLE_RETRY_AFTER_S = 1
const HAND_OVER_TIMEOUT_MS = 2000
const HAND_OVER_POLL_INTERVAL_MS = 50

const NO_PROOFS: TerminationProofs = { proofFor: () => undefined, onTerminated: () => () => {} }

export function createAllowance (options: AllowanceOptions): Allowance {
  const { cfg, peers, store, clock, logger } = options
  const self = peers.self
  const monotonic = (): number => clock.monotonic()
  const shares = createTeamShares(cfg, clock)
  const homes = createHomeMembers(peers)
  const counters = createTransferCounters({ process: self.incarnation, shares, monotonic })
  const processId = { member: self.id, incarnation: self.incarnation }
  const registry = createProcessRegistry({ store, self: processId, shares, clock, logger })
  const exchange = createShareExchange({ peers, shares, counters, homes, clock, logger, mayHold: registry.isRegistered })
  const remote = createRemoteReservations({ peers, shares, homes, exchange, clock })
  const reclaim = createReclaim({ store, peers, counters, registry, proofs: options.proofs ?? NO_PROOFS, clock, logger })

  const ensureLedgers = async (): Promise<void> => {
    if (!registry.isRegistered()) return
    const isPrimaryHomeOf = (team: string): boolean => homes.primary(team)?.id === self.id
    const teamsWithoutLedger = shares.all().map(own => own.team).filter(team => !registry.hasLedger(team) && isPrimaryHomeOf(team))
    if (teamsWithoutLedger.length + registry.unconfirmedTeams().length > 0) await registry.ensureLedgers(teamsWithoutLedger)
  }
  /** Notifies the home of the units held here, so that it knows which members to collect from and which idle shares to take over. */
  const notifyHolding = (own: TeamShare, home: MemberRecord | undefined): void => {
    if (home === undefined || home.id === self.id || own.share.units() === 0) return
    peers.notify(home.id, holdingNotice, {
      team: own.team,
      units: own.share.units(),
      isIdle: isIdle(own, self.leaving, monotonic())
    })
  }
  const isFarBelowTarget = (own: TeamShare): boolean => !self.leaving && own.share.units() < HOME_TARGET_UNITS / 2
  const isHomeOf = (team: string): boolean => homes.inOwnRegion(team).some(home => home.id === self.id)
  const handOverTarget = (team: string): MemberRecord | undefined =>
    homes.ranked(team).find(member => member.id !== self.id && !member.leaving && peers.isConnected(member.id))
  const maintain = async (): Promise<void> => {
    if (!registry.isRegistered()) await registry.register()
    await ensureLedgers()
    await exchange.recoverLostTransfers()
    await Promise.all(shares.all().filter(own => isHomeOf(own.team) && isFarBelowTarget(own)).map(exchange.evenOut))
    shares.all().filter(own => !isHomeOf(own.team)).forEach(own => notifyHolding(own, homes.inOwnRegion(own.team)[0]))
    await reclaim.maintain()
  }
  const createOverAllowanceFailure = (tokens: number, waitMs: number): Failure => {
    const waitSeconds = Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))
    return createRefusal('over_allowance', `The team's allowance is spent. ${tokens} tokens will be there in ${waitSeconds} s.`, waitSeconds)
  }
  const reserveFromOwnShare = async (own: TeamShare, tokens: number): Promise<Result<Reservation, Failure>> => {
    const taken = await exchange.take(own, tokens)
    if (taken.kind === 'short') return Err(createOverAllowanceFailure(tokens, taken.waitMs))
    return Ok({ team: own.team, tokens, held: { at: 'here', ticket: taken.ticket } })
  }
  const reserveAtHome = async (team: string, tokens: number): Promise<Result<Reservation, Failure>> => {
    const result = await remote.reserve(team, tokens)
    if (result.kind === 'granted') return Ok({ team, tokens, held: { at: 'home', ticket: result.ticket } })
    if (result.kind === 'refused') return Err(createOverAllowanceFailure(tokens, result.waitMs))
    return Err(createRefusal('over_allowance', 'The allowance cannot be checked here just now. Use another instance.', UNAVAILABLE_RETRY_AFTER_S))
  }

  return {
    homeMembers: team => homes.ranked(team).map(member => member.id),
    holdings: () => shares.all().map(({ team, share }) => ({
      team,
      units: share.units(),
      level: share.level(monotonic()),
      outstanding: share.outstanding()
    })),
    reserve: async (team, tokens) => {
      const own = shares.of(team)
      if (own === undefined) return Err(createRefusal('over_allowance', `Team ${team} has no allowance here yet.`, UNAVAILABLE_RETRY_AFTER_S))
      const { burst } = own.share.size()
      if (tokens > burst) return Err(createRefusal('over_allowance', `The request needs ${tokens} tokens, more than the team's burst of ${burst}.`))
      own.demand.record(tokens, monotonic())
      const ticket = own.share.tryTake(tokens, monotonic())
      if (ticket !== undefined) return Ok({ team, tokens, held: { at: 'here', ticket } })
      return isHomeOf(team) ? await reserveFromOwnShare(own, tokens) : await reserveAtHome(team, tokens)
    },
    settle: ({ team, held }, usedTokens) => {
      if (held.at === 'home') return remote.settle(held.ticket, usedTokens)
      shares.of(team)?.share.settle(held.ticket, usedTokens, monotonic())
    },
    start: signal => {
      cfg.onChanged(() => { if (!signal.aborted) inBackground('ensure-ledgers', ensureLedgers()) })
      inBackground('allowance-loop', repeat(clock, MAINTENANCE_INTERVAL_MS, signal, maintain))
    },
    handOver: async () => {
      const endMs = monotonic() + HAND_OVER_TIMEOUT_MS
      const heldShares = (): readonly TeamShare[] => shares.all().filter(own => own.share.units() > 0)
      while (heldShares().length > 0 && monotonic() < endMs && heldShares().some(own => handOverTarget(own.team) !== undefined)) {
        heldShares().forEach(own => notifyHolding(own, handOverTarget(own.team)))
        await sleep(clock, HAND_OVER_POLL_INTERVAL_MS)
      }
      logger.info('shares-handed-over', { left: heldShares().map(own => own.team) })
    }
  }
}
