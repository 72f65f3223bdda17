/** What members say to each other about allowances. */
import { definePeerCall, definePeerNotice } from '../members'
import type { PairReport, Transfer } from './transferCounters'

/**
 * `collect`: as many of the tokens as are there.
 * `rebalance`: as `collect`, and a fair part of the units; between homes.
 * `even`: what the taker lacks of the part that each home keeps, if the giver has plenty; between homes.
 * `return`: the whole share, if it is idle.
 * `heal`: nothing new; only what a lost transfer left out.
 */
export type AskMode = 'collect' | 'rebalance' | 'even' | 'return' | 'heal'

export interface AskRequest {
  /** Grows with every ask of a taker; one that comes doubled, or after a later one, is given nothing. */
  number: number
  team: string
  mode: AskMode
  tokens: number
  /** Tokens a second that the taker is asked for. */
  demand: number
  /** Units that the taker holds. */
  units: number
}

export interface AskReply {
  transfer: Transfer
  /** Units that the giver still holds. */
  unitsLeft: number
  /** Tokens that the giver still holds. */
  tokensLeft: number
}

/** A reservation at a home for a request elsewhere. */
export interface ReserveRequest {
  /** Unique among those of the member that asks. */
  number: number
  team: string
  tokens: number
}

export interface ReserveReply {
  isGranted: boolean
  /** Until the tokens may be there, milliseconds; 0 when granted. */
  waitMs: number
}

export interface SettleNotice {
  /** Of the reservation. */
  number: number
  used: number
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
export const reserveCall = definePeerCall<ReserveRequest, ReserveReply>('allowance.reserve')
export const settleNotice = definePeerNotice<SettleNotice>('allowance.settle')
export const holdingNotice = definePeerNotice<HoldingNotice>('allowance.holding')
export const closeCall = definePeerCall<CloseRequest, CloseReply>('allowance.close')
