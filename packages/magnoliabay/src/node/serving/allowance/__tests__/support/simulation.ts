/** A fleet of four instances and a store in virtual time, and random days on which a team's allowance is spent. */
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
/** Copies of the store are made this often, milliseconds, and so many are kept. */
const COPY_PERIOD_MS = 250
const MAX_COPIES = 40
/** 100 a second over 8 s, and a burst of 100. */
export const LIMIT = 900

export interface World {
  clock: VirtualClock
  network: MemoryNetwork
  /** For the store as every living process sees it. */
  setStore (faults: Partial<KvFaults>): void
  members: Map<string, AllowanceLimiter>
  team: { current: Team }
  /** Instances that know no configuration. */
  unknowing: Set<string>
  home: string
  others: string[]
  /** For one living process alone: the store turns it away. */
  setStoreOf (id: string, changes: Partial<KvFaults>): void
  /** The member's process is gone: it asks, tells and writes nothing any more. */
  kill (id: string): void
  /** A process of the member starts anew. */
  join (id: string, changes: Partial<MemberRecord>): void
  /** The store goes on from what it was so long ago, milliseconds. */
  setBack (ageMs: number): void
  /** Everybody tells everybody what it has spent, as the rows of the fleet do. */
  tell (ids?: readonly string[]): void
  /** Asks for `amount` at each of the members in turn until none grants any more; returns what was granted. */
  drain (ids: readonly string[], amount: number): Promise<number>
}

export function createWorld (isFirstStart = true, logger = createSilentLogger()): World {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const team = { current: teamOf('depot') }
  const state = createKvState({ clock })
  const copies = [state.snapshot()]
  const keepCopies = (): void => {
    copies.unshift(state.snapshot())
    copies.splice(MAX_COPIES)
    clock.schedule(COPY_PERIOD_MS, keepCopies)
  }
  keepCopies()
  let shared: Partial<KvFaults> = {}
  /** Of each member's living process; one that was killed reaches the store no more. */
  const faults = new Map<string, FaultSwitches<KvFaults>>()
  const storeOf = (id: string): ReturnType<typeof createDirectStore> => {
    faults.get(id)?.set({ down: 'refused' })
    const own = createKvFaults()
    own.set(shared)
    faults.set(id, own)
    return createDirectStore(state, { clock, faults: own })
  }
  const isAtStore = (id: string): boolean => members.has(id) && faults.get(id)?.current.down === 'no'
  const join = (id: string, isFirst: boolean, changes: Partial<MemberRecord> = {}): AllowanceLimiter => {
    const peers = network.join(memberRecord(id, { startedAtMs: clock.now() - clock.monotonic(), ...changes }))
    const store = createPeerFallbackStore({
      peers,
      store: storeOf(id),
      isStoreUnreachable: () => faults.get(id)?.current.down !== 'no',
      peersWithStoreAccess: () => IDS.filter(other => other !== id && isAtStore(other) && peers.isConnected(other)).slice(0, 1)
    })
    return createAllowanceLimiter({ peers, findTeam: () => unknowing.has(id) ? undefined : team.current, windowMs: WINDOW_MS, isFirstStart: isFirst, store, era: state.era, tolerance: TOLERANCE, clock, logger })
  }
  const unknowing = new Set<string>()
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
      shared = { ...shared, ...changes }
      faults.forEach(each => each.set(changes))
    },
    members,
    team,
    unknowing,
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
    setBack: ageMs => {
      state.restore(copies[Math.min(copies.length - 1, Math.floor(ageMs / COPY_PERIOD_MS))]!)
      copies.splice(0, copies.length, state.snapshot())
    },
    tell: (ids = IDS) => {
      const living = ids.filter(id => members.has(id))
      living.forEach(from => living.filter(to => to !== from).forEach(to =>
        members.get(to)!.notePeerSpending(incarnations.get(from)!, members.get(from)!.ownSpending())))
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

/** Kills every process and starts it anew after a while. */
export async function restartAll (world: World, downMs: number, turn = 1): Promise<void> {
  IDS.forEach(world.kill)
  await world.clock.advance(downMs)
  IDS.forEach(id => world.join(id, { incarnation: `${id}-${turn + 1}` }))
  await world.clock.advance(10)
}

export interface DayEvent {
  afterMs: number
  what: 'restart-all' | 'restart-one' | 'cut-one' | 'slow-store' | 'lost-answers' | 'clock-step' | 'store-set-back'
  who: number
  forMs: number
}

const KINDS = ['restart-all', 'restart-one', 'cut-one', 'slow-store', 'lost-answers', 'clock-step'] as const

const dayEventOf = (...kinds: ReadonlyArray<DayEvent['what']>): fc.Arbitrary<DayEvent> => fc.record({
  afterMs: fc.integer({ min: 100, max: 3000 }),
  what: fc.constantFrom(...kinds),
  who: fc.nat(3),
  forMs: fc.integer({ min: 200, max: 2500 })
})

export const dayEvent = dayEventOf(...KINDS)
/** On days on which the store goes back to older copies of itself. */
export const setBackDayEvent = dayEventOf(...KINDS, 'store-set-back', 'store-set-back')

/** Plays the events while every instance asks for `amount` ten times a second; returns the most that was granted in a window. */
export async function playDay (events: readonly DayEvent[], amount: number, logger?: Logger): Promise<number> {
  const world = createWorld(true, logger)
  /** A request counts in a window that holds both its sending and its start. */
  const granted: Array<{ sentMs: number, grantedMs: number }> = []
  let turns = 0
  const ask = async (ms: number): Promise<void> => {
    const endMs = world.clock.monotonic() + ms
    while (world.clock.monotonic() < endMs) {
      const asked = IDS.map(id => world.members.get(id)).filter(member => member !== undefined)
      const sentMs = world.clock.monotonic()
      const takes = asked.map(async member => {
        const { waitMs } = await member.take(world.team.current, amount)
        // A process that was killed meanwhile sends nothing.
        if (waitMs === 0 && [...world.members.values()].includes(member)) granted.push({ sentMs, grantedMs: world.clock.monotonic() })
      })
      await world.clock.advance(100)
      turns += 1
      if (turns % 3 === 0) world.tell()
      Promise.all(takes)
    }
  }
  const others = (id: string): string[] => IDS.filter(each => each !== id)
  const begin: Record<DayEvent['what'], (id: string, forMs: number, turn: number) => Promise<void> | void> = {
    'restart-all': (_id, forMs, turn) => restartAll(world, forMs, turn + 10),
    'restart-one': (id, forMs, turn) => {
      world.kill(id)
      world.clock.schedule(forMs, () => world.join(id, { incarnation: `${id}-${turn + 100}` }))
    },
    'cut-one': (id, forMs) => {
      others(id).forEach(other => world.network.partition(id, other))
      world.clock.schedule(forMs, () => others(id).forEach(other => world.network.heal(id, other)))
    },
    'slow-store': (_id, forMs) => {
      world.setStore({ slowMs: 300 })
      world.clock.schedule(forMs, () => world.setStore({ slowMs: 0 }))
    },
    'lost-answers': (_id, forMs) => {
      world.setStore({ loseAnswers: true })
      world.clock.schedule(forMs, () => world.setStore({ loseAnswers: false }))
    },
    'store-set-back': (_id, forMs) => world.setBack(forMs * 2),
    'clock-step': (_id, forMs) => world.clock.stepWallClock(forMs % 2 === 0 ? forMs : -forMs)
  }
  await ask(1000)
  for (const [turn, { afterMs, what, who, forMs }] of events.entries()) {
    await begin[what](IDS[who]!, forMs, turn)
    await ask(afterMs)
  }
  await ask(3000)
  return Math.max(...granted.map(from => granted.filter(each => each.sentMs >= from.sentMs && each.grantedMs < from.sentMs + WINDOW_MS).length * amount))
}
