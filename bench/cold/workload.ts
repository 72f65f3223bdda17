/**
 * What is called when, and where checkpoints lie: both deployments at the sizes of today, from a seed. Most models
 * idle; their first requests come in bursts at many instances, and now and then many models wake together.
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
  /** How long the answer takes once a replica is found. */
  serviceMs: number
  /** Whether it belongs to the burst that follows an idle time of the model. */
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

const MINUTE = 60_000
const GIB = 1024
const SIZES_GIB = [8, 8, 14, 14, 16, 24, 24, 40]
const SESSION_MOST = 8
const BURST_SPREAD_MS = 300

/** Mean time between wakes: a few models are called often, many seldom, some like clockwork. */
type Habit = { kind: 'random', meanMs: number } | { kind: 'regular', periodMs: number }

function habitOf (index: number, random: Random): Habit {
  if (index % 5 === 0) return { kind: 'regular', periodMs: (8 + random() * 20) * MINUTE }
  if (index % 5 === 1) return { kind: 'random', meanMs: (3 + random() * 5) * MINUTE }
  return { kind: 'random', meanMs: (20 + random() * 60) * MINUTE }
}

function nextGapMs (habit: Habit, random: Random): number {
  if (habit.kind === 'regular') return habit.periodMs * (1 + (random() - 0.5) * 0.06)
  return -Math.log(1 - random()) * habit.meanMs
}

function session (site: Site, model: string, startMs: number, random: Random): Arrival[] {
  const arrival = (atMs: number, isWake: boolean): Arrival =>
    ({ atMs, instance: Math.floor(random() * site.instances), model, serviceMs: 500 + random() * 2500, isWake })
  const burst = Array.from({ length: 2 + Math.floor(random() * 6) }, () => arrival(startMs + random() * BURST_SPREAD_MS, true))
  const followers = Math.floor(random() * SESSION_MOST)
  let atMs = startMs + 15_000
  return [...burst, ...Array.from({ length: followers }, () => {
    atMs += 2000 + random() * 13_000
    return arrival(atMs, false)
  })]
}

export function createWorkload (site: Site, seed: number, durationMs: number): Workload {
  const random = createRandom(seed)
  const models = Array.from({ length: site.models }, (_, index): BenchModel => ({
    name: `model-${index}`, memoryMiB: SIZES_GIB[Math.floor(random() * SIZES_GIB.length)]! * GIB
  }))
  const wakes = models.flatMap((model, index) => {
    const habit = habitOf(index, random)
    const times: number[] = []
    for (let atMs = random() * nextGapMs(habit, random); atMs < durationMs; atMs += nextGapMs(habit, random)) times.push(atMs)
    return times.map(atMs => ({ model: model.name, atMs }))
  })
  // Offices open, lorries leave: a dozen models within a few seconds.
  const crowds = Array.from({ length: Math.floor(durationMs / (30 * MINUTE)) }, (_, index) => (index + 0.5) * 30 * MINUTE)
  const crowded = crowds.flatMap(atMs => Array.from({ length: 12 }, () => ({
    model: models[Math.floor(random() * models.length)]!.name, atMs: atMs + random() * 5000
  })))
  const all = [...wakes, ...crowded].sort((left, right) => left.atMs - right.atMs)
  const lastWake = new Map<string, number>()
  const apart = all.filter(({ model, atMs }) => {
    const isApart = atMs - (lastWake.get(model) ?? -Infinity) > 2 * MINUTE
    if (isApart) lastWake.set(model, atMs)
    return isApart
  })
  const arrivals = apart.flatMap(wake => session(site, wake.model, wake.atMs, random))
    .filter(arrival => arrival.atMs < durationMs)
    .sort((left, right) => left.atMs - right.atMs)
  return { site, models, arrivals, checkpoints: spreadCheckpoints(site, models, random), durationMs }
}

/** Some engines hold many checkpoints, some few, and most models lie in the weight store only. */
function spreadCheckpoints (site: Site, models: readonly BenchModel[], random: Random): Array<Record<string, CheckpointTier>> {
  return Array.from({ length: site.engines }, (_, engine) => {
    const held = engine % 3 === 0 ? 6 : engine % 3 === 1 ? 2 : 0
    const names = Array.from({ length: held }, () => models[Math.floor(random() * models.length)]!.name)
    return Object.fromEntries(names.map((name, index) => [name, index === 0 ? 'memory' as const : 'disk' as const]))
  })
}
