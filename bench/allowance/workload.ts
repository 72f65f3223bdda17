/** Five teams, some of them large, at nine instances; a team sends more requests to some instances, and these change over time. */
import { createRandom, exponential } from '../virtualTime'

export interface BenchTeam {
  name: string
  rate: number
  burst: number
  /** Tokens that the requests of the team would use per second if all were answered, relative to its rate. */
  load: number
  /** Mean number of tokens that a request reserves. */
  meanTokens: number
}

export interface Arrival {
  atMs: number
  team: BenchTeam
  instance: number
  reserved: number
  used: number
  durationMs: number
}

export const INSTANCES = 9

export const TEAMS: readonly BenchTeam[] = [
  { name: 'depot', rate: 20_000, burst: 40_000, load: 0.75, meanTokens: 800 },
  { name: 'office', rate: 12_000, burst: 30_000, load: 0.75, meanTokens: 600 },
  { name: 'flood', rate: 4000, burst: 12_000, load: 5, meanTokens: 500 },
  { name: 'parish', rate: 1500, burst: 12_000, load: 0.6, meanTokens: 400 },
  { name: 'yard', rate: 500, burst: 8000, load: 0.6, meanTokens: 300 }
]

const SHIFT_INTERVAL_MS = 20_000
/** Fractions of a team's requests at the instances, in descending order. */
const INSTANCE_RATIOS = [0.4, 0.2, 0.12, 0.08, 0.06, 0.05, 0.04, 0.03, 0.02]
const MEAN_USED_RATIO = 0.6
const MEAN_DURATION_MS = 2000

export function createWorkload (seed: number, durationMs: number): readonly Arrival[] {
  const all = TEAMS.flatMap((team, index) => arrivalsOf(team, seed * 100 + index, durationMs))
  return all.sort((left, right) => left.atMs - right.atMs)
}

function arrivalsOf (team: BenchTeam, seed: number, durationMs: number): Arrival[] {
  const random = createRandom(seed)
  const meanIntervalMs = team.meanTokens * MEAN_USED_RATIO / (team.rate * team.load) * 1000
  const arrivals: Arrival[] = []
  let order = shuffled(random)
  let shiftAtMs = SHIFT_INTERVAL_MS
  for (let atMs = exponential(random, meanIntervalMs); atMs < durationMs; atMs += exponential(random, meanIntervalMs)) {
    if (atMs > shiftAtMs) {
      order = shuffled(random)
      shiftAtMs += SHIFT_INTERVAL_MS
    }
    const reserved = Math.ceil(team.meanTokens * (0.5 + random()))
    const used = Math.ceil(reserved * (MEAN_USED_RATIO - 0.4 + 0.8 * random()))
    arrivals.push({ atMs, team, instance: order[pickPosition(random)]!, reserved, used, durationMs: exponential(random, MEAN_DURATION_MS) })
  }
  return arrivals
}

function pickPosition (random: () => number): number {
  let left = random()
  const index = INSTANCE_RATIOS.findIndex(ratio => {
    left -= ratio
    return left < 0
  })
  return index < 0 ? 0 : index
}

function shuffled (random: () => number): number[] {
  const order = Array.from({ length: INSTANCES }, (_, index) => index)
  order.forEach((_, index) => {
    const other = Math.floor(random() * (index + 1));
    [order[index], order[other]] = [order[other]!, order[index]!]
  })
  return order
}
