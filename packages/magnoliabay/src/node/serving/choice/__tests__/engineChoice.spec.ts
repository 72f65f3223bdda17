import { expect } from 'chai'
import { createVirtualClock } from '../../../clock/virtual'
import type { VirtualClock } from '../../../clock/virtual'
import { createLogger } from '../../../logger'
import { createWakeupCounter } from '../../../wakeups'
import { createServingMetrics } from '../../metrics'
import type { RequestRun } from '../../requestRun'
import { createServerChooser } from '../../serverChoice'
import type { ServerChooser } from '../../serverChoice'
import { createServerHealth } from '../../serverHealth'
import type { ServerHealth } from '../../serverHealth'
import type { ServingContext } from '../../servingContext'
import { serverProcessId } from '../../types'
import type { BackendServer, Service } from '../../types'
import { NO_BRITTLE_SERVERS, routeOf, serverOf } from '../../__tests__/fixtures'
import { startStreamTimer } from '../streamTimer'

const SLOTS = 16
const MANY = 86
const FEW = 9

const ENGINES: Service = { name: 'llm', connectionLimit: 64, coldStart: undefined, engine: { slots: SLOTS, kvTokens: 88_000, weightMemoryMb: 200_000, adapterCapacity: 0, storeLoadsPerSecond: 41, models: new Map() } }
const PLAIN: Service = { name: 'app', connectionLimit: 10, coldStart: undefined, engine: undefined }
const NEAR = serverOf('near', { service: 'llm', slots: SLOTS, failureDomain: 'a' })
const FAR = serverOf('far', { service: 'llm', slots: SLOTS, failureDomain: 'b' })

interface Setup {
  clock: VirtualClock
  chooser: ServerChooser
  health: ServerHealth
  /** Requests of other instances by server process. */
  elsewhere: Map<string, number>
  lines: string[]
  randomCalls: { count: number }
}

function createSetup (instances: number, random = 0.5): Setup {
  const clock = createVirtualClock()
  const health = createServerHealth(clock)
  const elsewhere = new Map<string, number>()
  const lines: string[] = []
  const randomCalls = { count: 0 }
  const inFlightElsewhere = (id: string): number => elsewhere.get(id) ?? 0
  const ctx = {
    health,
    clock,
    fleetView: { inFlightElsewhere, inFlightElsewhereAtSummary: inFlightElsewhere, instanceCount: () => instances },
    servers: { usable: () => [NEAR, FAR] },
    coldStarts: { isCold: () => false },
    serverLimits: { limitOf: () => undefined },
    limitedServers: { admit: async () => ({ freeInMs: 0, retryInMs: 0 }) },
    serverBackoffs: { remainingMs: () => 0 },
    ...NO_BRITTLE_SERVERS,
    metrics: createServingMetrics(createWakeupCounter()),
    logger: createLogger({ write: line => lines.push(line) }),
    failureDomain: 'a',
    random: () => {
      randomCalls.count += 1
      return random
    },
    pause: async () => {}
  }
  return { clock, chooser: createServerChooser(ctx as unknown as ServingContext), health, elsewhere, lines, randomCalls }
}

function runOf (service: Service = ENGINES): RequestRun {
  const route = routeOf('/chat/', { kind: 'stream', latencyObjectiveMs: 500, maxEventGapMs: 300 })
  const run = { caller: { attemptId: 'try-1', model: 'm', promptParts: [] }, admitted: { route, service }, tried: new Set(), rejectedBy: new Set(), stop: new AbortController() }
  return run as unknown as RequestRun
}

async function chosenId ({ chooser }: Setup, from: readonly BackendServer[], run = runOf()): Promise<string> {
  const choice = await chooser.choose(run, from, () => 1000)
  if (choice.kind === 'chosen') return choice.server.id
  return choice.kind === 'refused' ? choice.refusal.reason : 'none'
}

describe('the choice of an engine', () => {
  it('uses one random number for each request, in each mode', async () => {
    for (const instances of [FEW, MANY]) {
      const setup = createSetup(instances)
      await chosenId(setup, [NEAR, FAR])
      expect(setup.randomCalls.count).to.equal(1)
    }
  })

  const MODES = [
    { name: 'the least loaded server with few instances', instances: FEW, service: ENGINES, expected: 'far' },
    { name: 'the least loaded server of a plain service', instances: MANY, service: PLAIN, expected: 'far' },
    { name: 'an engine by free slots with many instances', instances: MANY, service: ENGINES, expected: 'near' }
  ]
  MODES.forEach(({ name, instances, service, expected }) => it(`selects ${name}`, async () => {
    const setup = createSetup(instances, 0.1)
    setup.elsewhere.set(serverProcessId(NEAR), 11)
    setup.elsewhere.set(serverProcessId(FAR), 8)
    expect(await chosenId(setup, [NEAR, FAR], runOf(service))).to.equal(expected)
  }))

  it('avoids an engine for a short time after it rejected a request', async () => {
    const setup = createSetup(MANY)
    setup.elsewhere.set(serverProcessId(FAR), 14)
    setup.health.rejections.record(serverProcessId(NEAR), 3, SLOTS)
    expect(await chosenId(setup, [NEAR, FAR])).to.equal('far')
    await setup.clock.advance(500)
    expect(await chosenId(setup, [NEAR, FAR])).to.equal('near')
  })

  it('sends nothing to an engine with as many requests as it holds while another has a place', async () => {
    const setup = createSetup(MANY)
    setup.elsewhere.set(serverProcessId(NEAR), 4 * SLOTS)
    setup.elsewhere.set(serverProcessId(FAR), 4 * SLOTS - 1)
    expect(await chosenId(setup, [NEAR, FAR])).to.equal('far')
  })

  /**
   * Failure: the retry budget of all callers is spent on a model whose only engine is full. Each of its requests is sent
   * there and rejected, and each rejection counts.
   */
  it('refuses a request at once when all its engines are known to be full', async () => {
    const setup = createSetup(MANY)
    setup.elsewhere.set(serverProcessId(NEAR), 60)
    expect(await chosenId(setup, [NEAR])).to.equal('near')
    setup.health.rejections.record(serverProcessId(NEAR), 60, SLOTS)
    expect(await chosenId(setup, [NEAR])).to.equal('server-full')
    setup.elsewhere.set(serverProcessId(NEAR), 50)
    await setup.clock.advance(500)
    expect(await chosenId(setup, [NEAR])).to.equal('near')
  })

  it('does not refuse requests on a load that no rejection has confirmed', async () => {
    const setup = createSetup(MANY)
    setup.elsewhere.set(serverProcessId(NEAR), 100)
    expect(await chosenId(setup, [NEAR])).to.equal('near')
  })

  it('logs a request that has to queue, with its id and the load', async () => {
    const setup = createSetup(MANY)
    setup.elsewhere.set(serverProcessId(NEAR), 20)
    await chosenId(setup, [NEAR])
    expect(setup.lines).to.have.length(1)
    expect(setup.lines[0]).to.match(/engine-choice.* request=try-1 server=near reason=queued load=20 slots=16/)
  })

  /** Guards against engines of uneven speed that are chosen by load where instances are few. */
  it('prefers the faster of two engines where speeds are uneven, and counts smaller differences as equal', async () => {
    const setup = createSetup(FEW)
    setup.elsewhere.set(serverProcessId(FAR), 6)
    setup.health.speeds.recordFirstEvent(serverProcessId(FAR), 400, 0)
    setup.health.speeds.setShared(new Map([[serverProcessId(NEAR), 1.3], [serverProcessId(FAR), 0.9]]), 2500)
    expect(await chosenId(setup, [NEAR, FAR])).to.equal('near')
    await setup.clock.advance(500)
    setup.health.speeds.setShared(new Map([[serverProcessId(NEAR), 1.8], [serverProcessId(FAR), 0.8]]), 2500)
    expect(await chosenId(setup, [NEAR, FAR])).to.equal('far')
  })
})

describe('the timer of a stream', () => {
  it('records the first event, gaps and the end', async () => {
    const clock = createVirtualClock()
    const { speeds } = createServerHealth(clock)
    for (const server of ['a', 'b']) {
      const timer = startStreamTimer({ speeds, clock, server, model: 'm', promptTokens: 700, fill: () => 0.5 })
      await clock.advance(100)
      timer.recordEvents()
      for (let event = 0; event < 20; event += 1) {
        await clock.advance(server === 'a' ? 50 : 100)
        timer.recordEvents()
      }
      timer.recordEnd()
    }
    expect(speeds.firstEventMs(700)).to.be.closeTo(100, 1e-6)
    expect(speeds.longestGapMs('a', 'm', 0.5)).to.be.within(50, 150)
    expect(speeds.takeSamples().find(({ server }) => server === 'b')!.logSum).to.be.above(0)
  })

  it('does not count the time in an engine\'s queue as time to the first event', async () => {
    const clock = createVirtualClock()
    const { speeds } = createServerHealth(clock)
    const timer = startStreamTimer({ speeds, clock, server: 'a', model: 'm', promptTokens: 0, fill: () => 2 })
    await clock.advance(3000)
    timer.recordEvents()
    expect(speeds.firstEventMs(0)).to.equal(0)
  })
})
