/**
 * Runs all stand-ins of one site together, for checks, demos and `magnoliabay dev`.
 */
import { createSystemClock } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { createAdminServer, createAdminTarget } from './admin'
import type { AdminTarget } from './admin'
import { createEngineServer, createEngineStandIn } from './engine'
import type { EngineOptions, EngineServer, EngineStandIn } from './engine'
import { createKvServer, createKvState } from './kv'
import type { KvServer, KvState } from './kv'
import { createInstanceListServer, createInstanceListState } from './list'
import type { InstanceListState } from './list'
import { createServiceServer, createServiceState } from './service'
import type { ServiceServer, ServiceState } from './service'
import { createWeightStore } from './weights'
import type { WeightStore, WeightStoreOptions } from './weights'

export interface FleetPorts {
  /** @default 0 */
  kv?: number
  /** @default 0 */
  list?: number
  /** @default 0 */
  admin?: number
  /** Port of the first engine; the others use the ports after it. 0 for any free ports. @default 0 */
  firstEngine?: number
  /** Port of the first service; the others use the ports after it. 0 for any free ports. @default 0 */
  firstService?: number
}

export interface FleetEngineOptions extends Partial<Omit<EngineOptions, 'clock' | 'weights' | 'faults'>> {
  /** @default the failure domains, assigned round-robin */
  failureDomain?: string
  /** Number of accelerators of the engine. @default 1 */
  accelerators?: number
}

export interface StandInFleetOptions {
  /** @default the system's clock */
  clock?: Clock
  /** @default '127.0.0.1' */
  host?: string
  /** Ports of the servers; 0 for any free port. */
  ports?: FleetPorts
  /** @default 'region-1' */
  region?: string
  /** Failure domains, assigned to engines and services round-robin. @default ['zone-a', 'zone-b', 'zone-c'] */
  failureDomains?: readonly string[]
  /** A count, or the options of each. @default 3 */
  engines?: number | readonly FleetEngineOptions[]
  /** Options of every engine that doesn't set its own. */
  engineDefaults?: FleetEngineOptions
  /** Names of plain services, one instance for each time a name is given. @default ['notes'] */
  services?: readonly string[]
  /** Lag of the instance list, milliseconds. @default 2000 */
  listLagMs?: number
  /** Interval between progress notices of watches, milliseconds. @default 2000 */
  progressIntervalMs?: number
  weights?: Omit<WeightStoreOptions, 'clock'>
}

export interface FleetEngine extends EngineServer {
  readonly id: string
  readonly state: EngineStandIn
  readonly failureDomain: string
}

export interface FleetService extends ServiceServer {
  readonly id: string
  readonly state: ServiceState
  readonly failureDomain: string
}

export interface StandInFleet {
  readonly clock: Clock
  readonly kv: KvServer & { readonly state: KvState }
  readonly list: { readonly address: string, readonly state: InstanceListState }
  readonly weights: WeightStore
  readonly engines: readonly FleetEngine[]
  readonly services: readonly FleetService[]
  /** `ip:port` of the admin server for all stand-ins: `/<name>/faults`, `/<name>/records`. */
  readonly adminAddress: string
  /** Makes an engine or service refuse new requests; the instance list shows it as leaving after its lag. */
  startDraining (id: string): void
  /** Stops an instance at once; it disappears from the instance list after the list's lag. */
  removeInstance (id: string): Promise<void>
  close (): Promise<void>
}

const DEFAULT_REGION = 'region-1'
const DEFAULT_FAILURE_DOMAINS: readonly string[] = ['zone-a', 'zone-b', 'zone-c']
const DEFAULT_ENGINE_COUNT = 3
const DEFAULT_SERVICES: readonly string[] = ['notes']
const DEFAULT_MEMORY_MIB = 81_920

/** Starts all stand-ins and lists the engines and services; the list shows them at once. */
export async function createStandInFleet (options: StandInFleetOptions = {}): Promise<StandInFleet> {
  const clock = options.clock ?? createSystemClock()
  const { host, ports = {}, region = DEFAULT_REGION, failureDomains = DEFAULT_FAILURE_DOMAINS } = options
  const domainOf = (index: number): string => failureDomains[index % failureDomains.length] ?? ''
  const portOf = (first: number | undefined, index: number): number => first ? first + index : 0

  const kvState = createKvState({ clock })
  const kv = await createKvServer({ state: kvState, clock, host, port: ports.kv, progressIntervalMs: options.progressIntervalMs })
  const listState = createInstanceListState({ clock, lagMs: options.listLagMs })
  const list = await createInstanceListServer({ state: listState, host, port: ports.list })
  const weights = createWeightStore({ clock, ...options.weights })

  const startEngine = async (engineOptions: FleetEngineOptions, index: number): Promise<FleetEngine> => {
    const { failureDomain = domainOf(index), accelerators = 1, ...rest } = { ...options.engineDefaults, ...engineOptions }
    const id = rest.id ?? `engine-${index + 1}`
    const state = createEngineStandIn({ ...rest, id, clock, weights })
    const server = await createEngineServer({ engine: state, clock, host, port: portOf(ports.firstEngine, index) })
    const { checksFence, memoryMiB = DEFAULT_MEMORY_MIB } = state.state()
    listState.set({
      id, role: 'engine', address: server.address, failureDomain, region, status: 'live', checksFence, memoryMiB, accelerators
    })
    return { ...server, id, state, failureDomain }
  }

  const startService = async (name: string, index: number): Promise<FleetService> => {
    const id = `${name}-${index + 1}`
    const failureDomain = domainOf(index)
    const state = createServiceState({ name, clock })
    const server = await createServiceServer({ service: state, clock, host, port: portOf(ports.firstService, index) })
    listState.set({ id, role: 'service', address: server.address, failureDomain, region, status: 'live', service: name })
    return { ...server, id, state, failureDomain }
  }

  const engines = await Promise.all(toEngineOptionsList(options.engines ?? DEFAULT_ENGINE_COUNT).map(startEngine))
  const services = await Promise.all((options.services ?? DEFAULT_SERVICES).map(startService))
  listState.flush()

  const targets = new Map<string, AdminTarget>([
    ['kv', kv.admin],
    ['list', list.admin],
    ['weights', createAdminTarget(weights.faults, () => weights.records())],
    ...[...engines, ...services].map(({ id, admin }): [string, AdminTarget] => [id, admin])
  ])
  const admin = await createAdminServer({ targets, host, port: ports.admin })

  return {
    clock,
    kv: { ...kv, state: kvState },
    list: { address: list.address, state: listState },
    weights,
    engines,
    services,
    adminAddress: admin.address,
    startDraining: id => {
      listState.setStatus(id, 'leaving')
      engines.find(engine => engine.id === id)?.state.startDraining()
      services.find(service => service.id === id)?.state.startDraining()
    },
    removeInstance: async id => {
      listState.remove(id)
      await [...engines, ...services].find(instance => instance.id === id)?.close()
    },
    close: async () => {
      const servers = [...engines, ...services, kv, list, admin]
      await Promise.all(servers.map(server => server.close()))
      kvState.close()
      listState.close()
    }
  }
}

function toEngineOptionsList (engines: number | readonly FleetEngineOptions[]): readonly FleetEngineOptions[] {
  return typeof engines === 'number' ? Array.from({ length: engines }, () => ({})) : engines
}
