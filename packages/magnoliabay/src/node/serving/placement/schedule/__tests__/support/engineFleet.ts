/**
 * Engines, a leader and one calling instance in virtual time, without a network: engines carry out one order at a time,
 * unloads wait for running requests, and entries reach the leader late.
 */
import { createRandom } from '@magnoliabay/standins'
import { createVirtualClock } from '../../../../../clock/virtual'
import type { VirtualClock } from '../../../../../clock/virtual'
import { createSilentLogger } from '../../../../../logger'
import type { LogFields, Logger } from '../../../../../logger'
import { createMemoryNetwork } from '../../../../../members/memoryNetwork'
import { Err, Ok } from '../../../../../result'
import { configOf, leadingOf, memberRecord, modelSpec, serverOf } from '../../../../__tests__/fixtures'
import type { EngineOrder, OrderOutcome } from '../../../../engineCalls'
import { addCount } from '../../../../../utils'
import type { FleetView } from '../../../../fleetView'
import { createServerList } from '../../../../serverList'
import { createServingConfigProvider } from '../../../../servingConfigProvider'
import { serverProcessId } from '../../../../types'
import type { BackendServer, EngineSpec, ModelSpec } from '../../../../types'
import { createPlacementClient } from '../../../placementClient'
import type { PlacementClient } from '../../../placementClient'
import { createPlacementController } from '../../../placementController'
import type { PlacementController, PlacementControllerOptions } from '../../../placementController'
import { tierOf } from '../../../plan'

const RESPONSE_MS = 3
const UNLOAD_MS = 60
const ENTRY_LAG_MS = 30
/** Interval at which the leader's numbers of requests in flight, waiting and per second are refreshed. */
const REPORT_INTERVAL_MS = 300
const RATE_AVERAGE_MS = 8000
const SERVICE = 'llm'

export interface FakeEngine {
  id: string
  models: string[]
  copies: { memory: string[], disk: string[] }
  accepted: EngineOrder[]
  pending: EngineOrder | undefined
  running: Map<string, number>
  isUnreachable: boolean
  /** Orders are carried out, and their responses are lost. */
  losesResponses: boolean
}

export interface EngineFleet {
  clock: VirtualClock
  controller: PlacementController
  client: PlacementClient
  engines: FakeEngine[]
  outcomes: OrderOutcome[]
  events: Array<{ event: string, fields: LogFields | undefined }>
  store: { isReachable: boolean }
  leadership: { fence: number | undefined, startsInMs: number | undefined }
  /** Sends a request to an engine that has the model; undefined if none takes it. Resolves with the time of its first event. */
  run (model: string, runMs: number): Promise<number> | undefined
  /** Counts a request towards the rate of its model. */
  countArrival (model: string): void
}

export interface EngineFleetOptions {
  models: readonly ModelSpec[]
  engines: ReadonlyArray<Pick<FakeEngine, 'id' | 'models' | 'copies'>>
  weightMemoryMb: number
  slots: number
  isFeasible?: PlacementControllerOptions['isFeasible']
}

/** Copies of each model on some disks, and engines filled with models in order. */
export function spreadModels (models: readonly ModelSpec[], engineCount: number, copiesPerModel: number, weightMemoryMb: number, seed: number): Array<Pick<FakeEngine, 'id' | 'models' | 'copies'>> {
  const random = createRandom(seed)
  const engines = Array.from({ length: engineCount }, (_, index) => ({ id: `e${index}`, models: [] as string[], copies: { memory: [] as string[], disk: [] as string[] }, freeMb: weightMemoryMb }))
  models.forEach(({ name, weightsMb }) => {
    const order = engines.map(engine => ({ engine, at: random() })).sort((left, right) => left.at - right.at).map(({ engine }) => engine)
    order.slice(0, copiesPerModel).forEach(engine => engine.copies.disk.push(name))
    const roomy = order.slice(0, copiesPerModel).find(engine => engine.freeMb >= weightsMb)
    if (roomy === undefined) return
    roomy.models.push(name)
    roomy.freeMb -= weightsMb
  })
  return engines
}

export function createEngineFleet (options: EngineFleetOptions): EngineFleet {
  const clock = createVirtualClock()
  const silent = createSilentLogger()
  const events: EngineFleet['events'] = []
  const logger: Logger = { ...silent, info: (event: string, fields?: LogFields) => { events.push({ event, fields }) } }
  const specs = new Map(options.models.map(spec => [spec.name, spec]))
  const engineSpec: EngineSpec = { slots: options.slots, kvTokens: 0, weightMemoryMb: options.weightMemoryMb, adapterCapacity: 0, storeLoadsPerSecond: 41, models: specs }
  const cfg = createServingConfigProvider({ decode: () => configOf(1, { services: new Map([[SERVICE, { name: SERVICE, coldStart: undefined, connectionLimit: 10, engine: engineSpec }]]) }), clock, logger: silent })
  cfg.applyIfNewer('', 'store')
  const servers = createServerList({ decode: (_key, text) => JSON.parse(text) as BackendServer, idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => -60_000, clock, logger: silent })
  servers.snapshot([])
  const store = { isReachable: true }
  const engines = options.engines.map((engine): FakeEngine => ({ ...engine, models: [...engine.models], copies: { memory: [...engine.copies.memory], disk: [...engine.copies.disk] }, accepted: [], pending: undefined, running: new Map(), isUnreachable: false, losesResponses: false }))
  const byId = new Map(engines.map(engine => [engine.id, engine]))
  const outcomes: OrderOutcome[] = []
  const entryOf = ({ id, models, copies }: FakeEngine): string =>
    JSON.stringify(serverOf(id, { service: SERVICE, slots: options.slots, copies, models: models.map(name => ({ name, version: 1, adapters: [] })) }))
  const publish = (engine: FakeEngine): void => {
    if (store.isReachable) servers.put({ key: engine.id, value: entryOf(engine) })
  }
  const finish = (engine: FakeEngine, { operation, model }: EngineOrder): void => {
    engine.pending = undefined
    if (operation === 'load') engine.models.push(model)
    else {
      engine.models = engine.models.filter(name => name !== model)
      engine.copies.memory = [model, ...engine.copies.memory.filter(name => name !== model)].slice(0, 2)
    }
    clock.schedule(ENTRY_LAG_MS, () => publish(engine))
  }
  /** An unload ends once the requests that run on the model have ended. */
  const beginUnload = (engine: FakeEngine, order: EngineOrder): void => {
    if ((engine.running.get(order.model) ?? 0) === 0) clock.schedule(UNLOAD_MS, () => finish(engine, order))
  }
  const loadMsOf = (engine: FakeEngine, model: string): number => {
    const fromStore = engines.filter(each => each.pending?.operation === 'load' && tierOf(each, each.pending.model) === 'store').length
    const tier = tierOf(engine, model)
    return specs.get(model)!.loadMs[tier] * (tier === 'store' ? Math.max(1, fromStore / 2) : 1)
  }
  const accept = (engine: FakeEngine, order: EngineOrder): OrderOutcome => {
    if (engine.pending !== undefined || order.expectedOrders !== engine.accepted.length) return 'conflict'
    const usedMb = engine.models.reduce((sum, model) => sum + specs.get(model)!.weightsMb, 0)
    if (order.operation === 'load' && usedMb + specs.get(order.model)!.weightsMb > options.weightMemoryMb) throw new Error(`${engine.id} has no memory for ${order.model}`)
    engine.accepted.push(order)
    engine.pending = order
    if (order.operation === 'load') clock.schedule(loadMsOf(engine, order.model), () => finish(engine, order))
    else beginUnload(engine, order)
    return 'accepted'
  }
  const after = <T> (delayMs: number, result: () => T): Promise<T> => new Promise(resolve => { clock.schedule(delayMs, () => resolve(result())) })

  const arrivals = new Map<string, number>()
  let reported = { inFlight: new Map<string, Map<string, number>>(), ofModel: new Map<string, number>(), rates: new Map<string, number>() }
  const refresh = (): void => {
    const decay = Math.exp(-REPORT_INTERVAL_MS / RATE_AVERAGE_MS)
    const names = new Set([...arrivals.keys(), ...reported.rates.keys()])
    const rateOf = (model: string): number => (reported.rates.get(model) ?? 0) * decay + (arrivals.get(model) ?? 0) * 1000 / RATE_AVERAGE_MS
    const ofModel = new Map<string, number>()
    engines.forEach(engine => engine.running.forEach((count, model) => addCount(ofModel, model, count)))
    reported = { ofModel, inFlight: new Map(engines.map(engine => [`${engine.id}@1`, new Map(engine.running)])), rates: new Map([...names].map(name => [name, rateOf(name)])) }
    arrivals.clear()
    clock.schedule(REPORT_INTERVAL_MS, refresh)
  }
  refresh()
  const fleetView: FleetView = {
    inFlightElsewhere: () => 0,
    inFlightElsewhereAtSummary: () => 0,
    instanceCount: () => 1,
    speedOf: () => 1,
    inFlight: (process, model) => reported.inFlight.get(process)?.get(model) ?? 0,
    inFlightOfModel: model => reported.ofModel.get(model) ?? 0,
    demand: model => ({ rate: reported.rates.get(model) ?? 0, waiting: client.waitingByModel().get(model) ?? 0 }),
    modelsInDemand: () => [...reported.rates.keys()],
    isAvailable: () => true,
    silenceReportCount: () => 0
  }
  const network = createMemoryNetwork({ clock })
  const leadership: EngineFleet['leadership'] = { fence: 7, startsInMs: 0 }
  const controller = createPlacementController({
    self: 'leader',
    leadership: { fencingToken: () => leadership.fence, firstOrderInMs: () => leadership.startsInMs, isLeaseHolder: () => true, leaseHolder: () => 'leader', ownClaim: () => leadingOf('leader'), knownClaim: () => leadingOf('leader'), latestClaimRevision: () => 1, recordClaimFromPeer: () => {}, start: () => {}, stepDown: async () => {}, resign: async () => {} },
    servers,
    cfg,
    table: fleetView,
    engines: {
      fetchReport: server => after(RESPONSE_MS, () => {
        const engine = byId.get(server.id)!
        if (engine.isUnreachable) return Err({ kind: 'unanswered' as const, message: 'unreachable' })
        return Ok({ bornMs: undefined, isOrderPending: engine.pending !== undefined, acceptedOrders: engine.accepted.length, waiting: 0, running: 0, models: engine.models.map(name => ({ name, version: 1, adapters: [] })), loadingAdapters: [], copies: engine.copies })
      }),
      sendOrder: (server, order) => after(RESPONSE_MS, () => {
        const engine = byId.get(server.id)!
        const outcome = engine.isUnreachable ? 'unanswered' : accept(engine, order)
        outcomes.push(outcome)
        return engine.losesResponses ? 'unanswered' : outcome
      }),
      onStatement: () => {},
      closeConnections: () => {}
    },
    limitOf: () => undefined,
    backoffMs: () => 0,
    storeReachableSinceMs: () => store.isReachable ? -Infinity : Infinity,
    peers: network.join(memberRecord('leader')),
    clock,
    logger,
    loadWindowMs: 5000,
    ...(options.isFeasible === undefined ? {} : { isFeasible: options.isFeasible })
  })
  const client = createPlacementClient({ peers: network.join(memberRecord('caller')), servers, leader: () => 'leader', isServerResponding: () => true, isIsolated: () => false, clock, logger: silent })
  engines.forEach(publish)
  controller.start(new AbortController().signal)

  const inFlightAt = (engine: FakeEngine): number => [...engine.running.values()].reduce((sum, count) => sum + count, 0)
  const runOn = async (engine: FakeEngine, model: string, runMs: number): Promise<number> => {
    const ahead = inFlightAt(engine)
    addCount(engine.running, model, 1)
    // Requests beyond the slots wait for those before them.
    const queueMs = Math.max(0, ahead + 1 - options.slots) * runMs / options.slots
    clock.schedule(queueMs + runMs, () => {
      addCount(engine.running, model, -1)
      const { pending } = engine
      if (pending?.operation === 'unload' && pending.model === model) beginUnload(engine, pending)
    })
    return await after(queueMs + RESPONSE_MS, () => clock.monotonic())
  }
  return {
    clock,
    controller,
    client,
    engines,
    outcomes,
    events,
    store,
    leadership,
    run: (model, runMs) => {
      const listed = new Set(client.serversWithModel(SERVICE, model, undefined).map(serverProcessId))
      const takes = (engine: FakeEngine): boolean => engine.models.includes(model) && !(engine.pending?.operation === 'unload' && engine.pending.model === model)
      const [least] = engines.filter(engine => listed.has(`${engine.id}@1`) && takes(engine)).sort((left, right) => inFlightAt(left) - inFlightAt(right))
      return least === undefined ? undefined : runOn(least, model, runMs)
    },
    countArrival: model => { arrivals.set(model, (arrivals.get(model) ?? 0) + 1) }
  }
}

/** Models with the given sizes in turn. */
export function modelsOf (prefix: string, count: number, sizesMb: readonly number[], loadMs: ModelSpec['loadMs']): ModelSpec[] {
  return Array.from({ length: count }, (_, index) => modelSpec(`${prefix}${index}`, { weightsMb: sizesMb[index % sizesMb.length]!, loadMs }))
}
