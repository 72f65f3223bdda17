import { expect } from 'chai'
import fc from 'fast-check'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemoryNetwork } from '../../members/memoryNetwork'
import { rankByRendezvous } from '../../utils'
import { createColdStarts } from '../coldStarts'
import type { ColdStarts } from '../coldStarts'
import { serverProcessId } from '../types'
import { memberRecord, serverOf } from './fixtures'

const IDS = Array.from({ length: 12 }, (_, index) => `m${index}`)
/** Values that users set. */
const START = { durationMs: 3000, requestsPerSecond: 8.2 }
const COLD_RATE_TOLERANCE = { ratio: 1.5, slack: 5 }
const MAX_REQUESTS_PER_SECOND = START.requestsPerSecond * COLD_RATE_TOLERANCE.ratio + COLD_RATE_TOLERANCE.slack
const SERVER = serverOf('s1')

interface Simulation {
  clock: VirtualClock
  network: MemoryNetwork
  /** By instance. */
  instances: Map<string, ColdStarts>
  cold: { remainingMs: number, evacuationEndedAgoMs: number }
  start (id: string): void
}

function createSimulation (): Simulation {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const cold = { remainingMs: 3000, evacuationEndedAgoMs: Infinity }
  const instances = new Map<string, ColdStarts>()
  const start = (id: string): void => {
    const peers = network.join(memberRecord(id, { incarnation: `${id} ${clock.monotonic()}` }))
    instances.set(id, createColdStarts({ peers, coldStartOf: () => START, coldMs: () => cold.remainingMs, evacuationEndedAgoMs: () => cold.evacuationEndedAgoMs, tolerance: COLD_RATE_TOLERANCE, clock, logger: createSilentLogger() }))
  }
  IDS.forEach(start)
  return { clock, network, instances, cold, start }
}

/** Each instance asks twenty times a second; returns the times at which requests were sent. */
async function sendAll (simulation: Simulation, durationMs: number): Promise<number[]> {
  const sentMs: number[] = []
  for (let leftMs = durationMs; leftMs > 0; leftMs -= 50) {
    simulation.instances.forEach(async instance => { if (await instance.admit(SERVER)) sentMs.push(simulation.clock.monotonic()) })
    await simulation.clock.advance(50)
  }
  return sentMs
}

const maxRequestsPerSecond = (sentMs: readonly number[]): number =>
  Math.max(0, ...sentMs.map(from => sentMs.filter(atMs => atMs >= from && atMs < from + 1000).length))

describe('cold starts', () => {
  it('limits the requests of all instances together to the rate of the cold server', async () => {
    const sentMs = await sendAll(createSimulation(), 3000)
    expect(maxRequestsPerSecond(sentMs)).to.be.at.most(MAX_REQUESTS_PER_SECOND)
    expect(sentMs.length).to.be.at.least(3 * START.requestsPerSecond * 0.9)
  })

  it('treats a server as cold for as long as it reports so, and after an evacuation for the duration of a start', () => {
    const simulation = createSimulation()
    const isCold = (): boolean => simulation.instances.get('m1')!.isCold(SERVER)
    expect(isCold()).to.equal(true)
    simulation.cold.remainingMs = 0
    expect(isCold()).to.equal(false)
    simulation.cold.evacuationEndedAgoMs = 2999
    expect(isCold()).to.equal(true)
    simulation.cold.evacuationEndedAgoMs = 3001
    expect(isCold()).to.equal(false)
  })

  /**
   * Guards against an instance that cannot reach the home instance and decides by itself: its requests would exceed the
   * limit that the others share.
   */
  it('refuses requests of an instance that does not reach the home instance', async () => {
    const simulation = createSimulation()
    const home = rankByRendezvous(serverProcessId(SERVER), IDS, id => id)[0]!
    const other = IDS.find(id => id !== home)!
    simulation.network.partition(other, home)
    const asked = simulation.instances.get(other)!.admit(SERVER)
    await simulation.clock.advance(1500)
    expect(await asked).to.equal(false)
  })

  /**
   * Failure: a server crashes right after its start.
   * 1. All instances send to it, since it has the least load. 2. Its home instance is killed or restarted, and another
   * one counts from zero.
   */
  it('stays within the limit while home instances are lost', async () => {
    const event = fc.record({ afterMs: fc.integer({ min: 2000, max: 3000 }), instanceIndex: fc.nat(IDS.length - 1), fault: fc.constantFrom('kill', 'restart') })
    await fc.assert(fc.asyncProperty(fc.array(event, { minLength: 1, maxLength: 5 }), async events => {
      const simulation = createSimulation()
      const sentMs: number[] = []
      for (const { afterMs, instanceIndex, fault } of events) {
        sentMs.push(...await sendAll(simulation, afterMs))
        simulation.network.kill(IDS[instanceIndex]!)
        simulation.instances.delete(IDS[instanceIndex]!)
        if (fault === 'restart') simulation.start(IDS[instanceIndex]!)
      }
      sentMs.push(...await sendAll(simulation, 1000))
      expect(maxRequestsPerSecond(sentMs)).to.be.at.most(MAX_REQUESTS_PER_SECOND)
    }), { seed: 3, numRuns: 30 })
  })
})
