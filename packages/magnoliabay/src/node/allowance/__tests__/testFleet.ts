/** Members with real allowances over an in-memory network, store and clock. */
import { createDirectStore, createKvCallCounter, createKvFaults, createKvState } from '@magnoliabay/standins'
import type { Clock } from '../../clock'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createListeners } from '../../members/dispatch'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { TerminationProofs, ProcessId } from '../../members/terminationDetector'
import type { MemberRecord } from '../../members'
import { createAllowance } from '../allowance'
import type { Allowance, Reservation } from '../allowance'
import type { TeamAllowanceConfig, ActiveTeamConfig } from '../teamShares'

export const TEAM = 'depot'

export interface Spending {
  atMs: number
  /** Reserved tokens; after settling, the used tokens. */
  tokens: number
}

export interface TestMember {
  record: MemberRecord
  allowance: Allowance
  cfg: ActiveTeamConfig & { apply: (rate: number, burst: number) => void }
  pause: () => void
  resume: () => void
  stop: AbortController
}

export interface TestFleetOptions {
  rate?: number
  burst?: number
  regionOf?: (id: string) => string
}

function createActiveTeams (rate: number, burst: number): TestMember['cfg'] {
  const changed = createListeners<[]>()
  const sized = (tokensPerSecond: number, burstTokens: number): TeamAllowanceConfig => ({ name: TEAM, tokensPerSecond, burstTokens })
  let team = sized(rate, burst)
  return {
    active: () => ({ fleet: { team: [team] } }),
    onChanged: changed.add,
    apply: (nextRate, nextBurst) => {
      team = sized(nextRate, nextBurst)
      changed.emit()
    }
  }
}

/** Creates a clock whose callbacks wait while its process is paused; its time continues. */
function createPausableClock (clock: Clock) {
  const deferred: Array<() => void> = []
  let isPaused = false
  return {
    now: clock.now,
    monotonic: clock.monotonic,
    schedule: (delayMs: number, callback: () => void) => clock.schedule(delayMs, () => {
      if (isPaused) deferred.push(callback)
      else callback()
    }),
    pause: () => { isPaused = true },
    resume: () => {
      isPaused = false
      deferred.splice(0).forEach(callback => callback())
    }
  }
}

export function createTestFleet (options: TestFleetOptions = {}) {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const kv = createKvState({ clock })
  const faults = createKvFaults()
  const counter = createKvCallCounter()
  const proven = new Map<string, 'listed-gone'>()
  const onProven = createListeners<[ProcessId, 'listed-gone']>()
  const proofs: TerminationProofs = { proofFor: process => proven.get(process.incarnation), onTerminated: onProven.add }
  const members = new Map<string, TestMember>()
  const spendings: Spending[] = []
  const rate = options.rate ?? 100
  const burst = options.burst ?? 1000
  let spawned = 0

  const spawn = (id: string): TestMember => {
    spawned += 1
    const record: MemberRecord = {
      id,
      incarnation: `${id}#${spawned}`,
      startedAtMs: spawned,
      region: options.regionOf?.(id) ?? 'r',
      failureDomain: 'd',
      peerAddress: '',
      entryAddress: '',
      operatorAddress: '',
      leaving: false,
      processorShare: 0
    }
    const pausableClock = createPausableClock(clock)
    const cfg = createActiveTeams(rate, burst)
    const store = createDirectStore(kv, { clock, faults, counter, caller: id })
    const stop = new AbortController()
    const allowance = createAllowance({ cfg, peers: network.join(record), store, clock: pausableClock, logger: createSilentLogger(), proofs })
    const member = { record, allowance, cfg, stop, pause: pausableClock.pause, resume: pausableClock.resume }
    members.set(id, member)
    allowance.start(stop.signal)
    return member
  }
  const kill = (id: string): ProcessId => {
    const member = members.get(id)!
    member.stop.abort()
    member.pause()
    network.kill(id)
    members.delete(id)
    return { member: id, incarnation: member.record.incarnation }
  }
  const proveTerminated = (process: ProcessId): void => {
    proven.set(process.incarnation, 'listed-gone')
    onProven.emit(process, 'listed-gone')
  }
  /** Partitions a member from all others. */
  const isolate = (id: string): void => members.forEach((_member, other) => { if (other !== id) network.partition(id, other) })
  const rejoin = (id: string): void => members.forEach((_member, other) => { if (other !== id) network.heal(id, other) })
  /** Reserves tokens and records the spending; resolves to what is needed to settle it. */
  const reserve = async (id: string, tokens: number): Promise<{ reservation: Reservation, spending: Spending, incarnation: string } | undefined> => {
    const member = members.get(id)!
    const result = await member.allowance.reserve(TEAM, tokens)
    if (result.err) return undefined
    const spending = { atMs: clock.monotonic(), tokens }
    spendings.push(spending)
    return { reservation: result.val, spending, incarnation: member.record.incarnation }
  }
  /** As `reserve`, advancing the clock until there is a result; resolves to whether it was granted. */
  const reserveAndWait = async (id: string, tokens: number): Promise<boolean> => {
    const results: boolean[] = []
    reserve(id, tokens).then(reserved => results.push(reserved !== undefined))
    for (let ms = 0; results.length === 0 && ms < 5000; ms += 1) await clock.advance(1)
    return results[0] ?? false
  }
  const unitsOf = (id: string): number => members.get(id)?.allowance.holdings()[0]?.units ?? 0
  const sumOfUnits = (): number => [...members.keys()].reduce((sum, id) => sum + unitsOf(id), 0)
  const sumOfLevels = (): number => [...members.values()].reduce((sum, member) => sum + (member.allowance.holdings()[0]?.level ?? 0), 0)
  const memberWithMostUnits = (): string => [...members.keys()].sort((left, right) => unitsOf(right) - unitsOf(left))[0]!
  const others = (...ids: string[]): string[] => [...members.keys()].filter(id => !ids.includes(id))

  return {
    clock,
    network,
    faults,
    counter,
    members,
    spendings,
    spawn,
    kill,
    proveTerminated,
    isolate,
    rejoin,
    reserve,
    reserveAndWait,
    unitsOf,
    sumOfUnits,
    sumOfLevels,
    memberWithMostUnits,
    others
  }
}

export type TestFleet = ReturnType<typeof createTestFleet>

/** Returns the largest number of tokens by which the spendings exceed a naive central bucket that was full at the start. */
export function overspend (spendings: readonly Spending[], rate: number, burst: number): number {
  const inOrder = [...spendings].sort((left, right) => left.atMs - right.atMs)
  let level = burst
  let atMs = 0
  let maxExcess = 0
  inOrder.forEach(spending => {
    level = Math.min(burst, level + rate * (spending.atMs - atMs) / 1000) - spending.tokens
    atMs = spending.atMs
    maxExcess = Math.max(maxExcess, -level)
  })
  return maxExcess
}
