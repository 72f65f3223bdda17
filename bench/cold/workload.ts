/**
 * Seeded workloads: arrivals and checkpoint locations for both deployments at their present sizes. Most models are idle;
 * their first requests arrive in bursts at many instances, and at times many idle models are requested at once.
 */
import { createRandom } from '@magnoliabay/standins'
import type { CheckpointTier } from 'magnoliabay/backend/protocol'

export interface Site {
  name: string
  instances: number
  engines: number
  loadsPerSecond: number
  models: number
}

export const SITES: readonly Site[] = [
  { name: 'shannonside', instances: 8, engines: 9, loadsPerSecond: 2, models: 50 },
  { name: 'fraser-font', instances: 9, engines: 9, loadsPerSecond: 2.5, models: 50 }
]

export const ENGINE_MIB = 81_920
export const FULL_SPEED_LOADS = 4

export interface BenchModel {
  name: string
  memoryMiB: number
}

export interface Arrival {
  atMs: number
  instance: number
  model: string
  /** Duration of the answer once a replica has been acquired. */
  serviceMs: number
  /** Whether the request belongs to the burst that follows an idle period of the model. */
  isWake: boolean
}

export interface Workload {
  site: Site
  models: readonly BenchModel[]
  arrivals: readonly Arrival[]
  checkpoints: ReadonlyArray<Readonly<Record<string, CheckpointTier>>>
  durationMs: number
}

type Random = () => number

const MINUTE_MS = 60_000
const MIB_PER_GIB = 1024
const SIZES_GIB = [8, 8, 14, 14, 16, 24, 24, 40]
const SESSION_FOLLOWERS_LIMIT = 8
const BURST_DURATION_MS = 300

/** Time between the bursts of a model (its wakes): a few models are called often, many rarely, and some at regular intervals. */
type WakePattern = { kind: 'random', meanMs: number } | { kind: 'regular', periodMs: number }

function wakePatternOf (index: number, random: Random): WakePattern {
  if (index % 5 === 0) return { kind: 'regular', periodMs: (8 + random() * 20) * MINUTE_MS }
  if (index % 5 === 1) return { kind: 'random', meanMs: (3 + random() * 5) * MINUTE_MS }
  return { kind: 'random', meanMs: (20 + random() * 60) * MINUTE_MS }
}

function nextIntervalMs (pattern: WakePattern, random: Random): number {
  if (pattern.kind === 'regular') return pattern.periodMs * (1 + (random() - 0.5) * 0.06)
  return -Math.log(1 - random()) * pattern.meanMs
}

function createSession (site: Site, model: string, startMs: number, random: Random): Arrival[] {
  const arrival = (atMs: number, isWake: boolean): Arrival =>
    ({ atMs, instance: Math.floor(random() * site.instances), model, serviceMs: 500 + random() * 2500, isWake })
  const burst = Array.from({ length: 2 + Math.floor(random() * 6) }, () => arrival(startMs + random() * BURST_DURATION_MS, true))
  const followers = Math.floor(random() * SESSION_FOLLOWERS_LIMIT)
  let atMs = startMs + 15_000
  return [...burst, ...Array.from({ length: followers }, () => {
    atMs += 2000 + random() * 13_000
    return arrival(atMs, false)
  })]
}

export function createWorkload (site: Site, seed: number, durationMs: number): Workload {
  const random = createRandom(seed)
  const models = Array.from({ length: site.models }, (_, index): BenchModel => ({
    name: `model-${index}`, memoryMiB: SIZES_GIB[Math.floor(random() * SIZES_GIB.length)]! * MIB_PER_GIB
  }))
  const wakes = models.flatMap((model, index) => {
    const pattern = wakePatternOf(index, random)
    const times: number[] = []
    for (let atMs = random() * nextIntervalMs(pattern, random); atMs < durationMs; atMs += nextIntervalMs(pattern, random)) times.push(atMs)
    return times.map(atMs => ({ model: model.name, atMs }))
  })
  // As when offices open or lorries leave, a dozen models are requested within a few seconds.
  const massWakeTimes = Array.from({ length: Math.floor(durationMs / (30 * MINUTE_MS)) }, (_, index) => (index + 0.5) * 30 * MINUTE_MS)
  const massWakes = massWakeTimes.flatMap(atMs => Array.from({ length: 12 }, () => ({
    model: models[Math.floor(random() * models.length)]!.name, atMs: atMs + random() * 5000
  })))
  const all = [...wakes, ...massWakes].sort((left, right) => left.atMs - right.atMs)
  const lastWake = new Map<string, number>()
  const spacedWakes = all.filter(({ model, atMs }) => {
    const isSpaced = atMs - (lastWake.get(model) ?? -Infinity) > 2 * MINUTE_MS
    if (isSpaced) lastWake.set(model, atMs)
    return isSpaced
  })
  const arrivals = spacedWakes.flatMap(wake => createSession(site, wake.model, wake.atMs, random))
    .filter(arrival => arrival.atMs < durationMs)
    .sort((left, right) => left.atMs - right.atMs)
  return { site, models, arrivals, checkpoints: placeCheckpoints(site, models, random), durationMs }
}

/** Places checkpoints: some engines have many, some few, and most models are only in the weight store. */
function placeCheckpoints (site: Site, models: readonly BenchModel[], random: Random): Array<Record<string, CheckpointTier>> {
  return Array.from({ length: site.engines }, (_, engine) => {
    const checkpointCount = engine % 3 === 0 ? 6 : engine % 3 === 1 ? 2 : 0
    const names = Array.from({ length: checkpointCount }, () => models[Math.floor(random() * models.length)]!.name)
    return Object.fromEntries(names.map((name, index) => [name, index === 0 ? 'memory' as const : 'disk' as const]))
  })
}
