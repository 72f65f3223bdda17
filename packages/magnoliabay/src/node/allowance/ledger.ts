/**
 * A team's ledger in the store: what each process holds, without the transfers between live processes.
 *
 * `base` = units granted from the store + received from processes since terminated - given to them. Over all
 * entries it sums to {@link TOTAL_UNITS}. A live process holds its base plus what it received from other live
 * processes minus what it gave them. Only the processes themselves keep these counts, so a transfer needs no write.
 */
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { LEDGERS_PREFIX, TOTAL_UNITS } from './constants'
import type { PairReport } from './transferCounters'

export interface LedgerEntry {
  /** Incarnation. */
  process: string
  /** May be negative, since a process can give away units that it received. */
  base: number
  /** All units ever granted by writes of this ledger. It only grows, so that reading a grant twice is harmless. */
  granted: number
}

export interface Ledger {
  entries: readonly LedgerEntry[]
  /** Terminated processes whose shares have been given to others. */
  settled: readonly string[]
}

/** Final counters between a live process and a terminated one, with the incarnation of the live one. */
export interface LiveProcessReport extends PairReport {
  process: string
}

export interface Settlement {
  ledger: Ledger
  /** Units that the terminated processes held, now granted to the claimer. */
  reclaimed: number
  /** False when no entry of the ledger concerns the terminated processes. */
  isChanged: boolean
}

export interface TerminatedAccounts {
  /** Incarnations proven to have terminated. */
  terminated: readonly string[]
  /** Every process registered when the round began, including the terminated ones. */
  registered: readonly string[]
  /** Final counters of every live process. */
  reports: readonly LiveProcessReport[]
  /** Incarnation that receives the units of the terminated processes. */
  claimer: string
}

export type LedgerError =
  | { kind: 'malformed', message: string }
  | { kind: 'unbalanced', message: string }

export function ledgerKey (team: string): string {
  return `${LEDGERS_PREFIX}${team}`
}

/** Creates a team's first ledger, in which one process holds all units. */
export function createLedger (process: string): Ledger {
  return { entries: [{ process, base: TOTAL_UNITS, granted: TOTAL_UNITS }], settled: [] }
}

export function parseLedger (text: string): Result<Ledger, LedgerError> {
  try {
    const ledger = JSON.parse(text) as Ledger
    const hasValidCounts = Array.isArray(ledger.entries) && ledger.entries.every(entry => Number.isSafeInteger(entry.base) && Number.isSafeInteger(entry.granted))
    if (!hasValidCounts || !Array.isArray(ledger.settled)) return Err({ kind: 'malformed', message: 'An entry of the ledger has a count that is not an integer, or the list of settled processes is missing.' })
    return isBalanced(ledger) ? Ok(ledger) : Err({ kind: 'unbalanced', message: `The ledger sums to ${sumOfUnits(ledger)} units.` })
  } catch (err) {
    return Err({ kind: 'malformed', message: String(err) })
  }
}

export function grantedTo (ledger: Ledger, process: string): number {
  return ledger.entries.find(entry => entry.process === process)?.granted ?? 0
}

/**
 * Grants the units of terminated processes to the claimer. Units of a transfer to or from a terminated process that
 * never arrived count as held by the terminated process.
 */
export function settleTerminated (ledger: Ledger, accounts: TerminatedAccounts): Result<Settlement, LedgerError> {
  const { terminated, reports, claimer } = accounts
  const unsettled = terminated.filter(process => !ledger.settled.includes(process))
  const unsettledReports = reports.filter(report => unsettled.includes(report.dead))
  const bases = new Map(ledger.entries.map(entry => [entry.process, entry.base]))
  const granted = new Map(ledger.entries.map(entry => [entry.process, entry.granted]))
  const add = (counts: Map<string, number>, process: string, units: number): void => {
    counts.set(process, (counts.get(process) ?? 0) + units)
  }
  unsettledReports.forEach(report => add(bases, report.process, report.received - report.given))
  const heldByTerminated = unsettled.reduce((sum, process) => sum + (bases.get(process) ?? 0), 0)
  const owedByLive = unsettledReports.reduce((sum, report) => sum + report.given - report.received, 0)
  const reclaimed = heldByTerminated + owedByLive
  if (reclaimed < 0) return Err({ kind: 'unbalanced', message: `The terminated processes would have held ${reclaimed} units.` })
  add(bases, claimer, reclaimed)
  add(granted, claimer, reclaimed)
  const entries = [...bases]
    .filter(([process]) => !unsettled.includes(process))
    .map(([process, base]) => ({ process, base, granted: granted.get(process) ?? 0 }))
    .filter(entry => entry.base !== 0 || entry.granted !== 0)
  // A process that is no longer registered never returns, so its incarnation is dropped from the list.
  const settled = [...ledger.settled, ...unsettled].filter(process => accounts.registered.includes(process))
  const next = { entries, settled }
  if (!isBalanced(next)) return Err({ kind: 'unbalanced', message: `The ledger would sum to ${sumOfUnits(next)} units.` })
  const isChanged = unsettledReports.length > 0 || ledger.entries.some(entry => unsettled.includes(entry.process))
  return Ok({ ledger: next, reclaimed, isChanged })
}

function sumOfUnits (ledger: Ledger): number {
  return ledger.entries.reduce((sum, entry) => sum + entry.base, 0)
}

function isBalanced (ledger: Ledger): boolean {
  return sumOfUnits(ledger) === TOTAL_UNITS
}
