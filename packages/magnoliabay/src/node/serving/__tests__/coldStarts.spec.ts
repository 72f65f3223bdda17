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
/** As the users set them. */
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

/** Everybody asks twenty times a second; returns the moments at which a request was sent. */
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

describe('requests to a cold server', () => {
  it('are those of all instances together, as many as it bears', async () => {
    const sentMs = await sendAll(createSimulation(), 3000)
    expect(maxRequestsPerSecond(sentMs)).to.be.at.most(MAX_REQUESTS_PER_SECOND)
    expect(sentMs.length).to.be.at.least(3 * START.requestsPerSecond * 0.9)
  })

  it('are bounded for as long as it says, and after an evacuation for as long as a start takes', () => {
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

  /** Guards against an instance out of touch that goes on by itself: it would come on top of what all others send. */
  it('are none of an instance that does not reach the one who counts', async () => {
    const simulation = createSimulation()
    const home = rankByRendezvous(serverProcessId(SERVER), IDS, id => id)[0]!
    const other = IDS.find(id => id !== home)!
    simulation.network.partition(other, home)
    const asked = simulation.instances.get(other)!.admit(SERVER)
    await simulation.clock.advance(1500)
    expect(await asked).to.equal(false)
  })

  /**
   * A server crashes right after its start.
   * 1. All instances send to it, since it is the emptiest. 2. The one that counts for it is killed, started anew or cut
   * off, and another counts from nothing.
   */
  it('stay within the bound while those who count are lost', async () => {
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
