/** Runs a workload with a strategy and measures the waits of callers and the costs for operators. */
import type { EngineStandIn, WeightStore } from '@magnoliabay/standins'
import type { VirtualClock } from 'magnoliabay/clock/virtual'
import { ENGINE_MIB } from './workload'
import type { Arrival, Workload } from './workload'

export interface ServedRequest {
  engine: string
  release (): void
}

export interface Strategy {
  readonly clock: VirtualClock
  readonly engines: readonly EngineStandIn[]
  readonly weights: WeightStore
  /** Returns undefined if the request is refused. */
  serve (arrival: Arrival): Promise<ServedRequest | undefined>
  close (): void
}

export interface Measurement {
  name: string
  wakeRequests: number
  coldRatio: number
  p50Ms: number
  p99Ms: number
  worstMs: number
  refused: number
  idleHours: number
  loads: number
  wastedRatio: number
}

const SAMPLE_INTERVAL_MS = 1000
const SETTLE_DURATION_MS = 60_000
/** Requests that wait longer count as cold. */
const MAX_WARM_WAIT_MS = 50

interface ReplicaLifetime {
  loadedAtMs: number
  used: boolean
}

export async function measure (name: string, strategy: Strategy, workload: Workload): Promise<Measurement> {
  const { clock, engines } = strategy
  const waits: number[] = []
  const inUse = new Map<string, number>()
  const lifetimes = new Map<string, ReplicaLifetime>()
  const endedLifetimes: ReplicaLifetime[] = []
  let refused = 0
  let idleMs = 0

  const changeUse = (key: string, change: number): void => { inUse.set(key, (inUse.get(key) ?? 0) + change) }
  const run = async (arrival: Arrival): Promise<void> => {
    const startedMs = clock.monotonic()
    const served = await strategy.serve(arrival)
    const waitedMs = clock.monotonic() - startedMs
    if (served === undefined) {
      refused += 1
      if (arrival.isWake) waits.push(waitedMs)
      return
    }
    if (arrival.isWake) waits.push(waitedMs)
    const key = `${served.engine} ${arrival.model}`
    changeUse(key, 1)
    const lifetime = lifetimes.get(key)
    if (lifetime !== undefined) lifetime.used = true
    clock.schedule(arrival.serviceMs, () => {
      changeUse(key, -1)
      served.release()
    })
  }
  const sample = (): void => {
    const replicas = engines.flatMap(engine => engine.state().models.map(model => ({ key: `${engine.id} ${model.model}`, model })))
    const keys = new Set(replicas.map(({ key }) => key))
    replicas.filter(({ key }) => !lifetimes.has(key)).forEach(({ key }) =>
      lifetimes.set(key, { loadedAtMs: clock.monotonic(), used: (inUse.get(key) ?? 0) > 0 }))
    const endedKeys = [...lifetimes.keys()].filter(key => !keys.has(key))
    endedKeys.forEach(key => {
      endedLifetimes.push(lifetimes.get(key)!)
      lifetimes.delete(key)
    })
    replicas.forEach(({ key, model }) => {
      const isUsed = (inUse.get(key) ?? 0) > 0
      if (isUsed) lifetimes.get(key)!.used = true
      else idleMs += SAMPLE_INTERVAL_MS * model.memoryMiB / ENGINE_MIB
    })
  }
  workload.arrivals.forEach(arrival => clock.schedule(arrival.atMs, () => { run(arrival) }))
  for (let passedMs = 0; passedMs < workload.durationMs; passedMs += SAMPLE_INTERVAL_MS) {
    await clock.advance(SAMPLE_INTERVAL_MS)
    sample()
  }
  // Replicas loaded just before the end are ignored: they might still be used.
  const atEnd = [...lifetimes.values()].filter(lifetime => clock.monotonic() - lifetime.loadedAtMs > SETTLE_DURATION_MS)
  await clock.advance(SETTLE_DURATION_MS)
  const all = [...endedLifetimes, ...atEnd]
  waits.sort((left, right) => left - right)
  const quantile = (fraction: number): number => waits[Math.min(waits.length - 1, Math.floor(waits.length * fraction))] ?? 0
  const measured: Measurement = {
    name,
    wakeRequests: waits.length,
    coldRatio: waits.filter(wait => wait > MAX_WARM_WAIT_MS).length / waits.length,
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    worstMs: waits.at(-1) ?? 0,
    refused,
    idleHours: idleMs / 3_600_000,
    loads: engines.flatMap(engine => engine.records().orders).filter(record => record.order.action === 'load' && record.reply?.outcome === 'done').length,
    wastedRatio: all.length === 0 ? 0 : all.filter(lifetime => !lifetime.used).length / all.length
  }
  strategy.close()
  return measured
}
