/**
 * A team's ledger in the store: what each process holds but for transfers between living processes.
 *
 * `base` = granted from the store + received from processes since given up - given to them. Over all
 * entries it sums to {@link TOTAL_UNITS}. What a living process holds is its base plus what it received
 * from other living processes minus what it gave them; only the processes themselves know that, so a
 * transfer needs no write.
 */
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { LEDGERS_PREFIX, TOTAL_UNITS } from './constants'
import type { PairReport } from './transferCounters'

export interface LedgerEntry {
  /** Incarnation. */
  process: string
  /** May be below 0: a process can pass on what it received. */
  base: number
  /** Units ever granted by a write of this ledger; only grows, so a grant can be read twice harmlessly. */
  granted: number
}

export interface Ledger {
  entries: readonly LedgerEntry[]
  /** Processes whose share has been given to others. */
  settled: readonly string[]
}

/** Final counters between a live process and a dead one, with the live one's name. */
export interface LiveReport extends PairReport {
  process: string
}

export interface Settlement {
  ledger: Ledger
  /** Units that the dead held, granted to the claimer. */
  reclaimed: number
  /** False when nothing of the ledger concerns the dead. */
  isChanged: boolean
}

export interface DeadAccounts {
  /** Incarnations proven gone. */
  dead: readonly string[]
  /** Every process registered when the round began, the dead included. */
  registered: readonly string[]
  /** Of every living process, final. */
  reports: readonly LiveReport[]
  /** Who gets what the dead held. */
  claimer: string
}

export type LedgerError =
  | { kind: 'malformed', message: string }
  | { kind: 'unbalanced', message: string }

export function ledgerKey (team: string): string {
  return `${LEDGERS_PREFIX}${team}`
}

/** The first ledger of a team: one process holds everything. */
export function createLedger (process: string): Ledger {
  return { entries: [{ process, base: TOTAL_UNITS, granted: TOTAL_UNITS }], settled: [] }
}

export function parseLedger (text: string): Result<Ledger, LedgerError> {
  try {
    const ledger = JSON.parse(text) as Ledger
    const isWhole = ledger.entries.every(entry => Number.isSafeInteger(entry.base) && Number.isSafeInteger(entry.granted))
    if (!isWhole || !Array.isArray(ledger.settled)) return Err({ kind: 'malformed', message: 'An entry of the ledger lacks a number.' })
    return isBalanced(ledger) ? Ok(ledger) : Err({ kind: 'unbalanced', message: `The ledger sums to ${sumOf(ledger)} units.` })
  } catch (err) {
    return Err({ kind: 'malformed', message: String(err) })
  }
}

export function grantedTo (ledger: Ledger, process: string): number {
  return ledger.entries.find(entry => entry.process === process)?.granted ?? 0
}

/**
 * Gives what the dead held to the claimer. Of a transfer to or from a dead process that never arrived,
 * the units count as held by the dead.
 */
export function settleDead (ledger: Ledger, accounts: DeadAccounts): Result<Settlement, LedgerError> {
  const { dead, reports, claimer } = accounts
  const open = dead.filter(process => !ledger.settled.includes(process))
  const openReports = reports.filter(report => open.includes(report.dead))
  const bases = new Map(ledger.entries.map(entry => [entry.process, entry.base]))
  const granted = new Map(ledger.entries.map(entry => [entry.process, entry.granted]))
  const add = (counts: Map<string, number>, process: string, units: number): void => {
    counts.set(process, (counts.get(process) ?? 0) + units)
  }
  openReports.forEach(report => add(bases, report.process, report.received - report.given))
  const heldByDead = open.reduce((sum, process) => sum + (bases.get(process) ?? 0), 0)
  const owedByLiving = openReports.reduce((sum, report) => sum + report.given - report.received, 0)
  const reclaimed = heldByDead + owedByLiving
  if (reclaimed < 0) return Err({ kind: 'unbalanced', message: `The dead would have held ${reclaimed} units.` })
  add(bases, claimer, reclaimed)
  add(granted, claimer, reclaimed)
  const entries = [...bases]
    .filter(([process]) => !open.includes(process))
    .map(([process, base]) => ({ process, base, granted: granted.get(process) ?? 0 }))
    .filter(entry => entry.base !== 0 || entry.granted !== 0)
  // A process struck off never comes back, so its name needs no keeping.
  const settled = [...ledger.settled, ...open].filter(process => accounts.registered.includes(process))
  const next = { entries, settled }
  if (!isBalanced(next)) return Err({ kind: 'unbalanced', message: `The ledger would sum to ${sumOf(next)} units.` })
  const isChanged = openReports.length > 0 || ledger.entries.some(entry => open.includes(entry.process))
  return Ok({ ledger: next, reclaimed, isChanged })
}

function sumOf (ledger: Ledger): number {
  return ledger.entries.reduce((sum, entry) => sum + entry.base, 0)
}

function isBalanced (ledger: Ledger): boolean {
  return sumOf(ledger) === TOTAL_UNITS
}
