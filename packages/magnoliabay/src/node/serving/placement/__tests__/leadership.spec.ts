import { createDirectStore, createKvFaults, createKvState } from '@magnoliabay/standins'
import type { FaultSwitches, KvFaults } from '@magnoliabay/standins'
import { expect } from 'chai'
import type { Clock } from '../../../clock'
import { createVirtualClock } from '../../../clock/virtual'
import type { VirtualClock } from '../../../clock/virtual'
import { createSilentLogger } from '../../../logger'
import { LEADER_KEY, createLeadership } from '../leadership'
import type { Leadership } from '../leadership'

const ORDER_LEASE_MS = 3000
/** A lease of 2.2 s, another candidate's try, and the time between two holders' orders. */
const HAND_OVER_MS = 2200 + 900 + ORDER_LEASE_MS + 400

interface Candidate {
  leadership: Leadership
  stop: AbortController
  faults: FaultSwitches<KvFaults>
  /** Its process stands still: timers wait, the steady clock stops, the time of day goes on. */
  freeze (): void
  thaw (): void
}

interface World {
  clock: VirtualClock
  candidate (id: string): Candidate
  holder (): string | undefined
}

function createWorld (): World {
  const clock = createVirtualClock()
  const state = createKvState({ clock })
  return {
    clock,
    holder: () => state.range({ key: LEADER_KEY })[0]?.value,
    candidate: id => {
      const faults = createKvFaults()
      const own = createFreezableClock(clock)
      const store = createDirectStore(state, { clock, faults })
      const leadership = createLeadership({ store, self: id, orderLeaseMs: ORDER_LEASE_MS, minLeaseMs: 1000, processorShare: 1, clock: own, logger: createSilentLogger(), random: () => 0 })
      const stop = new AbortController()
      leadership.start(stop.signal)
      return { leadership, stop, faults, freeze: own.freeze, thaw: own.thaw }
    }
  }
}

function createFreezableClock (clock: VirtualClock): Clock & { freeze (): void, thaw (): void } {
  const held: Array<() => void> = []
  let frozenAtMs: number | undefined
  let lostMs = 0
  return {
    now: clock.now,
    monotonic: () => (frozenAtMs ?? clock.monotonic()) - lostMs,
    schedule: (delayMs, callback) => clock.schedule(delayMs, () => {
      if (frozenAtMs === undefined) callback()
      else held.push(callback)
    }),
    freeze: () => { frozenAtMs = clock.monotonic() },
    thaw: () => {
      lostMs += clock.monotonic() - frozenAtMs!
      frozenAtMs = undefined
      held.splice(0).forEach(callback => callback())
    }
  }
}

describe('who gives orders', () => {
  it('is one of two, and not before the time that keeps two holders apart', async () => {
    const world = createWorld()
    const [one, other] = [world.candidate('one'), world.candidate('other')]
    await world.clock.advance(1000)
    expect([one, other].map(each => each.leadership.fence())).to.deep.equal([undefined, undefined])
    await world.clock.advance(ORDER_LEASE_MS)
    const fences = [one, other].map(each => each.leadership.fence()).filter(fence => fence !== undefined)
    expect(fences).to.have.length(1)
  })

  /**
   * Two instances order one engine in turns, and a model is loaded twice.
   * 1. The holder is cut off from the store. 2. It stops before its lease can have ended there. 3. The other takes
   * over, and waits until no order of the first can be closer than the set time.
   */
  it('changes hands with the set time between the last order and the first', async () => {
    const world = createWorld()
    const one = world.candidate('one')
    await world.clock.advance(ORDER_LEASE_MS + 1000)
    const other = world.candidate('other')
    one.faults.set({ down: 'refused' })
    let lastOfOneMs = 0
    let firstOfOtherMs: number | undefined
    for (let turn = 0; turn < HAND_OVER_MS / 20 && firstOfOtherMs === undefined; turn += 1) {
      if (one.leadership.fence() !== undefined) lastOfOneMs = world.clock.monotonic()
      if (other.leadership.fence() !== undefined) firstOfOtherMs = world.clock.monotonic()
      await world.clock.advance(20)
    }
    expect(firstOfOtherMs! - lastOfOneMs).to.be.at.least(ORDER_LEASE_MS)
  })

  /**
   * A holder that stood still goes on ordering beside its successor.
   * 1. The holder's machine is suspended: its steady clock stops. 2. Its lease ends, another holds it. 3. It wakes, and
   * by its steady clock no time has passed; the time of day tells.
   */
  it('stops at once after a suspension that the steady clock did not count', async () => {
    const world = createWorld()
    const one = world.candidate('one')
    await world.clock.advance(ORDER_LEASE_MS + 1000)
    expect(one.leadership.fence()).to.be.a('number')
    one.freeze()
    await world.clock.advance(4000)
    one.thaw()
    expect(one.leadership.fence()).to.equal(undefined)
  })

  it('stops in time when the time of day was set back meanwhile', async () => {
    const world = createWorld()
    const one = world.candidate('one')
    await world.clock.advance(ORDER_LEASE_MS + 1000)
    one.faults.set({ down: 'refused' })
    world.clock.stepWallClock(-60_000)
    await world.clock.advance(2200)
    expect(one.leadership.fence()).to.equal(undefined)
  })

  /**
   * Nobody orders anything, though one holds the lease without knowing.
   * 1. The write that takes the lease is carried out, its answer is lost. 2. The key itself tells who holds it.
   */
  it('finds out that it holds the lease when the answer was lost', async () => {
    const world = createWorld()
    const one = world.candidate('one')
    await world.clock.advance(10)
    one.faults.set({ loseAnswers: true })
    await world.clock.advance(700)
    one.faults.set({ loseAnswers: false })
    await world.clock.advance(HAND_OVER_MS + ORDER_LEASE_MS)
    expect(one.leadership.fence()).to.be.a('number')
    expect(world.holder()).to.contain('"one"')
  })

  it('gives the lease back when it resigns, and orders nothing more', async () => {
    const world = createWorld()
    const one = world.candidate('one')
    await world.clock.advance(ORDER_LEASE_MS + 1000)
    const resigned = one.leadership.resign()
    expect(one.leadership.fence()).to.equal(undefined)
    await resigned
    expect(world.holder()).to.equal(undefined)
  })
})
