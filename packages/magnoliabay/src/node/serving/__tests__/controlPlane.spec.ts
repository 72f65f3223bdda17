/**
 * The control plane of a whole fleet in virtual time: who asks the store, how many messages each instance bears, and that
 * what is told by way of relays is told in time, whoever is lost.
 */
import { expect } from 'chai'
import { MAX_MEMBERS_WITHOUT_RELAYS } from '../relays'
import { createSettledFleet, idOf } from './support/simulatedFleet'
import type { SimulatedFleet, SimulatedInstance } from './support/simulatedFleet'
import { serverOf } from './fixtures'

/** A change of the configuration is to be in force everywhere by then, milliseconds. */
const ACTIVATION_TIMEOUT_MS = 4000
/** The same where the leader is lost with it: nobody asks the store before it is missed. */
const ACTIVATION_AFTER_LOSS_TIMEOUT_MS = 6000
const MEASUREMENT_MS = 5000
/** Leases are renewed every three seconds, and nothing else is asked. */
const MAX_STORE_CALLS = 2 * MEASUREMENT_MS / 3000
/** Messages a second that an ordinary instance may send and receive where there are relays. */
const MAX_MESSAGES_PER_SECOND = 10
/** The same for any instance: four a second with each who reports to it, root of the size of them, and more where they choose unevenly. */
const MAX_MESSAGES_PER_SQRT_SIZE = 11
/** An idle instance may wake so often a second. */
const MAX_WAKE_UPS_PER_SECOND = 11
/** In a small fleet the leader exchanges sixteen a second with each of the others. */
const MAX_MESSAGES_PER_LINK = 16
const maxMessagesPerSecond = (size: number): number => size > MAX_MEMBERS_WITHOUT_RELAYS ? MAX_MESSAGES_PER_SQRT_SIZE * Math.sqrt(size) : MAX_MESSAGES_PER_LINK * size

/** The same numbers each time. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

const instancesOf = (fleet: SimulatedFleet): SimulatedInstance[] => [...fleet.instances.values()]
const followersOf = (fleet: SimulatedFleet): SimulatedInstance[] => instancesOf(fleet).filter(({ record }) => record.id !== fleet.leader())
const membersBehind = (fleet: SimulatedFleet, version: number): string[] => instancesOf(fleet).filter(({ cfg }) => cfg.version() < version).map(({ record }) => record.id)

/** Time until the version is in force at everybody, milliseconds. */
async function waitUntilActive (fleet: SimulatedFleet, version: number, timeoutMs: number): Promise<number> {
  const startMs = fleet.clock.monotonic()
  while (membersBehind(fleet, version).length > 0 && fleet.clock.monotonic() - startMs <= timeoutMs) await fleet.clock.advance(50)
  return fleet.clock.monotonic() - startMs
}

describe('the control plane', function () {
  this.timeout(60_000);

  [9, 87, 195, 420].forEach(size => it(`of ${size} instances asks the store for next to nothing, and no instance bears more than a bounded number of messages`, async () => {
    const fleet = await createSettledFleet(size, createRandom(size))
    expect(membersBehind(fleet, 1)).to.deep.equal([])
    expect(followersOf(fleet).filter(({ table }) => !table.isFollowing()).map(({ record }) => record.id)).to.deep.equal([])
    fleet.resetCounts()
    await fleet.clock.advance(MEASUREMENT_MS)
    expect(Math.max(...followersOf(fleet).map(({ calls }) => calls))).to.be.at.most(MAX_STORE_CALLS)
    const perSecond = instancesOf(fleet).map(({ messages }) => messages * 1000 / MEASUREMENT_MS).sort((left, right) => left - right)
    expect(perSecond.at(-1)).to.be.at.most(maxMessagesPerSecond(size))
    if (size > MAX_MEMBERS_WITHOUT_RELAYS) expect(perSecond[Math.floor(size / 2)]).to.be.at.most(MAX_MESSAGES_PER_SECOND)
  }))

  /**
   * Guards against a fleet that spends its processors on having nothing to do: each wake-up costs a small machine 0.7 ms,
   * whatever it does, and an idle instance is to cost no more than 0.008 of a core.
   */
  ;[87, 195].forEach(size => it(`wakes an idle instance of ${size} a few times a second`, async () => {
    const fleet = await createSettledFleet(size, createRandom(size + 1))
    fleet.resetCounts()
    await fleet.clock.advance(MEASUREMENT_MS)
    const perSecond = instancesOf(fleet).map(({ wakeUpTimes }) => wakeUpTimes.size * 1000 / MEASUREMENT_MS).sort((left, right) => left - right)
    expect(perSecond[Math.floor(size / 2)]).to.be.at.most(MAX_WAKE_UPS_PER_SECOND)
  }))

  it('costs an instance of 195 that starts beside the others three calls', async () => {
    const fleet = await createSettledFleet(194, createRandom(1))
    fleet.start(194)
    await fleet.clock.advance(2500)
    const started = fleet.instances.get(idOf(194))!
    expect(started.calls).to.be.at.most(3)
    expect(started.cfg.version()).to.equal(1)
    expect(started.servers.all().map(({ id }) => id).sort()).to.deep.equal(['s1', 's2', 's3'])
  })

  it('of 195 instances sums what all have under way, and tells everybody', async () => {
    const fleet = await createSettledFleet(195, createRandom(2))
    instancesOf(fleet).forEach(({ inFlight }) => inFlight.set('s1', 2))
    await fleet.clock.advance(2500)
    expect(instancesOf(fleet).filter(({ table }) => table.inFlightElsewhere('s1') !== 388).map(({ record }) => record.id)).to.deep.equal([])
  })

  const LOSSES: Array<{ name: string, boundMs: number, lose: (fleet: SimulatedFleet) => void }> = [
    { name: 'with nothing amiss', boundMs: ACTIVATION_TIMEOUT_MS, lose: () => {} },
    { name: 'after the loss of the leader', boundMs: ACTIVATION_AFTER_LOSS_TIMEOUT_MS, lose: fleet => fleet.kill(fleet.leader()!) },
    { name: 'after the loss of all relays but the leader', boundMs: ACTIVATION_TIMEOUT_MS, lose: fleet => followersOf(fleet).filter(({ table }) => table.isRelay()).forEach(({ record }) => fleet.kill(record.id)) },
    { name: 'after the loss of all relays and the leader', boundMs: ACTIVATION_AFTER_LOSS_TIMEOUT_MS, lose: fleet => instancesOf(fleet).filter(({ table }) => table.isRelay()).forEach(({ record }) => fleet.kill(record.id)) },
    { name: 'while the store turns the leader away', boundMs: ACTIVATION_TIMEOUT_MS, lose: fleet => fleet.instances.get(fleet.leader()!)!.faults.set({ down: 'refused' }) },
    {
      name: 'while the store turns a third of all away, the leader among them',
      boundMs: ACTIVATION_TIMEOUT_MS,
      lose: fleet => [fleet.instances.get(fleet.leader()!)!, ...followersOf(fleet).filter((_, index) => index % 3 === 0)].forEach(({ faults }) => faults.set({ down: 'refused' }))
    }
  ]
  /** Guards against a withdrawn key that works on where those who told of changes are gone, or hear nothing themselves. */
  LOSSES.forEach(({ name, boundMs, lose }) => [9, 195].forEach(size => it(`brings a configuration to all of ${size} in time ${name}`, async () => {
    const fleet = await createSettledFleet(size, createRandom(3))
    lose(fleet)
    await fleet.clock.advance(700)
    fleet.setConfig(2)
    expect(await waitUntilActive(fleet, 2, boundMs)).to.be.at.most(boundMs)
  })))

  /** Guards against requests to engines whose failure domain is about to lose power, by instances that hear of it late or never. */
  LOSSES.forEach(({ name, boundMs, lose }) => [9, 195].forEach(size => it(`empties a failure domain, and uses it again, at all of ${size} in time ${name}`, async () => {
    const fleet = await createSettledFleet(size, createRandom(6))
    const using = (): number => instancesOf(fleet).filter(({ servers }) => servers.usable('app').length > 0).length
    lose(fleet)
    await fleet.clock.advance(700)
    fleet.setEvacuated('a', true)
    await fleet.clock.advance(boundMs)
    expect(using()).to.equal(0)
    fleet.setEvacuated('a', false)
    await fleet.clock.advance(boundMs)
    expect(using()).to.equal(fleet.instances.size)
  })))

  /** Guards against hundreds of instances that read and watch for themselves while the store turns the leader away alone. */
  it('asks the store for little while it turns the leader away', async () => {
    const fleet = await createSettledFleet(195, createRandom(4))
    fleet.instances.get(fleet.leader()!)!.faults.set({ down: 'refused' })
    await fleet.clock.advance(2000)
    fleet.resetCounts()
    await fleet.clock.advance(MEASUREMENT_MS)
    const calls = followersOf(fleet).map(each => each.calls).sort((left, right) => left - right)
    expect(calls[Math.floor(calls.length * 0.9)]).to.be.at.most(MAX_STORE_CALLS)
  })

  /** Guards against requests to a server that has left, by instances that are told of changes. */
  it('tells all of 195 in time that a server leaves and another is gone', async () => {
    const fleet = await createSettledFleet(195, createRandom(5))
    fleet.putServer(serverOf('s1', { state: 'draining' }))
    fleet.removeServer('s2')
    await fleet.clock.advance(1000)
    expect(instancesOf(fleet).filter(({ servers }) => servers.usable('app').some(({ id }) => id !== 's3')).map(({ record }) => record.id)).to.deep.equal([])
  })
})
