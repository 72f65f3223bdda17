/** Runs one policy with one workload and compares it with one simple central bucket for each team. */
import { createBenchClock, percentile } from '../virtualTime'
import { POLICIES } from './policies'
import type { PolicyName } from './policies'
import { TEAMS, createWorkload } from './workload'
import type { Arrival } from './workload'

export interface Outcome {
  policy: PolicyName
  phase: string
  requests: number
  /** Refusals although a central bucket with the same spending had enough tokens. */
  wrongful: number
  /** Requests of teams within their rates, and how many of them were wrongfully refused. */
  withinRate: number
  wrongfulWithinRate: number
  refused: number
  /** Tokens that the flooding team received relative to rate * t; 1 is its full rate. */
  floodRatio: number
  /** Maximum number of tokens over rate * t + burst in any window. */
  overspend: number
  storeCalls: number
  peerMessages: number
  /** Time until the decision, in milliseconds. */
  p50Ms: number
  p99Ms: number
}

export interface RunOptions {
  policy: PolicyName
  seed: number
  healthyMs: number
  downMs: number
}

const START_DURATION_MS = 3000
const MS_PER_SECOND = 1000
const FLOOD_RATE = TEAMS.find(team => team.load > 1)!.rate

interface PhaseCounts {
  requests: number
  refused: number
  wrongful: number
  withinRate: number
  wrongfulWithinRate: number
  decisionMs: number[]
  floodTokens: number
}

export async function runPolicy ({ policy: name, seed, healthyMs, downMs }: RunOptions): Promise<readonly Outcome[]> {
  const clock = createBenchClock()
  const policy = POLICIES[name](clock)
  const referenceBuckets = new Map(TEAMS.map(team => [team.name, createReferenceBucket(team.rate, team.burst)]))
  const phases = [
    { phase: 'store healthy', untilMs: START_DURATION_MS + healthyMs, tally: createPhaseCounts() },
    { phase: 'store down', untilMs: START_DURATION_MS + healthyMs + downMs, tally: createPhaseCounts() }
  ]
  const handle = async (arrival: Arrival): Promise<void> => {
    const referenceBucket = referenceBuckets.get(arrival.team.name)!
    const startedMs = clock.monotonic()
    const { tally } = phases.find(candidate => startedMs < candidate.untilMs)!
    const settle = await policy.reserve(arrival)
    const isWithinRate = arrival.team.load <= 1
    tally.requests += 1
    tally.withinRate += isWithinRate ? 1 : 0
    tally.decisionMs.push(clock.monotonic() - startedMs)
    if (settle === undefined) {
      const isWrongful = referenceBucket.hasTokens(arrival.reserved, clock.monotonic())
      tally.refused += 1
      tally.wrongful += isWrongful ? 1 : 0
      tally.wrongfulWithinRate += isWrongful && isWithinRate ? 1 : 0
      return
    }
    tally.floodTokens += isWithinRate ? 0 : arrival.used
    const end = referenceBucket.spend(arrival, clock.monotonic())
    clock.schedule(arrival.durationMs, () => {
      settle(arrival.used)
      end(clock.monotonic())
    })
  }
  await clock.runUntil(START_DURATION_MS)
  createWorkload(seed, healthyMs + downMs).forEach(arrival => clock.schedule(arrival.atMs, () => { handle(arrival) }))
  const outcomes: Outcome[] = []
  let calls = 0
  let messages = 0
  for (const { phase, untilMs, tally } of phases) {
    policy.setStoreDown(phase === 'store down')
    await clock.runUntil(untilMs)
    const { decisionMs, floodTokens, ...counts } = tally
    outcomes.push({
      policy: name,
      phase,
      ...counts,
      floodRatio: floodTokens / (FLOOD_RATE * (phase === 'store down' ? downMs : healthyMs) / MS_PER_SECOND),
      overspend: Math.max(...[...referenceBuckets.values()].map(bucket => bucket.overspend())),
      storeCalls: policy.storeCalls() - calls,
      peerMessages: policy.peerMessages() - messages,
      p50Ms: percentile(decisionMs, 0.5),
      p99Ms: percentile(decisionMs, 0.99)
    })
    calls = policy.storeCalls()
    messages = policy.peerMessages()
  }
  return outcomes
}

function createPhaseCounts (): PhaseCounts {
  return { requests: 0, refused: 0, wrongful: 0, withinRate: 0, wrongfulWithinRate: 0, decisionMs: [], floodTokens: 0 }
}

interface ReferenceBucket {
  hasTokens (tokens: number, nowMs: number): boolean
  /** Records a spending and returns the function that settles it. */
  spend (arrival: Arrival, nowMs: number): (nowMs: number) => void
  overspend (): number
}

/** Creates the reference bucket: its tokens are spent as the policy spends them, and refilled as in one central bucket. */
function createReferenceBucket (rate: number, burst: number): ReferenceBucket {
  const spendings: Array<{ atMs: number, tokens: number }> = []
  let level = burst
  let filledAtMs = 0
  const fill = (now: number): void => {
    level = Math.min(burst, level + rate * (now - filledAtMs) / MS_PER_SECOND)
    filledAtMs = now
  }
  return {
    hasTokens: (tokens, now) => {
      fill(now)
      return level >= tokens
    },
    spend: (arrival, now) => {
      fill(now)
      level -= arrival.reserved
      spendings.push({ atMs: now, tokens: arrival.used })
      return endMs => {
        fill(endMs)
        level = Math.min(burst, level + arrival.reserved - arrival.used)
      }
    },
    overspend: () => {
      let left = burst
      let atMs = 0
      return spendings.reduce((maxOverspend, spending) => {
        left = Math.min(burst, left + rate * (spending.atMs - atMs) / MS_PER_SECOND) - spending.tokens
        atMs = spending.atMs
        return Math.max(maxOverspend, -left)
      }, 0)
    }
  }
}
