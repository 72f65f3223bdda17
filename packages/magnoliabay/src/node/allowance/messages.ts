/** What members say to each other about allowances. */
import { definePeerCall, definePeerNotice } from '../members'
import type { PairReport, Transfer } from './pairs'

/**
 * `need`: all of the tokens or none, and a fair part of the units.
 * `collect`: as many of the tokens as are there.
 * `rebalance`: as `collect`, and a fair part of the units; between regions.
 * `return`: the whole share, if it is idle.
 * `heal`: nothing new; only what a lost transfer left out.
 */
export type AskMode = 'need' | 'collect' | 'rebalance' | 'return' | 'heal'

export interface AskRequest {
  /** Unique among the asks of a taker; a doubled ask is answered without giving again. */
  number: number
  team: string
  mode: AskMode
  tokens: number
  /** Tokens that are enough if the giver has them at hand; the rest is with the taker already. */
  missing: number
  /** Tokens a second that the taker is asked for. */
  demand: number
  /** Units that the taker holds. */
  units: number
}

export interface AskReply {
  transfer: Transfer
  /** Units that the giver still holds. */
  unitsLeft: number
  /** Tokens that the giver knows of: for a refused need over the fleet, else its own. */
  total: number
}

export interface HoldingNotice {
  team: string
  units: number
  /** The share isn't used here: take it home. */
  isIdle: boolean
}

export interface CloseRequest {
  /** Incarnations of processes proven gone. */
  dead: readonly string[]
}

export interface CloseReply {
  /** Incarnation of the process that reports. */
  process: string
  reports: readonly PairReport[]
}

export const askCall = definePeerCall<AskRequest, AskReply>('allowance.ask')
export const holdingNotice = definePeerNotice<HoldingNotice>('allowance.holding')
export const closeCall = definePeerCall<CloseRequest, CloseReply>('allowance.close')
