/**
 * The weight store: a limited number of loads a second and at full speed, shared by all engines.
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
  /** Loads begun a second at most. @default 2 */
  loadsPerSecond?: number
  /** Loads at once at full speed; more share the bandwidth. @default 4 */
  fullSpeedLoads?: number
  /** Time of one load at full speed, milliseconds for each GiB. @default 250 */
  loadMsPerGiB?: number
  /** Adapters in flight at full speed over all engines. @default 30 */
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
  /** Reads a checkpoint; false when `signal` aborted first. */
  loadModel (load: { model: string, engine: string, memoryMiB: number }, signal?: AbortSignal): Promise<boolean>
  /** Reads an adapter; false when `signal` aborted first. */
  loadAdapter (signal?: AbortSignal): Promise<boolean>
  /** Loads that wait for their turn. */
  waiting (): number
  inFlight (): number
  records (): readonly WeightLoadRecord[]
}

const LOADS_PER_SECOND = 2
const FULL_SPEED_LOADS = 4
const LOAD_MS_PER_GIB = 250
const FULL_SPEED_ADAPTERS = 30
const ADAPTER_MIN_MS = 5
const ADAPTER_SPREAD_MS = 10
/** Load times differ by up to this share from one to the next. */
const LOAD_SPREAD = 0.2
const MIB_PER_GIB = 1024
const MS_PER_SECOND = 1000

export function createWeightStore (options: WeightStoreOptions): WeightStore {
  const { clock } = options
  const random = createRandom(options.seed ?? 1)
  const faults = createFaultSwitches<WeightFaults>({ slowdown: 1 })
  const slowdown = (): number => faults.current.slowdown
  const spacingMs = MS_PER_SECOND / (options.loadsPerSecond ?? LOADS_PER_SECOND)
  const msPerMiB = (options.loadMsPerGiB ?? LOAD_MS_PER_GIB) / MIB_PER_GIB
  const models = createSharedRate({ clock, slots: options.fullSpeedLoads ?? FULL_SPEED_LOADS, slowdown })
  const adapters = createSharedRate({ clock, slots: options.fullSpeedAdapters ?? FULL_SPEED_ADAPTERS, slowdown })
  const records: WeightLoadRecord[] = []
  let nextStartMs = clock.monotonic()
  let waiting = 0

  faults.onChange(() => {
    models.refresh()
    adapters.refresh()
  })

  const waitForTurn = async (signal?: AbortSignal): Promise<void> => {
    const startMs = Math.max(clock.monotonic(), nextStartMs)
    nextStartMs = startMs + spacingMs
    waiting += 1
    await sleep(clock, startMs - clock.monotonic(), signal)
    waiting -= 1
  }

  return {
    faults,
    loadModel: async ({ model, engine, memoryMiB }, signal) => {
      const askedAtMs = clock.now()
      await waitForTurn(signal)
      const record: WeightLoadRecord = { model, engine, askedAtMs, startedAtMs: clock.now(), completed: false }
      records.push(record)
      const spread = 1 + (random() - 0.5) * LOAD_SPREAD
      record.completed = await models.run(memoryMiB * msPerMiB * spread, signal)
      record.endedAtMs = clock.now()
      return record.completed
    },
    loadAdapter: signal => adapters.run(ADAPTER_MIN_MS + random() * ADAPTER_SPREAD_MS, signal),
    waiting: () => waiting,
    inFlight: () => models.inFlight(),
    records: () => records
  }
}
