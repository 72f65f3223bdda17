/** Instances before the engines of `virtualEngines.ts`; each chooses by the real modules on the latest summary. */
import { createSilentLogger } from '../../../../logger'
import { createWakeupCounter } from '../../../../wakeups'
import { chooseServer } from '../../../chooseServer'
import { routeOf, serverOf } from '../../../__tests__/fixtures'
import { createServingMetrics } from '../../../metrics'
import { createServerHealth } from '../../../serverHealth'
import type { ServerHealth } from '../../../serverHealth'
import { serverProcessId } from '../../../types'
import type { BackendServer, Service } from '../../../types'
import { createEngineChooser } from '../../engineChoice'
import type { EngineChooser, RunInput } from '../../engineChoice'
import { createSpeedExchange } from '../../speedExchange'
import type { SpeedExchange } from '../../speedExchange'
import { STEP_MS, VIEW_INTERVAL_MS, createArrivals, createRandom, holds, runStep } from './virtualEngines'
import type { VirtualEngine, VirtualStream } from './virtualEngines'

export interface FleetOptions {
  instances: number
  engines: number
  failureDomains: number
  ratePerSecond: number
  /** Amplitude of the waves of the rate. */
  wave: number
  /** Speeds in rotation over the engines. */
  speeds: readonly number[]
  /** Part of the time for which an engine is slowed down, by 2.5, in periods of 600 ms. */
  slowdownPart: number
  durationMs: number
  seed: number
  isSpread: boolean
  /** Whether speeds are exchanged and used. */
  usesSpeeds: boolean
}

export interface FleetResult {
  requests: number
  rejections: number
  /** Refused without being sent. */
  refused: number
  /** Parts of the requests. */
  foundFreeSlot: number
  /** Sent to an engine in the failure domain of the instance. */
  near: number
  inTime: number
  /** Highest load of an engine over time relative to the mean of all. */
  busiestToMean: number
  /** Requests that an engine held at most. */
  mostHeld: number
  choices: readonly string[]
  /** Known speeds at the end, in the order of the engines. */
  speeds: readonly number[]
}

interface Instance {
  health: ServerHealth
  chooser: EngineChooser
  exchange: SpeedExchange
  failureDomain: string
  /** Own requests when the summary was made. */
  ownAtSummary: Map<string, number>
  random: () => number
}

/** Busy models: one for each eight engines, each on twelve of them, with this part of the requests. The others are on one engine. */
const ENGINES_PER_BUSY_MODEL = 8
const BUSY_REPLICAS = 12
const BUSY_PART = 0.8
const SLOTS = 16
const LIMITS = { slots: SLOTS, queueLength: 48, gapMs: 90 }
const OBJECTIVE_MS = 403
const MAX_GAP_MS = 300
const FIRST_EVENT_MS = 100
const RUN_MS = 1800
const SLOWDOWN = 2.5
const SLOWDOWN_PERIOD_MS = 600
const WARM_UP_MS = 3000

export function runFleet (options: FleetOptions): FleetResult {
  let nowMs = 0
  const clock = { now: () => nowMs, monotonic: () => nowMs, schedule: () => () => {} }
  const random = createRandom(options.seed)
  const slowdownRandom = createRandom(options.seed + 1)
  const servers: BackendServer[] = Array.from({ length: options.engines }, (_, index) => serverOf(`e${index}`, { service: 'llm', slots: SLOTS, failureDomain: `z${index % options.failureDomains}` }))
  const engines = new Map<string, VirtualEngine>(servers.map((server, index) => [serverProcessId(server), { id: serverProcessId(server), failureDomain: server.failureDomain, speed: options.speeds[index % options.speeds.length]!, models: new Set<string>(), running: [], queue: [] }]))
  const busy = Array.from({ length: Math.floor(options.engines / ENGINES_PER_BUSY_MODEL) }, (_, index) => `busy${index}`)
  const rare = servers.map((_, index) => `rare${index}`)
  const withModel = new Map<string, readonly BackendServer[]>([
    ...busy.map((model, index) => [model, Array.from({ length: BUSY_REPLICAS }, (_, copy) => servers[(index * BUSY_REPLICAS + copy) % servers.length]!)] as const),
    ...rare.map((model, index) => [model, [servers[index]!]] as const)
  ])
  const service: Service = { name: 'llm', connectionLimit: 64, coldStart: undefined, engine: { slots: SLOTS, kvTokens: 88_000, weightMemoryMb: 200_000, adapterCapacity: 0, storeLoadsPerSecond: 41, models: new Map() } }
  const route = routeOf('/chat/', { kind: 'stream', latencyObjectiveMs: OBJECTIVE_MS, maxEventGapMs: MAX_GAP_MS })
  let totals = new Map<string, number>()
  const logger = createSilentLogger()
  const metrics = createServingMetrics(createWakeupCounter())

  const instances: Instance[] = Array.from({ length: options.instances }, (_, index) => {
    const health = createServerHealth(clock)
    const instance: Instance = { health, ownAtSummary: new Map(), failureDomain: `z${index % options.failureDomains}`, random: createRandom(options.seed + index + 2), exchange: createSpeedExchange({ speeds: health.speeds, clock, logger }), chooser: undefined as never }
    const fleetView = { inFlightElsewhereAtSummary: (id: string) => elsewhere(instance, id), instanceCount: () => options.instances }
    instance.chooser = createEngineChooser({ health, fleetView: fleetView as never, servers: { usable: () => servers } as never, metrics, clock, logger, random: instance.random })
    return instance
  })
  const elsewhere = (instance: Instance, id: string): number => Math.max(0, (totals.get(id) ?? 0) - (instance.ownAtSummary.get(id) ?? 0))
  const choose = (instance: Instance, model: string, from: readonly BackendServer[]): BackendServer | undefined => {
    const described = from.map(server => {
      const id = serverProcessId(server)
      return { server, candidate: { id, load: instance.health.inFlight(id) + elsewhere(instance, id), slots: SLOTS, isNear: server.failureDomain === instance.failureDomain, failureRate: 0, isSilent: false, isCold: false } }
    })
    const run: RunInput = { caller: { attemptId: '', deadlineMs: undefined, key: undefined, model, adapter: undefined, tokens: undefined, promptParts: [] }, admitted: { route, service, team: undefined, priority: 0 } as never }
    if (options.isSpread && instance.chooser.isActiveFor(service)) return instance.chooser.choose(run, described)
    const chosen = chooseServer(described.map(({ candidate }) => candidate), instance.random())
    return described.find(({ candidate }) => candidate.id === chosen?.id)?.server
  }
  const exchangeSpeeds = (): void => {
    const [leader, ...others] = instances.map(({ exchange }) => exchange)
    others.forEach(exchange => leader!.add(exchange.take() ?? []))
    const loads = leader!.withSpeeds([...engines.values()].map(engine => ({ server: engine.id, count: holds(engine) })))
    instances.forEach(({ exchange }) => exchange.apply(loads, 2500))
  }
  const takeSummary = (): void => {
    totals = new Map([...engines.values()].map(engine => [engine.id, holds(engine)]))
    instances.forEach(instance => {
      instance.ownAtSummary = new Map(instance.health.inFlightByModel().map(({ server }) => [server, instance.health.inFlight(server)]))
    })
    if (options.usesSpeeds) exchangeSpeeds()
  }

  const result = { requests: 0, rejections: 0, refused: 0, free: 0, near: 0, inTime: 0, mostHeld: 0 }
  const choices: string[] = []
  const loadSums = new Map<string, number>()
  const isMeasured = (): boolean => nowMs >= WARM_UP_MS
  const place = (index: number, model: string, from: readonly BackendServer[], isRetry: boolean): void => {
    const instance = instances[index]!
    if (options.isSpread && from.every(instance.chooser.isKnownFull)) {
      if (isMeasured()) result.refused += 1
      return
    }
    const server = choose(instance, model, from)
    if (server === undefined) return
    const id = serverProcessId(server)
    const engine = engines.get(id)!
    choices.push(id)
    if (holds(engine) >= SLOTS + LIMITS.queueLength) {
      if (isMeasured()) result.rejections += 1
      instance.health.rejections.record(id, instance.health.inFlight(id) + elsewhere(instance, id), SLOTS)
      return isRetry ? undefined : place(index, model, from.filter(other => other !== server), true)
    }
    if (isMeasured() && holds(engine) < SLOTS) result.free += 1
    if (isMeasured() && engine.failureDomain === instance.failureDomain) result.near += 1
    instance.health.recordStart(id, model)
    engine.queue.push({ instance: index, model, arrivedMs: nowMs, firstMs: undefined, lastEventMs: nowMs, longestGapMs: 0, toFirstMs: FIRST_EVENT_MS, toEndMs: RUN_MS * (0.5 + random()), toEventMs: 0 })
    result.mostHeld = Math.max(result.mostHeld, holds(engine))
  }
  const step = (engine: VirtualEngine, slowdown: number): void => {
    const speedsOf = ({ instance }: VirtualStream): ServerHealth['speeds'] => instances[instance]!.health.speeds
    const fill = holds(engine) / SLOTS
    runStep(engine, nowMs, slowdown, LIMITS, {
      onEvent: (stream, gapMs, isFirst) => {
        if (!options.usesSpeeds) return
        if (!isFirst) speedsOf(stream).recordGap(engine.id, stream.model, gapMs, fill)
        else if (fill <= 1) speedsOf(stream).recordFirstEvent(engine.id, gapMs, 0)
      },
      onEnd: stream => {
        instances[stream.instance]!.health.recordEnd(engine.id, stream.model)
        if (options.usesSpeeds) speedsOf(stream).recordRun(engine.id, stream.model, nowMs - stream.firstMs!, stream.longestGapMs, fill)
        const isInTime = stream.firstMs! - stream.arrivedMs <= OBJECTIVE_MS && stream.longestGapMs <= MAX_GAP_MS
        if (stream.arrivedMs >= WARM_UP_MS && isInTime) result.inTime += 1
      }
    })
    if (isMeasured()) loadSums.set(engine.id, (loadSums.get(engine.id) ?? 0) + holds(engine))
  }

  const arrivals = createArrivals(options.ratePerSecond, options.wave, random)
  const slowed = new Map<string, number>()
  // Streams that arrive at the end still run; only the earlier ones count.
  const lastArrivalMs = options.durationMs
  for (; nowMs < options.durationMs + 4 * RUN_MS; nowMs += STEP_MS) {
    if (nowMs % VIEW_INTERVAL_MS === 0) takeSummary()
    if (nowMs % SLOWDOWN_PERIOD_MS === 0) engines.forEach((_, id) => slowed.set(id, slowdownRandom() < options.slowdownPart ? SLOWDOWN : 1))
    const count = nowMs < lastArrivalMs ? arrivals(nowMs) : 0
    Array.from({ length: count }).forEach(() => {
      const models = busy.length > 0 && random() < BUSY_PART ? busy : rare
      const model = models[Math.floor(random() * models.length)]!
      if (isMeasured()) result.requests += 1
      place(Math.floor(random() * instances.length), model, withModel.get(model)!, false)
    })
    engines.forEach((engine, id) => step(engine, slowed.get(id)!))
  }
  const loads = [...loadSums.values()]
  const mean = loads.reduce((sum, load) => sum + load, 0) / engines.size
  return { requests: result.requests, rejections: result.rejections, refused: result.refused, foundFreeSlot: result.free / result.requests, near: result.near / result.requests, inTime: result.inTime / result.requests, busiestToMean: Math.max(...loads) / mean, mostHeld: result.mostHeld, choices, speeds: [...engines.keys()].map(id => instances[0]!.health.speeds.speedOf(id)) }
}
