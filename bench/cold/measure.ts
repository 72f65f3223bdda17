/** Plays a workload against a contender and measures what its callers and its operators would see. */
import type { EngineStandIn, WeightStore } from '@magnoliabay/standins'
import type { VirtualClock } from 'magnoliabay/clock/virtual'
import { ENGINE_MIB } from './workload'
import type { Arrival, Workload } from './workload'

export interface Served {
  engine: string
  release (): void
}

export interface Contender {
  readonly clock: VirtualClock
  readonly engines: readonly EngineStandIn[]
  readonly weights: WeightStore
  /** Undefined when the request was refused. */
  serve (arrival: Arrival): Promise<Served | undefined>
  close (): void
}

export interface Measured {
  name: string
  wakes: number
  coldShare: number
  p50Ms: number
  p99Ms: number
  worstMs: number
  refused: number
  idleHours: number
  loads: number
  wastedShare: number
}

const SAMPLE_MS = 1000
const SETTLE_MS = 60_000
/** Less than this is no wait. */
const WARM_MS = 50

interface Life {
  loadedAtMs: number
  used: boolean
}

export async function measure (name: string, contender: Contender, workload: Workload): Promise<Measured> {
  const { clock, engines } = contender
  const waits: number[] = []
  const inUse = new Map<string, number>()
  const lives = new Map<string, Life>()
  const ended: Life[] = []
  let refused = 0
  let idleMs = 0

  const use = (key: string, change: number): void => { inUse.set(key, (inUse.get(key) ?? 0) + change) }
  const run = async (arrival: Arrival): Promise<void> => {
    const askedMs = clock.monotonic()
    const served = await contender.serve(arrival)
    const waitedMs = clock.monotonic() - askedMs
    if (served === undefined) {
      refused += 1
      if (arrival.isWake) waits.push(waitedMs)
      return
    }
    if (arrival.isWake) waits.push(waitedMs)
    const key = `${served.engine} ${arrival.model}`
    use(key, 1)
    const life = lives.get(key)
    if (life !== undefined) life.used = true
    clock.schedule(arrival.serviceMs, () => {
      use(key, -1)
      served.release()
    })
  }
  const sample = (): void => {
    const held = engines.flatMap(engine => engine.state().models.map(model => ({ key: `${engine.id} ${model.model}`, model })))
    const keys = new Set(held.map(({ key }) => key))
    held.filter(({ key }) => !lives.has(key)).forEach(({ key }) =>
      lives.set(key, { loadedAtMs: clock.monotonic(), used: (inUse.get(key) ?? 0) > 0 }))
    const gone = [...lives.keys()].filter(key => !keys.has(key))
    gone.forEach(key => {
      ended.push(lives.get(key)!)
      lives.delete(key)
    })
    held.forEach(({ key, model }) => {
      const isUsed = (inUse.get(key) ?? 0) > 0
      if (isUsed) lives.get(key)!.used = true
      else idleMs += SAMPLE_MS * model.memoryMiB / ENGINE_MIB
    })
  }
  workload.arrivals.forEach(arrival => clock.schedule(arrival.atMs, () => { run(arrival) }))
  for (let passedMs = 0; passedMs < workload.durationMs; passedMs += SAMPLE_MS) {
    await clock.advance(SAMPLE_MS)
    sample()
  }
  // What was loaded at the very end may still come to use.
  const atEnd = [...lives.values()].filter(life => clock.monotonic() - life.loadedAtMs > SETTLE_MS)
  await clock.advance(SETTLE_MS)
  const all = [...ended, ...atEnd]
  waits.sort((left, right) => left - right)
  const quantile = (share: number): number => waits[Math.min(waits.length - 1, Math.floor(waits.length * share))] ?? 0
  const measured: Measured = {
    name,
    wakes: waits.length,
    coldShare: waits.filter(wait => wait > WARM_MS).length / waits.length,
    p50Ms: quantile(0.5),
    p99Ms: quantile(0.99),
    worstMs: waits.at(-1) ?? 0,
    refused,
    idleHours: idleMs / 3_600_000,
    loads: engines.flatMap(engine => engine.records().orders).filter(record => record.order.action === 'load' && record.reply?.outcome === 'done').length,
    wastedShare: all.length === 0 ? 0 : all.filter(life => !life.used).length / all.length
  }
  contender.close()
  return measured
}
