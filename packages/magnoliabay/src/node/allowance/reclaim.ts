/**
 * Gives the shares of processes that are proven to have terminated to a live one.
 *
 * One round: read the registered processes; rewrite the entries of the terminated ones, so that none of their writes
 * still in flight can raise their shares; have every live process close its counters with them and report; settle each
 * team's ledger by one compare-and-swap; remove the terminated processes from the registry. Any step may be lost or
 * repeated, also by two members at once: reports are final, and a ledger lists the processes that it has settled.
 *
 * A live process that can't be reached stops the round: it may hold units that a terminated one gave it, and no other
 * process knows. Until it responds, that part of the allowance is unused, and is never held twice.
 */
import * as v from 'valibot'
import { checkInput } from '../inputs'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { TerminationProofs, ProcessId } from '../members/terminationDetector'
import type { KeyValue, Store } from '../store'
import type { Compare } from '../store/store'
import { parseJson, rankByRendezvous } from '../utils'
import { ASK_TIMEOUT_MS, LEDGERS_PREFIX, PROCESSES_PREFIX } from './constants'
import { parseLedger, settleTerminated } from './ledger'
import type { LiveProcessReport } from './ledger'
import { closeCall } from './messages'
import type { TransferCounters } from './transferCounters'
import { processKey } from './processRegistry'
import type { ProcessRegistry } from './processRegistry'

/** Each further member in the ranking waits this much longer before it starts a round, in milliseconds. */
const TURN_DELAY_MS = 5000
/** Interval at which one member looks for terminated processes whose shares were not reclaimed, in milliseconds. */
const SWEEP_INTERVAL_MS = 60_000
const SWEEP_RANKING_KEY = 'sweep'

export interface ReclaimOptions {
  store: Store
  peers: Peers
  counters: TransferCounters
  registry: ProcessRegistry
  proofs: TerminationProofs
  clock: Clock
  logger: Logger
}

export interface Reclaim {
  /** Runs a round if a process is proven to have terminated and it is this member's turn, or if a sweep is due. */
  maintain (): Promise<void>
}

interface RegisteredProcess {
  id: ProcessId
  modRevision: number
}

interface ReclaimRound {
  terminated: readonly RegisteredProcess[]
  live: readonly RegisteredProcess[]
}

export function createReclaim (options: ReclaimOptions): Reclaim {
  const { store, peers, counters, registry, proofs, clock, logger } = options
  const self = peers.self
  const provenAtMs = new Map<string, number>()
  let sweptAtMs = clock.monotonic()

  proofs.onTerminated(process => { provenAtMs.set(process.incarnation, clock.monotonic()) })
  peers.serve(closeCall, req => ({ process: self.incarnation, reports: counters.close(req.dead) }))

  const isMyTurn = (incarnation: string, sinceMs: number): boolean => {
    const candidates = peers.members().filter(member => !member.leaving)
    const turn = rankByRendezvous(incarnation, candidates, member => member.id).findIndex(member => member.id === self.id)
    return turn >= 0 && clock.monotonic() - sinceMs >= turn * TURN_DELAY_MS
  }
  const readRound = async (): Promise<ReclaimRound | undefined> => {
    const range = await store.range(PROCESSES_PREFIX)
    if (range.err) return undefined
    const registered = range.val.entries.map(processOf)
    const isTerminated = (process: RegisteredProcess): boolean => proofs.proofFor(process.id) !== undefined
    return { terminated: registered.filter(isTerminated), live: registered.filter(process => !isTerminated(process)) }
  }
  /** Fails when another member has marked them in the meantime; the next round reads their new revisions. */
  const markTerminated = async (terminated: readonly RegisteredProcess[]): Promise<readonly RegisteredProcess[] | undefined> => {
    const marked = await store.transact({
      compares: terminated.map(unchangedCompare),
      writes: terminated.map(({ id }) => ({ kind: 'put', key: processKey(id.incarnation), value: JSON.stringify(id) }))
    })
    if (marked.err || !marked.val.succeeded) return undefined
    return terminated.map(process => ({ ...process, modRevision: marked.val.revision }))
  }
  const reportOf = async (live: RegisteredProcess, terminated: readonly string[]): Promise<readonly LiveProcessReport[] | undefined> => {
    const { member, incarnation } = live.id
    const withProcess = (reports: ReturnType<TransferCounters['close']>): LiveProcessReport[] => reports.map(report => ({ ...report, process: incarnation }))
    if (incarnation === self.incarnation) return withProcess(counters.close(terminated))
    const reply = await peers.call(member, closeCall, { dead: terminated }, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.err || reply.val.process !== incarnation) {
      logger.info('reclaim-waits', { for: member, incarnation, reason: reply.err ? reply.val.message : 'another process responds at that member' })
      return undefined
    }
    return withProcess([...reply.val.reports])
  }
  const settle = async (entry: KeyValue, round: ReclaimRound, reports: readonly LiveProcessReport[]): Promise<boolean> => {
    const team = entry.key.slice(LEDGERS_PREFIX.length)
    const terminatedIncarnations = incarnationsOf(round.terminated)
    const ledger = parseLedger(entry.value)
    const settlement = ledger.andThen(before => settleTerminated(before, {
      terminated: terminatedIncarnations,
      registered: [...terminatedIncarnations, ...incarnationsOf(round.live)],
      reports: reports.filter(report => report.team === team),
      claimer: self.incarnation
    }))
    if (ledger.err || settlement.err) {
      logger.error('ledger-refused', { team, reason: settlement.err ? settlement.val.message : undefined })
      return false
    }
    registry.applyGrants(team, ledger.val)
    if (!settlement.val.isChanged) return true
    const written = await store.transact({
      compares: [
        { key: entry.key, target: 'mod', equals: entry.modRevision },
        { key: processKey(self.incarnation), target: 'mod', equals: registry.revision() },
        ...round.terminated.map(unchangedCompare)
      ],
      writes: [{ kind: 'put', key: entry.key, value: JSON.stringify(settlement.val.ledger) }]
    })
    if (written.err) registry.markUnconfirmed(team)
    if (written.err || !written.val.succeeded) return false
    registry.applyGrants(team, settlement.val.ledger)
    logger.info('share-reclaimed', { team, units: settlement.val.reclaimed, from: terminatedIncarnations })
    return true
  }
  const unregister = async (terminated: readonly RegisteredProcess[]): Promise<void> => {
    const deleted = await store.transact({
      compares: terminated.map(unchangedCompare),
      writes: terminated.map(({ id }) => ({ kind: 'delete', key: processKey(id.incarnation) }))
    })
    if (deleted.ok && deleted.val.succeeded) incarnationsOf(terminated).forEach(incarnation => provenAtMs.delete(incarnation))
  }
  const runRound = async (): Promise<void> => {
    const round = await readRound()
    if (round === undefined) return
    if (round.terminated.length === 0) return provenAtMs.clear()
    const terminated = await markTerminated(round.terminated)
    if (terminated === undefined) return
    const incarnations = incarnationsOf(terminated)
    const reports = await Promise.all(round.live.map(process => reportOf(process, incarnations)))
    if (reports.includes(undefined)) return
    const ledgers = await store.range(LEDGERS_PREFIX)
    if (ledgers.err) return
    const allReports = reports.flatMap(report => report ?? [])
    const marked: ReclaimRound = { terminated, live: round.live }
    const settled = await Promise.all(ledgers.val.entries.map(entry => settle(entry, marked, allReports)))
    if (settled.every(Boolean)) await unregister(terminated)
  }

  return {
    maintain: async () => {
      if (!registry.isRegistered()) return
      const isPending = [...provenAtMs].some(([incarnation, sinceMs]) => isMyTurn(incarnation, sinceMs))
      const isSweepDue = clock.monotonic() - sweptAtMs >= SWEEP_INTERVAL_MS && isMyTurn(SWEEP_RANKING_KEY, 0)
      if (!isPending && !isSweepDue) return
      sweptAtMs = clock.monotonic()
      await runRound()
    }
  }
}

function unchangedCompare (process: RegisteredProcess): Compare {
  return { key: processKey(process.id.incarnation), target: 'mod', equals: process.modRevision }
}

function incarnationsOf (processes: readonly RegisteredProcess[]): string[] {
  return processes.map(process => process.id.incarnation)
}

const processSchema = v.object({ member: v.string(), incarnation: v.string() })

/** An unreadable entry still names its process by its key. Its member is unknown, so no member can report for it. */
function processOf (entry: KeyValue): RegisteredProcess {
  const incarnation = entry.key.slice(PROCESSES_PREFIX.length)
  const read = checkInput(processSchema, parseJson(entry.value))
  const id: ProcessId = read.ok ? read.val : { member: incarnation, incarnation }
  return { id: { member: id.member, incarnation }, modRevision: entry.modRevision }
}
