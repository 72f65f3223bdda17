/** How much of a share is given to a member that asks. */
import { IDLE_SHARE_MS, KEPT_BY_EACH_HOME, TOTAL_UNITS } from './constants'
import type { AskMode, AskRequest } from './messages'
import { unitsFor } from './share'
import type { TeamShare } from './teamShares'

export interface Gift {
  units: number
  /** In the capacity of the units. */
  tokens: number
}

export const NO_GIFT: Gift = { units: 0, tokens: 0 }

type GiftPolicy = (own: TeamShare, ask: AskRequest, nowMs: number) => Gift

const GIFT_POLICIES: Readonly<Record<AskMode, GiftPolicy>> = {
  collect: (own, ask, now) => withLeastUnits(own, tokensFor(own, ask, now)),
  rebalance: (own, ask, now) => withFairPart(own, ask, tokensFor(own, ask, now), now),
  even: (own, ask, now) => evenPart(own, ask, now),
  return: (own, _ask, now) => ({ units: own.share.units(), tokens: Math.max(0, own.share.level(now)) }),
  heal: () => NO_GIFT
}

/** Whether a share isn't used here any more. Open reservations keep it, since their refunds need its capacity. */
export function isIdle (own: TeamShare, isLeaving: boolean, nowMs: number): boolean {
  if (isLeaving) return true
  return own.share.outstanding() === 0 && nowMs - own.demand.lastMs() >= IDLE_SHARE_MS
}

/** A share in debt keeps its units: they are what pays the debt back. */
export function giftFor (own: TeamShare, ask: AskRequest, nowMs: number): Gift {
  if (own.share.level(nowMs) < 0) return NO_GIFT
  return GIFT_POLICIES[ask.mode](own, ask, nowMs)
}

function tokensFor (own: TeamShare, ask: AskRequest, now: number): number {
  return Math.max(0, Math.min(own.share.level(now), ask.tokens))
}

function withLeastUnits (own: TeamShare, tokens: number): Gift {
  return { units: Math.min(own.share.units(), unitsFor(tokens, own.share.size().burst)), tokens }
}

/** A team that uses more than half of its tokens here needs them here. */
const PLENTY = 0.5

function evenPart (own: TeamShare, ask: AskRequest, now: number): Gift {
  const held = own.share.units()
  const level = own.share.level(now)
  const capacity = own.share.size().burst * held / TOTAL_UNITS
  const units = Math.floor(Math.min(KEPT_BY_EACH_HOME - ask.units, held - KEPT_BY_EACH_HOME))
  if (units <= 0 || level < capacity * PLENTY) return NO_GIFT
  return { units, tokens: level * units / held }
}

/** Most of a share that goes into one transfer beyond what was asked for: as much may be lost with it. */
const MOST_OF_SHARE = 0.5

/**
 * Divides what giver and taker hold as their demands stand to each other, so that a taker with steady
 * traffic soon refills by itself and needs no further round trips.
 */
function withFairPart (own: TeamShare, ask: AskRequest, tokens: number, now: number): Gift {
  const least = withLeastUnits(own, tokens)
  const held = own.share.units()
  const demands = own.demand.rate(now) + ask.demand
  if (demands <= 0 || held === 0) return least
  const fair = Math.floor((held + ask.units) * ask.demand / demands) - ask.units
  const units = Math.max(least.units, Math.min(fair, Math.floor(held * MOST_OF_SHARE)))
  const proportional = own.share.level(now) * units / held
  const fits = own.share.size().burst * units / TOTAL_UNITS
  return { units, tokens: Math.min(fits, Math.max(tokens, proportional)) }
}
