/**
 * The weight store, shared by all engines, with limits on the loads started per second and on the loads at full speed.
 */
import { sleep } from 'magnoliabay/clock/index'
import type { Clock } from 'magnoliabay/clock/index'
import { createFaultSwitches } from '../faults'
import type { FaultSwitches } from '../faults'
import { createRandom } from '../random'
import { createSharedRate } from './sharedRate'

export interface WeightFaults {
  /** Factor by which every load takes longer. */
  slowdown: number
}

export interface WeightStoreOptions {
  clock: Clock
  /** Maximum number of loads started per second. @default 2 */
  loadsPerSecond?: number
  /** Maximum number of concurrent loads at full speed; more share the bandwidth. @default 4 */
  fullSpeedLoads?: number
  /** Time of one load at full speed, milliseconds per GiB. @default 250 */
  loadMsPerGiB?: number
  /** Maximum number of concurrent adapter loads at full speed, over all engines. @default 30 */
  fullSpeedAdapters?: number
  /** @default 1 */
  seed?: number
}

export interface WeightLoadRecord {
  model: string
  engine: string
  askedAtMs: number
  startedAtMs: number
  endedAtMs?: number
  completed: boolean
}

export interface WeightStore {
  readonly faults: FaultSwitches<WeightFaults>
  /** Reads a checkpoint; returns false when `signal` aborted first. */
  loadModel (load: { model: string, engine: string, memoryMiB: number }, signal?: AbortSignal): Promise<boolean>
  /** Reads an adapter; returns false when `signal` aborted first. */
  loadAdapter (signal?: AbortSignal): Promise<boolean>
  /** Number of model loads that wait to start because of `loadsPerSecond`. */
  waiting (): number
  inFlight (): number
  records (): readonly WeightLoadRecord[]
}

const DEFAULT_LOADS_PER_SECOND = 2
const DEFAULT_FULL_SPEED_LOADS = 4
const DEFAULT_LOAD_MS_PER_GIB = 250
const DEFAULT_FULL_SPEED_ADAPTERS = 30
const MIN_ADAPTER_LOAD_MS = 5
const ADAPTER_LOAD_VARIATION_MS = 10
/** Full width of the random variation of load times, as a ratio of the load time. */
const LOAD_TIME_VARIATION_RATIO = 0.2
const MIB_PER_GIB = 1024
const MS_PER_SECOND = 1000

export function createWeightStore (options: WeightStoreOptions): WeightStore {
  const { clock } = options
  const random = createRandom(options.seed ?? 1)
  const faults = createFaultSwitches<WeightFaults>({ slowdown: 1 })
  const slowdown = (): number => faults.current.slowdown
  const startIntervalMs = MS_PER_SECOND / (options.loadsPerSecond ?? DEFAULT_LOADS_PER_SECOND)
  const msPerMiB = (options.loadMsPerGiB ?? DEFAULT_LOAD_MS_PER_GIB) / MIB_PER_GIB
  const models = createSharedRate({ clock, slots: options.fullSpeedLoads ?? DEFAULT_FULL_SPEED_LOADS, slowdown })
  const adapters = createSharedRate({ clock, slots: options.fullSpeedAdapters ?? DEFAULT_FULL_SPEED_ADAPTERS, slowdown })
  const records: WeightLoadRecord[] = []
  let nextStartMs = clock.monotonic()
  let waiting = 0

  faults.onChange(() => {
    models.refresh()
    adapters.refresh()
  })

  const waitForStart = async (signal?: AbortSignal): Promise<void> => {
    const startMs = Math.max(clock.monotonic(), nextStartMs)
    nextStartMs = startMs + startIntervalMs
    waiting += 1
    await sleep(clock, startMs - clock.monotonic(), signal)
    waiting -= 1
  }

  return {
    faults,
    loadModel: async ({ model, engine, memoryMiB }, signal) => {
      const askedAtMs = clock.now()
      await waitForStart(signal)
      const record: WeightLoadRecord = { model, engine, askedAtMs, startedAtMs: clock.now(), completed: false }
      records.push(record)
      const variation = 1 + (random() - 0.5) * LOAD_TIME_VARIATION_RATIO
      record.completed = await models.run(memoryMiB * msPerMiB * variation, signal)
      record.endedAtMs = clock.now()
      return record.completed
    },
    loadAdapter: signal => adapters.run(MIN_ADAPTER_LOAD_MS + random() * ADAPTER_LOAD_VARIATION_MS, signal),
    waiting: () => waiting,
    inFlight: () => models.inFlight(),
    records: () => records
  }
}
