/** Simulates four instances and a store in virtual time, with random faults while a team's allowance is spent. */
import { createDirectStore, createKvFaults, createKvState } from '@magnoliabay/standins'
import type { FaultSwitches, KvFaults } from '@magnoliabay/standins'
import fc from 'fast-check'
import { createVirtualClock } from '../../../../clock/virtual'
import type { VirtualClock } from '../../../../clock/virtual'
import { createSilentLogger } from '../../../../logger'
import type { Logger } from '../../../../logger'
import type { MemberRecord } from '../../../../members'
import { createMemoryNetwork } from '../../../../members/memoryNetwork'
import type { MemoryNetwork } from '../../../../members/memoryNetwork'
import { rankByRendezvous } from '../../../../utils'
import { memberRecord, teamOf } from '../../../__tests__/fixtures'
import type { Team } from '../../../types'
import { createPeerFallbackStore } from '../../peerFallbackStore'
import { createAllowanceLimiter } from '../../allowanceLimiter'
import type { AllowanceLimiter } from '../../allowanceLimiter'

export const WINDOW_MS = 8000
export const IDS = ['m1', 'm2', 'm3', 'm4']
export const TOLERANCE = { ratio: 0.1, slack: 110 }
/** Interval between snapshots of the store, in milliseconds. */
const SNAPSHOT_INTERVAL_MS = 250
const MAX_SNAPSHOTS = 40
/** 100 a second over 8 s, and a burst of 100. */
export const LIMIT = 900

export interface Simulation {
  clock: VirtualClock
  network: MemoryNetwork
  /** Sets faults of the store for every live process. */
  setStore (faults: Partial<KvFaults>): void
  members: Map<string, AllowanceLimiter>
  team: { current: Team }
  /** Instances that have no configuration. */
  withoutConfig: Set<string>
  home: string
  others: string[]
  /** Sets faults of the store for one live process alone. */
  setStoreOf (id: string, changes: Partial<KvFaults>): void
  /** Ends the member's process: it sends no more requests, reports or records. */
  kill (id: string): void
  /** Starts a new process of the member. */
  join (id: string, changes: Partial<MemberRecord>): void
  /** Restores the store to a snapshot that is `ageMs` old. */
  rollBackStore (ageMs: number): void
  /** Sends every live member the spending of every other, as fleet reports do. */
  exchangeReports (ids?: readonly string[]): void
  /** Asks for `amount` at each of the members in turn until none grants any more; returns the sum granted. */
  drain (ids: readonly string[], amount: number): Promise<number>
}

/** Divides allowances, with a jitter that is the same on every run. */
export const DIVISION = { random: () => 0.5 }
const PARTS = ['chat', 'review', 'payment']

export function createSimulation (isFirstStart = true, logger = createSilentLogger(), division?: typeof DIVISION): Simulation {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const team = { current: teamOf('depot') }
  const state = createKvState({ clock })
  const snapshots = [state.snapshot()]
  const takeSnapshots = (): void => {
    snapshots.unshift(state.snapshot())
    snapshots.splice(MAX_SNAPSHOTS)
    clock.schedule(SNAPSHOT_INTERVAL_MS, takeSnapshots)
  }
  takeSnapshots()
  let sharedFaults: Partial<KvFaults> = {}
  /** Store faults of each member's live process; a killed one no longer reaches the store. */
  const faults = new Map<string, FaultSwitches<KvFaults>>()
  const storeOf = (id: string): ReturnType<typeof createDirectStore> => {
    faults.get(id)?.set({ down: 'refused' })
    const own = createKvFaults()
    own.set(sharedFaults)
    faults.set(id, own)
    return createDirectStore(state, { clock, faults: own })
  }
  const hasStoreAccess = (id: string): boolean => members.has(id) && faults.get(id)?.current.down === 'no'
  const join = (id: string, isFirst: boolean, changes: Partial<MemberRecord> = {}): AllowanceLimiter => {
    const peers = network.join(memberRecord(id, { startedAtMs: clock.now() - clock.monotonic(), ...changes }))
    const store = createPeerFallbackStore({
      peers,
      store: storeOf(id),
      isStoreUnreachable: () => faults.get(id)?.current.down !== 'no',
      peersWithStoreAccess: () => IDS.filter(other => other !== id && hasStoreAccess(other) && peers.isConnected(other)).slice(0, 1)
    })
    return createAllowanceLimiter({ peers, findTeam: () => withoutConfig.has(id) ? undefined : team.current, windowMs: WINDOW_MS, isFirstStart: isFirst, store, era: state.era, tolerance: TOLERANCE, division, clock, logger })
  }
  const withoutConfig = new Set<string>()
  const incarnations = new Map(IDS.map(id => [id, `${id}-1`]))
  const members = new Map<string, AllowanceLimiter>()
  IDS.forEach(id => members.set(id, join(id, isFirstStart)))
  const home = rankByRendezvous('depot', IDS, id => id)[0]!
  const take = async (id: string, amount: number): Promise<boolean> => {
    const taken = members.get(id)!.take(team.current, amount)
    await clock.advance(155)
    return (await taken).waitMs === 0
  }
  return {
    clock,
    network,
    setStore: changes => {
      sharedFaults = { ...sharedFaults, ...changes }
      faults.forEach(each => each.set(changes))
    },
    members,
    team,
    withoutConfig,
    home,
    setStoreOf: (id, changes) => { faults.get(id)?.set(changes) },
    kill: id => {
      network.kill(id)
      members.delete(id)
      faults.get(id)?.set({ down: 'refused' })
    },
    join: (id, changes) => {
      incarnations.set(id, changes.incarnation ?? `${id}-1`)
      members.set(id, join(id, false, changes))
    },
    others: IDS.filter(id => id !== home),
    rollBackStore: ageMs => {
      state.restore(snapshots[Math.min(snapshots.length - 1, Math.floor(ageMs / SNAPSHOT_INTERVAL_MS))]!)
      snapshots.splice(0, snapshots.length, state.snapshot())
    },
    exchangeReports: (ids = IDS) => {
      const live = ids.filter(id => members.has(id))
      live.forEach(from => live.filter(to => to !== from).forEach(to =>
        members.get(to)!.recordPeerSpending(incarnations.get(from)!, members.get(from)!.ownSpending())))
    },
    drain: async (ids, amount) => {
      const startMs = clock.monotonic()
      let granted = 0
      let misses = 0
      for (let turn = 0; misses < ids.length && clock.monotonic() - startMs < WINDOW_MS - 500; turn += 1) {
        const isGranted = await take(ids[turn % ids.length]!, amount)
        granted += isGranted ? amount : 0
        misses = isGranted ? 0 : misses + 1
      }
      return granted
    }
  }
}

/** Kills every process and restarts it after `downMs`, with an incarnation numbered after `round`. */
export async function restartAll (simulation: Simulation, downMs: number, round = 1): Promise<void> {
  IDS.forEach(simulation.kill)
  await simulation.clock.advance(downMs)
  IDS.forEach(id => simulation.join(id, { incarnation: `${id}-${round + 1}` }))
  await simulation.clock.advance(10)
}

export interface FaultEvent {
  afterMs: number
  kind: 'restart-all' | 'restart-one' | 'cut-one' | 'slow-store' | 'lost-answers' | 'clock-step' | 'store-set-back'
  instance: number
  durationMs: number
}

const FAULT_KINDS = ['restart-all', 'restart-one', 'cut-one', 'slow-store', 'lost-answers', 'clock-step'] as const

const faultEventOf = (...kinds: ReadonlyArray<FaultEvent['kind']>): fc.Arbitrary<FaultEvent> => fc.record({
  afterMs: fc.integer({ min: 100, max: 3000 }),
  kind: fc.constantFrom(...kinds),
  instance: fc.nat(3),
  durationMs: fc.integer({ min: 200, max: 2500 })
})

export const faultEvent = faultEventOf(...FAULT_KINDS)
/** Faults that include restores of the store from older snapshots. */
export const faultOrRollbackEvent = faultEventOf(...FAULT_KINDS, 'store-set-back', 'store-set-back')

/** Runs the fault events while every instance asks for `amount` ten times a second; returns the largest sum granted in a window. */
export async function maxGrantedInWindow (events: readonly FaultEvent[], amount: number, logger?: Logger, division?: typeof DIVISION): Promise<number> {
  const simulation = createSimulation(true, logger, division)
  /** A request counts in a window that contains both its sending and its grant. */
  const granted: Array<{ sentMs: number, grantedMs: number }> = []
  let turns = 0
  const ask = async (ms: number): Promise<void> => {
    const endMs = simulation.clock.monotonic() + ms
    while (simulation.clock.monotonic() < endMs) {
      const asked = IDS.map(id => simulation.members.get(id)).filter(member => member !== undefined)
      const sentMs = simulation.clock.monotonic()
      const takes = asked.map(async member => {
        const { waitMs } = await member.take(simulation.team.current, amount, { part: PARTS[turns % PARTS.length]!, caller: `${sentMs}` })
        // A process that was killed in the meantime sends no request to a server.
        if (waitMs === 0 && [...simulation.members.values()].includes(member)) granted.push({ sentMs, grantedMs: simulation.clock.monotonic() })
      })
      await simulation.clock.advance(100)
      turns += 1
      if (turns % 3 === 0) simulation.exchangeReports()
      Promise.all(takes)
    }
  }
  const others = (id: string): string[] => IDS.filter(each => each !== id)
  const startFault: Record<FaultEvent['kind'], (id: string, durationMs: number, turn: number) => Promise<void> | void> = {
    'restart-all': (_id, durationMs, turn) => restartAll(simulation, durationMs, turn + 10),
    'restart-one': (id, durationMs, turn) => {
      simulation.kill(id)
      simulation.clock.schedule(durationMs, () => simulation.join(id, { incarnation: `${id}-${turn + 100}` }))
    },
    'cut-one': (id, durationMs) => {
      others(id).forEach(other => simulation.network.partition(id, other))
      simulation.clock.schedule(durationMs, () => others(id).forEach(other => simulation.network.heal(id, other)))
    },
    'slow-store': (_id, durationMs) => {
      simulation.setStore({ slowMs: 300 })
      simulation.clock.schedule(durationMs, () => simulation.setStore({ slowMs: 0 }))
    },
    'lost-answers': (_id, durationMs) => {
      simulation.setStore({ loseAnswers: true })
      simulation.clock.schedule(durationMs, () => simulation.setStore({ loseAnswers: false }))
    },
    'store-set-back': (_id, durationMs) => simulation.rollBackStore(durationMs * 2),
    'clock-step': (_id, durationMs) => simulation.clock.stepWallClock(durationMs % 2 === 0 ? durationMs : -durationMs)
  }
  await ask(1000)
  for (const [turn, { afterMs, kind, instance, durationMs }] of events.entries()) {
    await startFault[kind](IDS[instance]!, durationMs, turn)
    await ask(afterMs)
  }
  await ask(3000)
  return Math.max(...granted.map(from => granted.filter(each => each.sentMs >= from.sentMs && each.grantedMs < from.sentMs + WINDOW_MS).length * amount))
}
