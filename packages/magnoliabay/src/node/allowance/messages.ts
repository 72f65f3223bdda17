/** Peer messages about allowances. */
import * as v from 'valibot'
import { finite } from '../inputs'
import { definePeerCall, definePeerNotice } from '../members'
import type { PairReport, Transfer } from './transferCounters'

/**
 * What the taker asks the giver for.
 * `collect`: as many of the tokens as are available.
 * `rebalance`: as `collect`, and units in proportion to demand; between homes.
 * `even`: the units that the taker needs to reach the target of each home, if the giver has tokens to spare; between homes.
 * `return`: the whole share, if it is idle.
 * `heal`: nothing new; only the units of an earlier transfer that was lost.
 */
export type AskMode = 'collect' | 'rebalance' | 'even' | 'return' | 'heal'

export interface AskRequest {
  /** Increases with every request of a taker. A duplicate, or one that arrives after a later one, is given nothing. */
  number: number
  team: string
  mode: AskMode
  tokens: number
  /** Tokens per second requested at the taker. */
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

/** Reserves tokens at a home for a request at another member. */
export interface ReserveRequest {
  /** Unique among the reservations of the asking process. */
  number: number
  team: string
  tokens: number
}

export interface ReserveReply {
  isGranted: boolean
  /** Time until the tokens may be available, in milliseconds; 0 when granted. */
  waitMs: number
}

export interface SettleNotice {
  /** Number of the reservation. */
  number: number
  used: number
}

export interface HoldingNotice {
  team: string
  units: number
  /** The share isn't used at the sender, and the home may take it over. */
  isIdle: boolean
}

export interface CloseRequest {
  /** Incarnations of processes proven to have terminated. */
  dead: readonly string[]
}

export interface CloseReply {
  /** Incarnation of the reporting process. */
  process: string
  reports: readonly PairReport[]
}

const transferSchema = v.object({ team: v.string(), from: v.string(), to: v.string(), given: finite, tokens: finite, givenTokens: v.optional(finite) })
const pairReportSchema = v.object({ team: v.string(), dead: v.string(), given: finite, received: finite })

export const askCall = definePeerCall<AskRequest, AskReply>('allowance.ask', {
  req: v.object({ number: finite, team: v.string(), mode: v.picklist(['collect', 'rebalance', 'even', 'return', 'heal']), tokens: finite, demand: finite, units: finite }),
  res: v.object({ transfer: transferSchema, unitsLeft: finite, tokensLeft: finite })
})
export const reserveCall = definePeerCall<ReserveRequest, ReserveReply>('allowance.reserve', {
  req: v.object({ number: finite, team: v.string(), tokens: finite }),
  res: v.object({ isGranted: v.boolean(), waitMs: v.number() })
})
export const settleNotice = definePeerNotice<SettleNotice>('allowance.settle', v.object({ number: finite, used: finite }))
export const holdingNotice = definePeerNotice<HoldingNotice>('allowance.holding', v.object({ team: v.string(), units: finite, isIdle: v.boolean() }))
export const closeCall = definePeerCall<CloseRequest, CloseReply>('allowance.close', {
  req: v.object({ dead: v.array(v.string()) }),
  res: v.object({ process: v.string(), reports: v.array(pairReportSchema) })
})
