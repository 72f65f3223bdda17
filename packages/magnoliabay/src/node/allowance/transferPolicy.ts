/** Decides how much of a share is given to a member that asks for it. */
import { SHARE_IDLE_TIMEOUT_MS, HOME_TARGET_UNITS, TOTAL_UNITS } from './constants'
import type { AskMode, AskRequest } from './messages'
import { unitsFor } from './share'
import type { TeamShare } from './teamShares'

export interface TransferAmount {
  units: number
  /** At most the capacity of the units. */
  tokens: number
}

export const NO_TRANSFER: TransferAmount = { units: 0, tokens: 0 }

type TransferPolicy = (own: TeamShare, ask: AskRequest, nowMs: number) => TransferAmount

const TRANSFER_POLICIES: Readonly<Record<AskMode, TransferPolicy>> = {
  collect: (own, ask, now) => minimalTransfer(own, availableTokens(own, ask, now)),
  rebalance: (own, ask, now) => proportionalTransfer(own, ask, availableTokens(own, ask, now), now),
  even: (own, ask, now) => evenTransfer(own, ask, now),
  return: (own, _ask, now) => ({ units: own.share.units(), tokens: Math.max(0, own.share.level(now)) }),
  heal: () => NO_TRANSFER
}

/** Whether a share is no longer used at this member. Open reservations keep it in use, since their refunds need its capacity. */
export function isIdle (own: TeamShare, isLeaving: boolean, nowMs: number): boolean {
  if (isLeaving) return true
  return own.share.outstanding() === 0 && nowMs - own.demand.lastRequestMs() >= SHARE_IDLE_TIMEOUT_MS
}

/** Nothing is given of a share in debt, since the refill of its units pays the debt back. */
export function transferAmountFor (own: TeamShare, ask: AskRequest, nowMs: number): TransferAmount {
  if (own.share.level(nowMs) < 0) return NO_TRANSFER
  return TRANSFER_POLICIES[ask.mode](own, ask, nowMs)
}

function availableTokens (own: TeamShare, ask: AskRequest, now: number): number {
  return Math.max(0, Math.min(own.share.level(now), ask.tokens))
}

function minimalTransfer (own: TeamShare, tokens: number): TransferAmount {
  return { units: Math.min(own.share.units(), unitsFor(tokens, own.share.size().burst)), tokens }
}

/** A home that has less than this part of its capacity gives no units: the team uses them there. */
const MIN_GIVER_LEVEL_RATIO = 0.5

function evenTransfer (own: TeamShare, ask: AskRequest, now: number): TransferAmount {
  const held = own.share.units()
  const level = own.share.level(now)
  const capacity = own.share.size().burst * held / TOTAL_UNITS
  const units = Math.floor(Math.min(HOME_TARGET_UNITS - ask.units, held - HOME_TARGET_UNITS))
  if (units <= 0 || level < capacity * MIN_GIVER_LEVEL_RATIO) return NO_TRANSFER
  return { units, tokens: level * units / held }
}

/** Largest part of a share that one transfer may contain beyond the request: it is out of use while its reply is lost. */
const MAX_TRANSFERRED_SHARE_RATIO = 0.5

/**
 * Divides the units of giver and taker in proportion to their demands, so that a taker with steady traffic refills by
 * itself and needs no further round trips.
 */
function proportionalTransfer (own: TeamShare, ask: AskRequest, tokens: number, now: number): TransferAmount {
  const minimum = minimalTransfer(own, tokens)
  const held = own.share.units()
  const totalDemand = own.demand.rate(now) + ask.demand
  if (totalDemand <= 0 || held === 0) return minimum
  const proportionalUnits = Math.floor((held + ask.units) * ask.demand / totalDemand) - ask.units
  const units = Math.max(minimum.units, Math.min(proportionalUnits, Math.floor(held * MAX_TRANSFERRED_SHARE_RATIO)))
  const proportionalTokens = own.share.level(now) * units / held
  const capacity = own.share.size().burst * units / TOTAL_UNITS
  return { units, tokens: Math.min(capacity, Math.max(tokens, proportionalTokens)) }
}
