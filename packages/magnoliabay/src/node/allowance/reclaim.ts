/**
 * Gives the shares of processes that are proven gone to a living one.
 *
 * One round: read who is registered; mark the dead, so that no write of theirs that is still on its way
 * can raise them; let every living process close its accounts with them and report; settle each team's
 * ledger by one compare-and-swap; strike the dead off. Any step may be lost or done twice, also by two
 * members at once: reports are final, and a ledger names whom it has settled.
 *
 * A living process that can't be reached stops the round: it may hold what a dead one gave it, and
 * nobody else knows. Until then that part of the allowance lies idle, and never is in two hands.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { Peers } from '../members'
import type { TerminationProofs, ProcessId } from '../members/terminationDetector'
import type { KeyValue, Store } from '../store'
import type { Compare } from '../store/store'
import { parseJson, rankByRendezvous } from '../utils'
import { ASK_TIMEOUT_MS, LEDGERS_PREFIX, PROCESSES_PREFIX } from './constants'
import { parseLedger, settleDead } from './ledger'
import type { LiveReport } from './ledger'
import { closeCall } from './messages'
import type { Pairs } from './transferCounters'
import { processKey } from './processRegistry'
import type { ProcessRegistry } from './processRegistry'

/** Each further member in the order waits this much longer before it tries, in milliseconds. */
const TURN_MS = 5000
/** How often one member looks for dead processes that nobody has reclaimed from, in milliseconds. */
const SWEEP_PERIOD_MS = 60_000
const SWEEP = 'sweep'

export interface ReclaimOptions {
  store: Store
  peers: Peers
  pairs: Pairs
  registry: ProcessRegistry
  proofs: TerminationProofs
  clock: Clock
  logger: Logger
}

export interface Reclaim {
  /** Runs a round if a process is proven gone and it is this member's turn. */
  tend (): Promise<void>
}

interface RegisteredProcess {
  name: ProcessId
  modRevision: number
}

interface Round {
  dead: readonly RegisteredProcess[]
  living: readonly RegisteredProcess[]
}

export function createReclaim (options: ReclaimOptions): Reclaim {
  const { store, peers, pairs, registry, proofs, clock, logger } = options
  const self = peers.self
  const provenAtMs = new Map<string, number>()
  let sweptAtMs = clock.monotonic()

  proofs.onTerminated(process => { provenAtMs.set(process.incarnation, clock.monotonic()) })
  peers.serve(closeCall, req => ({ process: self.incarnation, reports: pairs.close(req.dead) }))

  const isMyTurn = (incarnation: string, sinceMs: number): boolean => {
    const staying = peers.members().filter(member => !member.leaving)
    const turn = rankByRendezvous(incarnation, staying, member => member.id).findIndex(member => member.id === self.id)
    return turn >= 0 && clock.monotonic() - sinceMs >= turn * TURN_MS
  }
  const readRound = async (): Promise<Round | undefined> => {
    const range = await store.range(PROCESSES_PREFIX)
    if (range.err) return undefined
    const registered = range.val.entries.map(processOf)
    const isDead = (process: RegisteredProcess): boolean => proofs.proofFor(process.name) !== undefined
    return { dead: registered.filter(isDead), living: registered.filter(process => !isDead(process)) }
  }
  /** Fails when another member has marked them in between; the next round starts from there. */
  const mark = async (dead: readonly RegisteredProcess[]): Promise<readonly RegisteredProcess[] | undefined> => {
    const marked = await store.transact({
      compares: dead.map(fenceOf),
      writes: dead.map(({ name }) => ({ kind: 'put', key: processKey(name.incarnation), value: JSON.stringify(name) }))
    })
    if (marked.err || !marked.val.succeeded) return undefined
    return dead.map(process => ({ ...process, modRevision: marked.val.revision }))
  }
  const reportOf = async (living: RegisteredProcess, dead: readonly string[]): Promise<readonly LiveReport[] | undefined> => {
    const { member, incarnation } = living.name
    const withName = (reports: ReturnType<Pairs['close']>): LiveReport[] => reports.map(report => ({ ...report, process: incarnation }))
    if (incarnation === self.incarnation) return withName(pairs.close(dead))
    const reply = await peers.call(member, closeCall, { dead }, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.err || reply.val.process !== incarnation) {
      logger.info('reclaim-waits', { for: member, incarnation, reason: reply.err ? reply.val.message : 'another process answers there' })
      return undefined
    }
    return withName([...reply.val.reports])
  }
  const settle = async (entry: KeyValue, round: Round, reports: readonly LiveReport[]): Promise<boolean> => {
    const team = entry.key.slice(LEDGERS_PREFIX.length)
    const dead = incarnationsOf(round.dead)
    const ledger = parseLedger(entry.value)
    const settlement = ledger.andThen(before => settleDead(before, {
      dead,
      registered: [...dead, ...incarnationsOf(round.living)],
      reports: reports.filter(report => report.team === team),
      claimer: self.incarnation
    }))
    if (ledger.err || settlement.err) {
      logger.error('ledger-refused', { team, reason: settlement.err ? settlement.val.message : undefined })
      return false
    }
    registry.takeGrants(team, ledger.val)
    if (!settlement.val.isChanged) return true
    const written = await store.transact({
      compares: [
        { key: entry.key, target: 'mod', equals: entry.modRevision },
        { key: processKey(self.incarnation), target: 'mod', equals: registry.revision() },
        ...round.dead.map(fenceOf)
      ],
      writes: [{ kind: 'put', key: entry.key, value: JSON.stringify(settlement.val.ledger) }]
    })
    if (written.err) registry.doubt(team)
    if (written.err || !written.val.succeeded) return false
    registry.takeGrants(team, settlement.val.ledger)
    logger.info('share-reclaimed', { team, units: settlement.val.reclaimed, from: dead })
    return true
  }
  const strikeOff = async (dead: readonly RegisteredProcess[]): Promise<void> => {
    const struck = await store.transact({
      compares: dead.map(fenceOf),
      writes: dead.map(({ name }) => ({ kind: 'delete', key: processKey(name.incarnation) }))
    })
    if (struck.ok && struck.val.succeeded) incarnationsOf(dead).forEach(incarnation => provenAtMs.delete(incarnation))
  }
  const runRound = async (): Promise<void> => {
    const round = await readRound()
    if (round === undefined) return
    if (round.dead.length === 0) return provenAtMs.clear()
    const dead = await mark(round.dead)
    if (dead === undefined) return
    const names = incarnationsOf(dead)
    const reports = await Promise.all(round.living.map(process => reportOf(process, names)))
    if (reports.includes(undefined)) return
    const ledgers = await store.range(LEDGERS_PREFIX)
    if (ledgers.err) return
    const flat = reports.flatMap(report => report ?? [])
    const marked: Round = { dead, living: round.living }
    const settled = await Promise.all(ledgers.val.entries.map(entry => settle(entry, marked, flat)))
    if (settled.every(Boolean)) await strikeOff(dead)
  }

  return {
    tend: async () => {
      if (!registry.isRegistered()) return
      const isPending = [...provenAtMs].some(([incarnation, sinceMs]) => isMyTurn(incarnation, sinceMs))
      const isSweepDue = clock.monotonic() - sweptAtMs >= SWEEP_PERIOD_MS && isMyTurn(SWEEP, 0)
      if (!isPending && !isSweepDue) return
      sweptAtMs = clock.monotonic()
      await runRound()
    }
  }
}

function fenceOf (process: RegisteredProcess): Compare {
  return { key: processKey(process.name.incarnation), target: 'mod', equals: process.modRevision }
}

function incarnationsOf (processes: readonly RegisteredProcess[]): string[] {
  return processes.map(process => process.name.incarnation)
}

/** An entry that can't be read still names its process by its key; nobody can answer for it. */
function processOf (entry: KeyValue): RegisteredProcess {
  const incarnation = entry.key.slice(PROCESSES_PREFIX.length)
  const name = (parseJson(entry.value) as ProcessId | undefined) ?? { member: incarnation, incarnation }
  return { name: { member: name.member, incarnation }, modRevision: entry.modRevision }
}
