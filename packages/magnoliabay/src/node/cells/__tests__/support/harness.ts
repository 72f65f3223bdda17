/**
 * A small fleet in virtual time for tests and benchmarks: the real cells and routing on several instances, over engine
 * and store stand-ins, with peers in memory. Instances can be paused, killed and replaced.
 */
import {
  createDirectInstanceList, createDirectStore, createEngineStandIn, createInstanceListState, createKvFaults, createKvState, createWeightStore
} from '@magnoliabay/standins'
import type {
  EngineOptions, EngineStandIn, FaultSwitches, InstanceListState, KvFaults, KvState, WeightStore, WeightStoreOptions
} from '@magnoliabay/standins'
import * as v from 'valibot'
import { createCells } from '../..'
import type { Cells } from '../..'
import type { CellsConfig } from '../../context'
import { createBackendDirectory } from '../../../backend/directory'
import type { VirtualClock } from '../../../clock/virtual'
import { fleetSchema } from '../../../config/fleet'
import type { ConfigProvider } from '../../../config'
import type { Logger } from '../../../logger'
import { createTerminationDetector } from '../../../members'
import type { MemberRecord, TerminationDetector } from '../../../members'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import type { MemoryNetwork } from '../../../members/memoryNetwork'
import { createReplicaRouter } from '../../../routing'
import type { ReplicaRouter } from '../../../routing'
import { addressOfEngine, createDirectEngineClient } from './directEngines'
import { createFastClock } from './fastClock'
import { createPausable } from './pausable'

export interface HarnessOptions {
  /** @default 3 */
  instances?: number
  /** @default 3 */
  engines?: number
  engine?: Partial<EngineOptions>
  /** Options of the engine at `index`. Override `engine`. */
  engineOf?: (index: number) => Partial<EngineOptions>
  weights?: Partial<WeightStoreOptions>
  fleet: v.InferInput<typeof fleetSchema>
  logger?: Logger
}

export interface HarnessInstance {
  readonly id: string
  readonly member: MemberRecord
  readonly cells: Cells
  readonly routing: ReplicaRouter
  readonly proofs: TerminationDetector
  /** Pauses the process. Its lease expires. */
  pause (): void
  /** Resumes the process and registers it again. */
  resume (): void
  /** Ends the process abruptly. */
  kill (): void
  /** Shuts the process down gracefully. */
  leave (): Promise<void>
}

export interface CellsHarness {
  readonly clock: VirtualClock
  readonly network: MemoryNetwork
  readonly kv: KvState
  readonly store: FaultSwitches<KvFaults>
  readonly list: InstanceListState
  readonly weights: WeightStore
  readonly engines: readonly EngineStandIn[]
  instances (): readonly HarnessInstance[]
  instance (id: string): HarnessInstance
  add (id: string): HarnessInstance
  /** Of the instances that consider themselves leaders, the one with the highest fence. */
  leader (): HarnessInstance | undefined
  /** Reclaims an engine: it crashes, and the list shows it after its lag. */
  reclaim (engine: string): void
  close (): void
}

export const DOMAINS: readonly string[] = ['a', 'b', 'c']
const LIST_LAG_MS = 2000
const STEP_MS = 100
const ENGINE_MEMORY_MIB = 40_000
const noop = (): void => {}
const SILENT_LOGGER: Logger = { debug: noop, info: noop, warn: noop, error: noop, with: () => SILENT_LOGGER }

export function createCellsHarness (options: HarnessOptions): CellsHarness {
  const { logger = SILENT_LOGGER } = options
  const clock = createFastClock()
  const kv = createKvState({ clock })
  const store = createKvFaults()
  const list = createInstanceListState({ clock, lagMs: LIST_LAG_MS })
  const network = createMemoryNetwork({ clock })
  const weights = createWeightStore({ clock, ...options.weights })
  const running = new Map<string, HarnessInstance>()
  const domainOf = (index: number): string => DOMAINS[index % DOMAINS.length]!
  const engines = Array.from({ length: options.engines ?? 3 }, (_, index) => createEngineStandIn({
    id: `engine-${index + 1}`, clock, weights, memoryMiB: ENGINE_MEMORY_MIB, ...options.engine, ...options.engineOf?.(index)
  }))
  engines.forEach((engine, index) => {
    const { checksFence, memoryMiB } = engine.state()
    list.set({ id: engine.id, role: 'engine', address: addressOfEngine(index), failureDomain: domainOf(index), region: 'r', status: 'live', checksFence, memoryMiB })
  })
  const fleet = v.parse(fleetSchema, options.fleet)
  const cfg: CellsConfig & Pick<ConfigProvider, 'team'> = {
    active: () => ({ version: 1, documents: [], fleet }),
    model: name => fleet.model.find(model => model.name === name),
    team: name => fleet.team.find(team => team.name === name),
    adapter: name => fleet.adapter.find(adapter => adapter.name === name)
  }
  let started = 0
  /** By instance id; a process that starts again has the same. */
  const hosts = new Map<string, string>()
  const hostOf = (id: string): string => {
    hosts.set(id, hosts.get(id) ?? `10.1.0.${hosts.size + 1}`)
    return hosts.get(id)!
  }

  const others = (id: string): string[] => [...running.keys()].filter(other => other !== id)
  const add = (id: string): HarnessInstance => {
    const index = started++
    const pausable = createPausable(clock)
    const member: MemberRecord = {
      id,
      incarnation: `${id}-${index}`,
      startedAtMs: clock.now(),
      region: 'r',
      failureDomain: domainOf(index),
      peerAddress: `${hostOf(id)}:1`,
      entryAddress: `${hostOf(id)}:2`,
      operatorAddress: `${hostOf(id)}:3`,
      leaving: false,
      processorShare: 0
    }
    list.set({ id, role: 'entry', address: member.entryAddress, failureDomain: member.failureDomain, region: 'r', status: 'live' })
    const peers = network.join(member)
    const stop = new AbortController()
    const instanceStore = pausable.store(createDirectStore(kv, { clock, faults: store, caller: id }))
    const proofs = createTerminationDetector({ peers, clock: pausable.clock, logger })
    const directory = createBackendDirectory({ list: createDirectInstanceList(list), clock: pausable.clock, logger, onRead: proofs.observeInstanceList })
    let isRegistered = true
    const cells = createCells({
      store: instanceStore,
      peers,
      membership: {
        leaseId: () => isRegistered ? id : undefined,
        isRegistered: incarnation => peers.members().some(other => other.incarnation === incarnation)
      },
      proofs,
      directory,
      engines: pausable.engines(createDirectEngineClient(engines, clock)),
      cfg,
      clock: pausable.clock,
      logger: logger.with({ instance: id })
    })
    directory.start(stop.signal)
    cells.start(stop.signal)
    const end = (): void => {
      pausable.stop()
      stop.abort()
      network.kill(id)
      running.delete(id)
      list.remove(id)
    }
    const instance: HarnessInstance = {
      id,
      member,
      cells,
      routing: createReplicaRouter({ isLeaving: () => false, refusedForMs: () => 0, cells, cfg, directory, clock: pausable.clock }),
      proofs,
      pause: () => {
        pausable.pause()
        isRegistered = false
        network.setRegistered(id, false)
        others(id).forEach(other => network.partition(id, other))
      },
      resume: () => {
        others(id).forEach(other => network.heal(id, other))
        network.setRegistered(id, true)
        pausable.resume()
        isRegistered = true
      },
      kill: end,
      leave: async () => {
        member.leaving = true
        await cells.resign()
        others(id).forEach(other => running.get(other)?.proofs.recordGoodbye(member))
        end()
      }
    }
    running.set(id, instance)
    return instance
  }
  const fenceOf = (instance: HarnessInstance): number => Math.max(...instance.cells.localLeaders().map(leader => leader.fence))
  Array.from({ length: options.instances ?? 3 }, (_, index) => add(`entry-${index + 1}`))
  list.flush()

  return {
    clock,
    network,
    kv,
    store,
    list,
    weights,
    engines,
    add,
    instances: () => [...running.values()],
    instance: id => running.get(id)!,
    leader: () => [...running.values()]
      .filter(instance => instance.cells.localLeaders().length > 0)
      .sort((left, right) => fenceOf(right) - fenceOf(left))[0],
    reclaim: id => {
      list.remove(id)
      engines.find(engine => engine.id === id)!.faults.set({ crash: true })
    },
    close: () => {
      const all = [...running.values()]
      all.forEach(instance => instance.kill())
      kv.close()
      list.close()
    }
  }
}

/** Advances time in small steps, with a check after each. */
export async function advance (harness: CellsHarness, ms: number, check: () => void = () => {}, stepMs = STEP_MS): Promise<void> {
  for (let passedMs = 0; passedMs < ms; passedMs += stepMs) {
    await harness.clock.advance(stepMs)
    check()
  }
}
