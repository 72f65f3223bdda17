import { expect } from 'chai'
import fc from 'fast-check'
import { answered, createSimulatedEntries, instanceId, maxArrivalsWithin, rejected } from './support/simulatedEntries'
import type { ServerAnswer, SimulatedEntries, SimulatedServer } from './support/simulatedEntries'
import type { CallerResponse } from './support/callerResponse'
import { configOf, modelSpec, routeOf, serverOf } from './fixtures'
import type { BackendServer } from '../types'

/** Values of the platform's rules. */
const CONTACT_TIMEOUT_MS = 3000
const LIMIT_SPAN_MS = 4000
const maxInSpan = (requestsPerSecond: number): number => requestsPerSecond * LIMIT_SPAN_MS / 1000 * 1.5 + 5

const FLEET_SIZES = [9, 420]
const REQUESTS_PER_SECOND = 50
const LIMITED = serverOf('limited', { address: '10.0.0.1:1' })
const ENGINE_MODELS = ['busy', 'rare'].map(name => modelSpec(name))
const ENGINE_CONFIG = configOf(1, {
  routes: [routeOf('/read/', { isAnonymous: true, maxAttempts: 3 })],
  services: new Map([['app', { name: 'app', connectionLimit: 10, coldStart: undefined, engine: { slots: 6, kvTokens: 0, weightMemoryMb: 200, adapterCapacity: 8, storeLoadsPerSecond: 4, models: new Map(ENGINE_MODELS.map(spec => [spec.name, spec])) } }]])
})
const engineWith = (server: BackendServer, models: readonly string[]): BackendServer => ({ ...server, models: models.map(name => ({ name, version: 1, adapters: [] })) })
const OTHER = serverOf('other', { address: '10.0.0.2:1' })

/** Sends requests at a steady rate through all instances in turn; returns what callers got. */
async function sendSteadily (fleet: SimulatedEntries, durationMs: number, path = '/read/1', headers: Record<string, string> = {}): Promise<CallerResponse[]> {
  const sent: CallerResponse[] = []
  const intervalMs = 1000 / REQUESTS_PER_SECOND
  for (let sentMs = 0; sentMs < durationMs; sentMs += intervalMs) {
    const ids = [...fleet.entries.keys()]
    sent.push(fleet.entries.get(ids[sent.length % ids.length]!)!.send(path, headers))
    await fleet.clock.advance(intervalMs)
  }
  return sent
}

/** Most requests within a span of the rule, from its begin after the first answer that stated the limit. */
function maxAtLimit ({ arrivals }: SimulatedServer): number {
  return maxArrivalsWithin(arrivals, LIMIT_SPAN_MS, arrivals[0]!.atMs + CONTACT_TIMEOUT_MS)
}

const instanceIds = (fleet: SimulatedEntries): string[] => [...fleet.entries.keys()]
const statusesOf = (responses: readonly CallerResponse[]): number[] => [...new Set(responses.map(({ status }) => status!))].sort()

describe('a server that states a rate limit in its answers', () => {
  /** Guards against a server getting more requests than it takes, because what its answers state is not read. */
  FLEET_SIZES.forEach(size => it(`gets no more than that from ${size} instances together, and the rest goes elsewhere`, async () => {
    const fleet = createSimulatedEntries({ size })
    const limited = fleet.addServer(LIMITED, () => answered({ 'server-limit': '1' }))
    fleet.addServer(OTHER, () => answered())
    await fleet.clock.advance(1000)
    const responses = await sendSteadily(fleet, 15_000)
    await fleet.clock.advance(1000)
    expect(statusesOf(responses)).to.deep.equal([200])
    expect(maxAtLimit(limited)).to.be.at.most(maxInSpan(1))
    expect(limited.arrivals.filter(({ atMs }) => atMs > 5000)).to.have.length.at.least(8)
  }))

  /** Guards against a limit that is kept in first sends only, or only at some rates. */
  const WAYS = [
    { name: 'reads that run and fail', path: '/read/1', answer: () => ({ ...answered({ 'server-limit': '2.5' }), status: 500 }), limit: 2.5 },
    { name: 'requests that it rejects', path: '/write/1', answer: () => rejected({ 'server-limit': '0.5' }), limit: 0.5 },
    { name: 'streams that break and are resumed', path: '/resumable/1', answer: (count: number) => count % 2 === 0 ? 'broken' as const : answered({ 'server-limit': '1' }), limit: 1 },
    { name: 'many requests a second', path: '/read/1', answer: () => answered({ 'server-limit': '20' }), limit: 20 },
    { name: 'no requests at all', path: '/read/1', answer: () => answered({ 'server-limit': '0' }), limit: 0 }
  ]
  WAYS.forEach(({ name, path, answer, limit }) => it(`gets no more than that by ${name}`, async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    const limited: SimulatedServer = fleet.addServer(LIMITED, () => answer(limited.arrivals.length))
    fleet.addServer(OTHER, () => answered())
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 12_000, path)
    expect(maxAtLimit(limited)).to.be.at.most(maxInSpan(limit))
  }))

  /** Guards against callers of a rare model that are refused because busy models, which others have too, take its engine's places. */
  it('takes the requests of a model that only it has, while a model that others have too presses', async () => {
    const fleet = createSimulatedEntries({ size: 9, cfg: ENGINE_CONFIG })
    const limited = fleet.addServer(engineWith(LIMITED, ['busy', 'rare']), () => answered({ 'server-limit': '1' }))
    fleet.addServer(engineWith(OTHER, ['busy']), () => answered())
    await fleet.clock.advance(1000)
    const rare: CallerResponse[] = []
    const busy: CallerResponse[] = []
    for (let turn = 0; turn < 10; turn += 1) {
      busy.push(...await sendSteadily(fleet, 2000, '/read/1', { 'x-magnoliabay-model': 'busy' }))
      rare.push(fleet.entries.get(instanceId(turn % 9))!.send('/read/1', { 'x-magnoliabay-model': 'rare' }))
    }
    await fleet.clock.advance(1000)
    expect(statusesOf(rare)).to.deep.equal([200])
    expect(statusesOf(busy)).to.deep.equal([200])
    expect(maxAtLimit(limited)).to.be.at.most(maxInSpan(1))
    expect(limited.arrivals.filter(({ atMs }) => atMs > 5000)).to.have.length.at.least(12)
  })

  /** Guards against a load elsewhere, or a refusal, for requests that their engine takes within a second. */
  it('takes a small cluster of requests for a model that only it has one after the other', async () => {
    const fleet = createSimulatedEntries({ size: 9, cfg: ENGINE_CONFIG })
    fleet.addServer(engineWith(LIMITED, ['rare']), () => answered({ 'server-limit': '2' }))
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 100, '/read/1', { 'x-magnoliabay-model': 'rare' })
    await fleet.clock.advance(3000)
    const cluster = [1, 2, 3].map(index => fleet.entries.get(instanceId(index))!.send('/read/1', { 'x-magnoliabay-model': 'rare' }))
    await fleet.clock.advance(1200)
    expect(statusesOf(cluster)).to.deep.equal([200])
  })

  /** Guards against callers that wait for a server that will not take them, or come back when it still takes none. */
  it('has the callers that nobody else can serve refused at once, and takes one that comes back when it was told to', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    fleet.addServer(LIMITED, () => answered({ 'server-limit': '1' }))
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 3000)
    const caller = fleet.entries.get(instanceId(4))!
    const sentMs = fleet.clock.monotonic()
    const refused = caller.send('/read/1')
    await fleet.clock.advance(100)
    expect(refused.status).to.equal(503)
    expect(refused.endedMs! - sentMs).to.be.at.most(10)
    await fleet.clock.advance(Number(refused.headers['retry-after']) * 1000)
    const repeated = caller.send('/read/1')
    await fleet.clock.advance(100)
    expect(repeated.status).to.equal(200)
  })

  /** Guards against a limit that outlives the need, at instances that have not used the server since. */
  it('is used freely again, by all instances, once an answer states no limit', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    let headers: Record<string, string> = { 'server-limit': '1' }
    const limited = fleet.addServer(LIMITED, () => answered(headers))
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 6000)
    headers = {}
    await sendSteadily(fleet, 2500)
    const liftedMs = fleet.clock.monotonic()
    const responses = await sendSteadily(fleet, 2000)
    await fleet.clock.advance(100)
    expect(statusesOf(responses)).to.deep.equal([200])
    expect(new Set(limited.arrivals.filter(({ atMs }) => atMs > liftedMs).map(({ from }) => from))).to.have.length(9)
  })

  /** Guards against the limit of a former process that is kept for the one that has its id and address now. */
  it('has no limit after a restart at the same address', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    fleet.addServer(LIMITED, () => answered({ 'server-limit': '1' }))
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 4000)
    fleet.addServer({ ...LIMITED, bornMs: 2 }, () => answered())
    const responses = await sendSteadily(fleet, 2000)
    await fleet.clock.advance(100)
    expect(statusesOf(responses)).to.deep.equal([200])
  })

  /** Guards against two instances that both grant the whole limit, or one that goes on alone, while members change. */
  it('gets no more than that while instances end, start again, join and are cut off', async () => {
    const event = fc.record({ afterMs: fc.integer({ min: 300, max: 4000 }), index: fc.nat(8), kind: fc.constantFrom('kill', 'restart', 'join', 'cut', 'heal') })
    await fc.assert(fc.asyncProperty(fc.constantFrom(0.5, 1, 4, 20), fc.array(event, { minLength: 2, maxLength: 6 }), async (limit, events) => {
      const fleet = createSimulatedEntries({ size: 9 })
      const limited = fleet.addServer(LIMITED, () => answered({ 'server-limit': String(limit) }))
      fleet.addServer(OTHER, () => answered())
      await fleet.clock.advance(1000)
      await sendSteadily(fleet, 2000)
      let joined = 9
      for (const { afterMs, index, kind } of events) {
        const id = instanceId(index)
        if (kind === 'join') fleet.start(joined++)
        if (kind === 'kill' || kind === 'restart') fleet.kill(id)
        if (kind === 'restart') fleet.start(index)
        if (kind === 'cut' || kind === 'heal') [...fleet.entries.keys()].filter(other => other !== id).forEach(other => kind === 'cut' ? fleet.network.partition(id, other) : fleet.network.heal(id, other))
        await sendSteadily(fleet, afterMs)
      }
      expect(maxAtLimit(limited)).to.be.at.most(maxInSpan(limit))
    }), { seed: 5, numRuns: 25 })
  })
})

describe('a server that states in its answers that it leaves', () => {
  const DRAIN_MS = 2000

  /** Guards against requests to a server that has said that it leaves, while the store cannot tell. */
  const SIZES = [{ size: 9, title: 'gets no request from an instance that has heard it, and soon none from any' }, { size: 420, title: 'soon gets none from 420 instances' }]
  SIZES.forEach(({ size, title }) => it(title, async () => {
    const fleet = createSimulatedEntries({ size })
    let headers: Record<string, string> = {}
    const leaving = fleet.addServer(LIMITED, () => answered(headers))
    fleet.addServer(OTHER, () => answered())
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 1000)
    headers = { 'server-leaving': '1' }
    const saidMs = fleet.clock.monotonic()
    const responses = await sendSteadily(fleet, 6000)
    await fleet.clock.advance(100)
    expect(leaving.arrivals.filter(({ atMs }) => atMs > saidMs + DRAIN_MS)).to.have.length(0)
    expect(statusesOf(responses)).to.deep.equal([200])
  }))

  /** Guards against a statement that counts only in answers that are passed on, or only at instances that others reach. */
  it('gets no further request from an instance that is cut off, once it has rejected one of its requests', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    const leaving = fleet.addServer(LIMITED, () => rejected({ 'server-leaving': '1' }))
    fleet.addServer(OTHER, () => answered())
    instanceIds(fleet).slice(1).forEach(other => fleet.network.partition(instanceId(0), other))
    const responses = Array.from({ length: 40 }, () => fleet.entries.get(instanceId(0))!.send('/write/1'))
    await fleet.clock.advance(500)
    const before = leaving.arrivals.length
    responses.push(...Array.from({ length: 40 }, () => fleet.entries.get(instanceId(0))!.send('/write/1')))
    await fleet.clock.advance(500)
    expect(before).to.be.greaterThan(0)
    expect(leaving.arrivals).to.have.length(before)
    expect(statusesOf(responses)).to.deep.equal([200])
  })

  /** Guards against the statement of a former process that is kept for the one that has its id and address now. */
  it('gets requests again after a restart at the same address', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    fleet.addServer(LIMITED, () => answered({ 'server-leaving': '1' }))
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 2000)
    fleet.addServer({ ...LIMITED, bornMs: 2 }, () => answered())
    const responses = await sendSteadily(fleet, 2000)
    await fleet.clock.advance(100)
    expect(statusesOf(responses)).to.deep.equal([200])
  })
})

describe('a server that asks an instance for backoff', () => {
  const BACKOFF_MS = 3000
  const BACKOFF_DELAY_MS = 500
  const MAX_DURING_BACKOFF = 2
  const backingOff = (): ServerAnswer => rejected({ 'retry-after': String(BACKOFF_MS / 1000) })

  /** Most requests of one instance during the backoff. */
  const maxDuringBackoff = ({ arrivals }: SimulatedServer): number => Math.max(...arrivals.map(asked =>
    arrivals.filter(({ from, atMs }) => from === asked.from && atMs > asked.atMs + BACKOFF_DELAY_MS && atMs < asked.atMs + BACKOFF_MS).length))

  /** Guards against requests that pile up at a server that turns them away, each of them lost for its caller. */
  it('gets none from it in that time, and its callers are served elsewhere', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    const server = fleet.addServer(LIMITED, backingOff)
    fleet.addServer(OTHER, () => answered())
    await fleet.clock.advance(1000)
    const responses = await sendSteadily(fleet, 8000, '/write/1')
    await fleet.clock.advance(100)
    expect(maxDuringBackoff(server)).to.be.at.most(MAX_DURING_BACKOFF)
    expect(statusesOf(responses)).to.deep.equal([200])
  })

  /** Guards against requests that ignore the backoff because they are repeats or resumed streams. */
  const WAYS = [
    { name: 'reads that fail and are repeated', path: '/read/1', answer: (count: number) => count % 2 === 0 ? backingOff() : { ...answered(), status: 500 } },
    { name: 'streams that break and are resumed', path: '/resumable/1', answer: (count: number) => count % 2 === 0 ? backingOff() : 'broken' as const }
  ]
  WAYS.forEach(({ name, path, answer }) => it(`gets none of the ${name}`, async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    const server: SimulatedServer = fleet.addServer(LIMITED, () => answer(server.arrivals.length))
    fleet.addServer(OTHER, () => answered())
    await fleet.clock.advance(1000)
    await sendSteadily(fleet, 8000, path)
    const asked = server.arrivals.filter((_, index) => (index + 1) % 2 === 0)
    const counts = asked.map(({ from, atMs }) => server.arrivals.filter(each => each.from === from && each.atMs > atMs + BACKOFF_DELAY_MS && each.atMs < atMs + BACKOFF_MS).length)
    expect(Math.max(0, ...counts)).to.be.at.most(MAX_DURING_BACKOFF)
  }))

  /** Guards against callers that are sent away with a time within the backoff, or long after it. */
  it('has callers that nobody else can serve refused at once with the time that is left, and takes them after it', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    let answer: ServerAnswer = backingOff()
    const server = fleet.addServer(LIMITED, () => answer)
    await fleet.clock.advance(1000)
    const caller = fleet.entries.get(instanceId(4))!
    caller.send('/write/1')
    await fleet.clock.advance(1000)
    answer = answered()
    const sentMs = fleet.clock.monotonic()
    const refused = caller.send('/write/1')
    await fleet.clock.advance(100)
    expect(refused.status).to.equal(503)
    expect(refused.endedMs! - sentMs).to.be.at.most(10)
    await fleet.clock.advance(Number(refused.headers['retry-after']) * 1000 - 200)
    caller.send('/write/1')
    await fleet.clock.advance(50)
    expect(server.arrivals).to.have.length(1)
    await fleet.clock.advance(100)
    const repeated = caller.send('/write/1')
    await fleet.clock.advance(100)
    expect(repeated.status).to.equal(200)
  })

  /** Guards against an instance that keeps its callers from a server that asked only another instance for backoff. */
  it('is used by instances that it has not asked, and by its own after a restart at the same address', async () => {
    const fleet = createSimulatedEntries({ size: 9 })
    fleet.addServer(LIMITED, ({ from }) => from === instanceId(4) ? backingOff() : answered())
    await fleet.clock.advance(1000)
    const send = async (index: number): Promise<number | undefined> => {
      const response = fleet.entries.get(instanceId(index))!.send('/write/1')
      await fleet.clock.advance(300)
      return response.status
    }
    expect([await send(4), await send(5), await send(4)]).to.deep.equal([503, 200, 503])
    fleet.addServer({ ...LIMITED, bornMs: 2 }, () => answered())
    expect(await send(4)).to.equal(200)
  })
})
