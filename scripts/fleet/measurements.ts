/** Computes the four measurements of the brief from the records of callers and stand-ins. */
import { countTokens } from '@magnoliabay/standins'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { CallRecord } from './records'
import { TEAMS } from './fleetConfig'
import type { Harness } from './harness'

export interface Quantiles {
  count: number
  p50Ms: number
  p95Ms: number
  p99Ms: number
  maxMs: number
}

export interface TeamMeasure {
  team: string
  firstByte: Quantiles
  answeredShare: number
}

export interface Measurements {
  calls: number
  byResult: Record<string, number>
  byCode: Record<string, number>
  /** Time to the first byte of calls whose model was loaded on no engine when they started. */
  coldStart: Quantiles
  warmStart: Quantiles
  /** Hours for which an engine had models loaded but ran no request, and their fraction of the loaded time. */
  idleAcceleratorHours: number
  idleShare: number
  teams: TeamMeasure[]
  worstTeam: string
  /** Calls refused as over the allowance although one central token bucket would have had the tokens. */
  wrongfulRefusals: number
  wrongfulShare: number
}

const MS_PER_HOUR = 3_600_000
const MAX_TOKENS = 32

export function computeMeasurements (harness: Harness): Measurements {
  const { calls } = harness.observations
  const completions = calls.filter(call => call.kind === 'completion')
  const cold = completions.filter(call => !isLoadedAt(harness, call))
  const coldIds = new Set(cold.map(call => call.id))
  const teams = TEAMS.map(team => measureTeam(team.name, completions))
  const worst = [...teams].filter(team => team.firstByte.count > 0).sort((left, right) => right.firstByte.p95Ms - left.firstByte.p95Ms)[0]
  const idle = idleTime(harness)
  const wrongful = TEAMS.reduce((sum, team) => sum + wrongfulRefusals(team, completions), 0)
  return {
    calls: calls.length,
    byResult: countBy(calls, call => call.result),
    byCode: countBy(calls.filter(call => call.code !== undefined), call => call.code!),
    coldStart: quantiles(cold),
    warmStart: quantiles(completions.filter(call => !coldIds.has(call.id))),
    idleAcceleratorHours: idle.idleMs / MS_PER_HOUR,
    idleShare: idle.loadedMs === 0 ? 0 : idle.idleMs / idle.loadedMs,
    teams,
    worstTeam: worst?.team ?? '-',
    wrongfulRefusals: wrongful,
    wrongfulShare: completions.length === 0 ? 0 : wrongful / completions.length
  }
}

function countBy<T> (items: readonly T[], keyOf: (item: T) => string): Record<string, number> {
  return items.reduce<Record<string, number>>((counts, item) => {
    counts[keyOf(item)] = (counts[keyOf(item)] ?? 0) + 1
    return counts
  }, {})
}

export function quantiles (calls: readonly CallRecord[]): Quantiles {
  const histogram = build({ numberOfSignificantValueDigits: 3 }) as Histogram
  calls.filter(call => call.result === 'whole' && call.firstByteAtMs !== undefined)
    .forEach(call => histogram.recordValue(Math.max(0, call.firstByteAtMs! - call.startedAtMs)))
  return {
    count: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50),
    p95Ms: histogram.getValueAtPercentile(95),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue
  }
}

function isLoadedAt (harness: Harness, call: CallRecord): boolean {
  const latest = harness.observations.engineSamples.findLast(sample => sample.atMs <= call.startedAtMs)
  if (latest === undefined) return false
  return harness.observations.engineSamples.some(sample => sample.atMs === latest.atMs && sample.loaded.includes(call.model!))
}

function measureTeam (team: string, completions: readonly CallRecord[]): TeamMeasure {
  const teamCalls = completions.filter(call => call.team === team)
  const answered = teamCalls.filter(call => call.result === 'whole').length
  return { team, firstByte: quantiles(teamCalls), answeredShare: teamCalls.length === 0 ? 1 : answered / teamCalls.length }
}

function idleTime (harness: Harness): { idleMs: number, loadedMs: number } {
  const byEngine = new Map<string, Harness['observations']['engineSamples']>()
  harness.observations.engineSamples.forEach(sample => {
    const samples = byEngine.get(sample.engine) ?? []
    samples.push(sample)
    byEngine.set(sample.engine, samples)
  })
  return [...byEngine.values()].reduce((sum, samples) => {
    samples.slice(1).forEach((sample, index) => {
      const previous = samples[index]!
      if (previous.loaded.length === 0) return
      const spanMs = sample.atMs - previous.atMs
      sum.loadedMs += spanMs
      if (previous.running === 0) sum.idleMs += spanMs
    })
    return sum
  }, { idleMs: 0, loadedMs: 0 })
}

interface BucketEvent {
  atMs: number
  call: CallRecord
  isStart: boolean
}

/** Tokens that a reservation includes for the bytes of a request other than its prompt. */
const ENVELOPE_TOKENS = 35

/**
 * Counts wrongful refusals by replaying a team's calls against one central token bucket. The bucket starts full,
 * reserves as an instance does, and refunds the unused tokens at the end of each call.
 */
function wrongfulRefusals (team: typeof TEAMS[number], completions: readonly CallRecord[]): number {
  const events = completions
    .filter(call => call.team === team.name)
    .flatMap((call): BucketEvent[] => [{ atMs: call.startedAtMs, call, isStart: true }, { atMs: call.endedAtMs, call, isStart: false }])
    .sort((left, right) => left.atMs - right.atMs)
  let level = team.burstTokens
  let atMs = events[0]?.atMs ?? 0
  return events.filter(event => {
    level = Math.min(team.burstTokens, level + team.tokensPerSecond * (event.atMs - atMs) / 1000)
    atMs = event.atMs
    const reserved = countTokens(event.call.prompt!) + ENVELOPE_TOKENS + MAX_TOKENS
    if (event.call.code === 'over_allowance') return event.isStart && level >= reserved
    const used = event.call.result === 'whole' ? countTokens(event.call.prompt!) + MAX_TOKENS : 0
    level += event.isStart ? -reserved : reserved - used
    return false
  }).length
}
