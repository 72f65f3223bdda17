/** Compares the queue wait of teams while one team floods with their wait alone on a fair share of the slots. */
import { createSilentLogger } from '../../packages/magnoliabay/src/node/logger'
import { createRequestQueue } from '../../packages/magnoliabay/src/node/queue'
import { createBenchClock, createRandom, exponential, percentile } from '../virtualTime'

export interface FairnessOutcome {
  name: string
  /** 95th percentile of the wait of the team for which it is longest, the flooding team excluded. */
  worstP95Ms: number
  worstTeam: string
  refused: number
}

export type Discipline = 'fair queue' | 'first come, first served' | 'alone on a fair share'

interface Job {
  atMs: number
  team: string
  tokens: number
}

const TEAM_NAMES = ['depot', 'office', 'parish', 'yard', 'flood']
const SLOTS = 20
const DURATION_MS = 240_000
const DEADLINE_MS = 30_000
const MEAN_TOKENS = 300
const MS_PER_TOKEN = 5
/** Offered load relative to a fair share of the slots. */
const NORMAL_LOAD = 0.8
const FLOOD_LOAD = 5

export const DISCIPLINES: readonly Discipline[] = ['fair queue', 'first come, first served', 'alone on a fair share']

export async function runFairness (discipline: Discipline, seed: number): Promise<FairnessOutcome> {
  const waits = new Map<string, number[]>(TEAM_NAMES.map(team => [team, []]))
  const isAlone = discipline === 'alone on a fair share'
  const groups = isAlone ? TEAM_NAMES.map(team => [team]) : [TEAM_NAMES]
  const slots = isAlone ? SLOTS / TEAM_NAMES.length : SLOTS
  const refused = await Promise.all(groups.map(teams => runQueue(discipline, createJobs(teams, seed), slots, waits)))
  const others = TEAM_NAMES.filter(team => team !== 'flood').map(team => ({ team, p95: percentile(waits.get(team)!, 0.95) }))
  const worst = others.reduce((slowest, team) => team.p95 > slowest.p95 ? team : slowest)
  return { name: discipline, worstP95Ms: worst.p95, worstTeam: worst.team, refused: refused.reduce((sum, count) => sum + count, 0) }
}

function createJobs (teams: readonly string[], seed: number): Job[] {
  const jobs = teams.flatMap(team => {
    const random = createRandom(seed * 1000 + TEAM_NAMES.indexOf(team))
    const load = team === 'flood' ? FLOOD_LOAD : NORMAL_LOAD
    const meanIntervalMs = MEAN_TOKENS * MS_PER_TOKEN * TEAM_NAMES.length / SLOTS / load
    const teamJobs: Job[] = []
    for (let atMs = exponential(random, meanIntervalMs); atMs < DURATION_MS; atMs += exponential(random, meanIntervalMs)) {
      teamJobs.push({ atMs, team, tokens: Math.ceil(MEAN_TOKENS * (0.5 + random())) })
    }
    return teamJobs
  })
  return jobs.sort((left, right) => left.atMs - right.atMs)
}

async function runQueue (discipline: Discipline, jobs: readonly Job[], slots: number, waits: Map<string, number[]>): Promise<number> {
  const clock = createBenchClock()
  const queue = createRequestQueue({
    capacity: { hasCapacityFor: (_model, started) => started < slots },
    weightOf: () => 1,
    clock,
    logger: createSilentLogger()
  })
  let refused = 0
  const handle = async (job: Job): Promise<void> => {
    const permit = await queue.acquire({
      // With a single queue for all teams, requests are served first come, first served.
      team: discipline === 'fair queue' ? job.team : 'all',
      model: 'm',
      workClass: 'interactive',
      reservedTokens: job.tokens,
      deadlineMs: clock.monotonic() + DEADLINE_MS,
      signal: new AbortController().signal
    })
    if (permit.err) {
      refused += 1
      // A refusal counts as the longest possible wait.
      waits.get(job.team)!.push(DEADLINE_MS)
      return
    }
    waits.get(job.team)!.push(clock.monotonic() - job.atMs)
    clock.schedule(job.tokens * MS_PER_TOKEN, () => permit.val.release(job.tokens))
  }
  jobs.forEach(job => clock.schedule(job.atMs, () => { handle(job) }))
  await clock.runUntil(DURATION_MS + DEADLINE_MS)
  return refused
}
