/**
 * Teams' allowances, counted over the fleet by shares that members hold and hand to each other.
 * `docs/design/allowance.md` tells why it is strict without a referee.
 */
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
import { KEPT_BY_EACH_HOME, MS_PER_SECOND, MAINTENANCE_PERIOD_MS } from './constants'
import { createShareExchange } from './shareExchange'
import { isIdle } from './transferPolicy'
import { createHomes } from './homeMembers'
import { holdingNotice } from './messages'
import { createPairs } from './transferCounters'
import { createReclaim } from './reclaim'
import { createRemote } from './remoteReservations'
import type { RemoteTicket } from './remoteReservations'
import { createProcessRegistry } from './processRegistry'
import type { Ticket } from './share'
import { createShares } from './teamShares'
import type { TeamShare, ActiveTeamConfig } from './teamShares'

export interface Reservation {
  team: string
  tokens: number
  held: HeldTicket
}

/** Where a reservation is held: in the own share, or at a home. */
export type HeldTicket =
  | { at: 'here', ticket: Ticket }
  | { at: 'home', ticket: RemoteTicket }

export interface TeamHolding {
  team: string
  /** Part of the team's allowance held here, 0 to {@link TOTAL_UNITS}. */
  units: number
  /** Tokens at hand. */
  level: number
  /** Tokens of reservations not settled yet. */
  outstanding: number
}

export interface Allowance {
  /** Takes `tokens` from the team's allowance, or tells when they will be there. */
  reserve (team: string, tokens: number): Promise<Result<Reservation, Failure>>
  /** Ends a reservation: what it didn't use comes back; what it used beyond is owed. */
  settle (reservation: Reservation, usedTokens: number): void
  /** Members at which the team's tokens are held, best first. */
  homeMembers (team: string): readonly string[]
  /** What this process holds of each team. */
  holdings (): readonly TeamHolding[]
  start (signal: AbortSignal): void
  /** Gives all shares to members that stay. To be called when the last request has ended. */
  handOver (): Promise<void>
}

export interface AllowanceOptions {
  cfg: ActiveTeamConfig
  peers: Peers
  store: Store
  clock: Clock
  logger: Logger
  /** Without proofs nothing is reclaimed. @default nobody is ever proven gone */
  proofs?: TerminationProofs
}

const RETRY_AFTER_UNREACHABLE_S = 1
const HAND_OVER_MS = 2000
const HAND_OVER_POLL_MS = 50

const NO_PROOFS: TerminationProofs = { proofFor: () => undefined, onTerminated: () => () => {} }

export function createAllowance (options: AllowanceOptions): Allowance {
  const { cfg, peers, store, clock, logger } = options
  const self = peers.self
  const monotonic = (): number => clock.monotonic()
  const shares = createShares(cfg, clock)
  const homes = createHomes(peers)
  const pairs = createPairs({ process: self.incarnation, shares, monotonic })
  const name = { member: self.id, incarnation: self.incarnation }
  const registry = createProcessRegistry({ store, self: name, shares, clock, logger })
  const exchange = createShareExchange({ peers, shares, pairs, homes, clock, logger, mayHold: registry.isRegistered })
  const remote = createRemote({ peers, shares, homes, exchange, clock })
  const reclaim = createReclaim({ store, peers, pairs, registry, proofs: options.proofs ?? NO_PROOFS, clock, logger })

  const grantFirst = async (): Promise<void> => {
    if (!registry.isRegistered()) return
    const isMine = (team: string): boolean => homes.global(team)?.id === self.id
    const unknown = shares.all().map(own => own.team).filter(team => !registry.hasLedger(team) && isMine(team))
    if (unknown.length + registry.doubted().length > 0) await registry.grantFirst(unknown)
  }
  /** Tells the home what is held here, so that it knows whom to collect from, and what to take home. */
  const tellHome = (own: TeamShare, home: MemberRecord | undefined): void => {
    if (home === undefined || home.id === self.id || own.share.units() === 0) return
    peers.notify(home.id, holdingNotice, {
      team: own.team,
      units: own.share.units(),
      isIdle: isIdle(own, self.leaving, monotonic())
    })
  }
  const isThin = (own: TeamShare): boolean => !self.leaving && own.share.units() < KEPT_BY_EACH_HOME / 2
  const isHomeOf = (team: string): boolean => homes.near(team).some(home => home.id === self.id)
  const stayingHome = (team: string): MemberRecord | undefined =>
    homes.ranked(team).find(member => member.id !== self.id && !member.leaving && peers.isConnected(member.id))
  const tend = async (): Promise<void> => {
    if (!registry.isRegistered()) await registry.register()
    await grantFirst()
    await exchange.heal()
    await Promise.all(shares.all().filter(own => isHomeOf(own.team) && isThin(own)).map(exchange.even))
    shares.all().filter(own => !isHomeOf(own.team)).forEach(own => tellHome(own, homes.near(own.team)[0]))
    await reclaim.tend()
  }
  const refuse = (tokens: number, waitMs: number): Failure => {
    const waitSeconds = Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))
    return createRefusal('over_allowance', `The team's allowance is spent. ${tokens} tokens will be there in ${waitSeconds} s.`, waitSeconds)
  }
  const reserveHere = async (own: TeamShare, tokens: number): Promise<Result<Reservation, Failure>> => {
    const waitMs = await exchange.fetch(own, tokens)
    const ticket = own.share.take(tokens, monotonic())
    if (ticket === undefined) return Err(refuse(tokens, waitMs))
    return Ok({ team: own.team, tokens, held: { at: 'here', ticket } })
  }
  const reserveAtHome = async (team: string, tokens: number): Promise<Result<Reservation, Failure>> => {
    const answer = await remote.reserve(team, tokens)
    if (answer.kind === 'granted') return Ok({ team, tokens, held: { at: 'home', ticket: answer.ticket } })
    if (answer.kind === 'refused') return Err(refuse(tokens, answer.waitMs))
    return Err(createRefusal('over_allowance', 'The allowance cannot be checked here just now. Use another instance.', RETRY_AFTER_UNREACHABLE_S))
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
      if (own === undefined) return Err(createRefusal('over_allowance', `Team ${team} has no allowance here yet.`, RETRY_AFTER_UNREACHABLE_S))
      const { burst } = own.share.size()
      if (tokens > burst) return Err(createRefusal('over_allowance', `The request needs ${tokens} tokens, more than the team's burst of ${burst}.`))
      own.demand.note(tokens, monotonic())
      const ticket = own.share.take(tokens, monotonic())
      if (ticket !== undefined) return Ok({ team, tokens, held: { at: 'here', ticket } })
      return isHomeOf(team) ? await reserveHere(own, tokens) : await reserveAtHome(team, tokens)
    },
    settle: ({ team, held }, usedTokens) => {
      if (held.at === 'home') return remote.settle(held.ticket, usedTokens)
      shares.of(team)?.share.settle(held.ticket, usedTokens, monotonic())
    },
    start: signal => {
      cfg.onChanged(() => { if (!signal.aborted) grantFirst() })
      repeat(clock, MAINTENANCE_PERIOD_MS, signal, tend)
    },
    handOver: async () => {
      const endMs = monotonic() + HAND_OVER_MS
      const held = (): readonly TeamShare[] => shares.all().filter(own => own.share.units() > 0)
      while (held().length > 0 && monotonic() < endMs && held().some(own => stayingHome(own.team) !== undefined)) {
        held().forEach(own => tellHome(own, stayingHome(own.team)))
        await sleep(clock, HAND_OVER_POLL_MS)
      }
      logger.info('shares-handed-over', { left: held().map(own => own.team) })
    }
  }
}
