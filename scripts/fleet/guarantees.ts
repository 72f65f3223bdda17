/**
 * Checks the guarantees of the brief, and that what engines state is kept: limits and backoff times. Each check uses only the records of stand-ins and callers, never
 * what the product reports about itself.
 */
import { countTokens, createAnswer } from '@magnoliabay/standins'
import type { EngineRequestRecord } from '@magnoliabay/standins'
import type { CallRecord } from './records'
import { LIST_LAG_MS, MODELS, TEAMS } from './fleetConfig'
import type { Harness } from './harness'

export interface GuaranteeResult {
  promise: string
  /** Number of facts checked. */
  checked: number
  violations: readonly string[]
  /** Whether the check does not depend on timing, so that it can run in CI. */
  isSafety: boolean
}

/** Bounds documented for callers and operators, in milliseconds. */
const MAX_RESPONSE_TIME_MS = 15_000 + 2000
const MAX_WITHDRAWAL_DELAY_MS = 5000
const MAX_LEAVING_DELAY_MS = LIST_LAG_MS + 5000
const MAX_ACTIVATION_DELAY_MS = 18_000
const LIMIT_DELAY_MS = 3000
const LIMIT_SPAN_MS = 4000
const LIMIT_RATIO = 1.5
const MAX_FALLS = 2
const MAX_FALLS_PER_ENGINE = 0.1
const LIMIT_SLACK = 5
const BACKOFF_DELAY_MS = 500
const MAX_DURING_BACKOFF = 2

interface RunFacts {
  harness: Harness
  calls: readonly CallRecord[]
  /** Requests recorded by engines, keyed by the id that the caller gave the call. */
  runs: ReadonlyMap<string, readonly EngineRequestRecord[]>
}

type Check = (facts: RunFacts) => Omit<GuaranteeResult, 'promise' | 'isSafety'>

interface GuaranteeCheck {
  promise: string
  isSafety: boolean
  check: Check
}

export function checkGuarantees (harness: Harness): GuaranteeResult[] {
  const facts: RunFacts = { harness, calls: harness.observations.calls, runs: runsByCall(harness) }
  return CHECKS.map(({ promise, isSafety, check }) => ({ promise, isSafety, ...check(facts) }))
}

function runsByCall (harness: Harness): Map<string, EngineRequestRecord[]> {
  const runs = new Map<string, EngineRequestRecord[]>()
  harness.standIns.engines.flatMap(engine => engine.state.records().requests).forEach(record => {
    const id = record.prompt.split(' ', 1)[0]!
    runs.set(id, [...runs.get(id) ?? [], record])
  })
  return runs
}

/** Whether the instance was killed or paused during the call, so that it cannot have responded. */
function wasInstanceDown ({ harness }: RunFacts, call: CallRecord): boolean {
  const instance = harness.processes.all().find(process => process.id === call.instance)
  if (instance === undefined) return true
  const wasStopped = instance.pauses.some(span => span.fromMs <= call.endedAtMs && span.toMs >= call.startedAtMs)
  const wasKilled = instance.end !== undefined && instance.end.kind === 'killed' && instance.end.atMs <= call.endedAtMs
  return wasStopped || wasKilled
}

function describe (call: CallRecord): string {
  return `${call.id} ${call.kind} ${call.model ?? call.idempotencyKey} at ${call.instance}: ${call.result} ${call.code ?? ''} ${call.detail ?? ''} after ${call.endedAtMs - call.startedAtMs} ms`
}

const checkReplicaCounts: Check = ({ harness }) => {
  const limits = new Map(MODELS.map(model => [model.name, model.maxReplicas]))
  const samplesByTime = groupByTime(harness)
  const violations = [...samplesByTime.entries()].flatMap(([atMs, samples]) => {
    const counts = new Map<string, number>()
    samples.flatMap(sample => sample.models).forEach(model => counts.set(model, (counts.get(model) ?? 0) + 1))
    return [...counts.entries()]
      .filter(([model, count]) => count > (limits.get(model) ?? 1))
      .map(([model, count]) => `${model} has ${count} replicas at ${atMs}`)
  })
  return { checked: samplesByTime.size, violations }
}

function groupByTime (harness: Harness): Map<number, Harness['observations']['engineSamples']> {
  const groups = new Map<number, Harness['observations']['engineSamples']>()
  harness.observations.engineSamples.forEach(sample => {
    const group = groups.get(sample.atMs) ?? []
    group.push(sample)
    groups.set(sample.atMs, group)
  })
  return groups
}

const checkMemory: Check = ({ harness }) => {
  const engines = harness.standIns.engines.map(engine => ({ id: engine.id, ...engine.state.records() }))
  const violations = engines.flatMap(engine => engine.overcommitAttempts.map(attempt =>
    `${engine.id}: order ${attempt.orderId} requires ${attempt.wantedMiB} MiB with ${attempt.usedMiB} of ${engine.memoryMiB} MiB in use`))
  return { checked: engines.reduce((sum, engine) => sum + engine.orders.length, 0), violations }
}

const checkResponseTimes: Check = facts => {
  const violations = facts.calls
    .filter(call => !wasInstanceDown(facts, call))
    .filter(call => call.result === 'unanswered' || call.result === 'cut' || call.endedAtMs - call.startedAtMs > MAX_RESPONSE_TIME_MS)
    .map(describe)
  return { checked: facts.calls.length, violations }
}

const checkKeys: Check = ({ harness, calls, runs }) => {
  const keys = new Set(calls.map(call => call.key))
  const receivedHeaders = [
    ...harness.standIns.engines.flatMap(engine => engine.state.records().requests).map(record => record.headers),
    ...harness.standIns.services.flatMap(service => service.state.records()).map(record => record.headers)
  ].map(headers => Object.values(headers).join(' '))
  const leaked = [...keys].filter(key => receivedHeaders.some(headers => headers.includes(key)))
  const wrongTeam = calls.flatMap(call => (runs.get(call.id) ?? [])
    .filter(run => run.team !== call.team)
    .map(run => `${call.id} of ${call.team} ran for ${run.team}`))
  const late = harness.observations.withdrawals.flatMap(withdrawal => calls
    .filter(call => call.keyId === withdrawal.keyId && call.startedAtMs > withdrawal.atMs + MAX_WITHDRAWAL_DELAY_MS && call.result === 'whole')
    .map(call => `${call.id} succeeded with a key withdrawn ${call.startedAtMs - withdrawal.atMs} ms before`))
  return { checked: calls.length, violations: [...leaked.map(() => 'a backend server received a key'), ...wrongTeam, ...late] }
}

/**
 * Calls that started and received their first byte within [a, b] were also admitted within [a, b], so their tokens
 * may not exceed rate × (b − a) + burst. Calls that overlap an end of the interval are ignored.
 */
const checkAllowances: Check = ({ calls }) => {
  const violations = TEAMS.flatMap(team => {
    const whole = calls
      .filter(call => call.team === team.name && call.kind === 'completion' && call.result === 'whole' && call.firstByteAtMs !== undefined)
      .map(call => ({ from: call.startedAtMs, to: call.firstByteAtMs!, tokens: tokensOf(call) }))
      .sort((left, right) => left.to - right.to)
    const starts = [...new Set(whole.map(call => call.from))]
    const worst = starts.map(start => maxOverspendFrom(start, whole, team)).sort((left, right) => right.over - left.over)[0]
    return worst !== undefined && worst.over > 0 ? [`${team.name}: ${Math.ceil(worst.over)} tokens over the allowance within ${worst.ms} ms`] : []
  })
  return { checked: calls.length, violations }
}

interface ReceivedAnswer {
  from: number
  to: number
  tokens: number
}

function maxOverspendFrom (start: number, sorted: readonly ReceivedAnswer[], team: typeof TEAMS[number]): { over: number, ms: number } {
  let sum = 0
  let worst = { over: -Infinity, ms: 0 }
  sorted.filter(call => call.from >= start).forEach(call => {
    sum += call.tokens
    const ms = call.to - start
    const over = sum - (team.tokensPerSecond * ms / 1000 + team.burstTokens)
    if (over > worst.over) worst = { over, ms }
  })
  return worst
}

const MAX_TOKENS = 32

function tokensOf (call: CallRecord): number {
  const answer = createAnswer({ model: call.model!, prompt: call.prompt!, maxTokens: MAX_TOKENS })
  return countTokens(call.prompt!) + answer.tokens.length
}

const checkAnswers: Check = ({ calls }) => ({
  checked: calls.filter(call => call.result === 'whole').length,
  violations: calls.filter(call => call.result === 'wrong').map(describe)
})

const checkNotRun: Check = ({ harness, calls, runs }) => {
  const completions = calls
    .filter(call => call.kind === 'completion' && call.notRun === true && (runs.get(call.id) ?? []).some(run => run.startedAtMs !== undefined))
    .map(call => `${describe(call)} was reported as not run, but it ran`)
  const runCounts = countRunsByKey(harness)
  const byKey = new Map<string, CallRecord[]>()
  calls.filter(call => call.idempotencyKey !== undefined).forEach(call => byKey.set(call.idempotencyKey!, [...byKey.get(call.idempotencyKey!) ?? [], call]))
  const services = [...byKey.entries()]
    .filter(([key, attempts]) => attempts.every(call => call.notRun === true) && (runCounts.get(key) ?? 0) > 0)
    .map(([key]) => `${key}: every call was reported as not run, but it ran`)
  return { checked: calls.filter(call => call.notRun === true).length, violations: [...completions, ...services] }
}

function countRunsByKey (harness: Harness): Map<string, number> {
  const runs = new Map<string, number>()
  harness.standIns.services.flatMap(service => service.state.records()).forEach(({ idempotencyKey }) => {
    if (idempotencyKey !== undefined) runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1)
  })
  return runs
}

const checkAtMostOnce: Check = ({ harness }) => {
  const runs = countRunsByKey(harness)
  return { checked: runs.size, violations: [...runs.entries()].filter(([, count]) => count > 1).map(([key, count]) => `${key} ran ${count} times`) }
}

const checkLeavingServers: Check = ({ harness }) => {
  const { leavingEngines } = harness.observations
  const violations = leavingEngines.flatMap(leaving => {
    const engine = harness.standIns.engines.find(candidate => candidate.id === leaving.id)
    return (engine?.state.records().requests ?? [])
      .filter(record => record.receivedAtMs > leaving.atMs + MAX_LEAVING_DELAY_MS)
      .map(record => `${leaving.id} received a request ${record.receivedAtMs - leaving.atMs} ms after it started to leave`)
  })
  return { checked: leavingEngines.length, violations }
}

/** From some seconds after a limit was first stated, an engine gets no more in any span than one and a half times the limit plus a slack. */
const checkStatedLimits: Check = ({ harness }) => {
  const { statedLimits } = harness.observations
  const violations = statedLimits.flatMap(({ engine: id, requestsPerSecond, fromMs, toMs }) => {
    const engine = harness.standIns.engines.find(candidate => candidate.id === id)
    const times = (engine?.state.records().requests ?? []).map(({ receivedAtMs }) => receivedAtMs).filter(atMs => atMs > fromMs + LIMIT_DELAY_MS && atMs < toMs)
    const allowed = requestsPerSecond * LIMIT_SPAN_MS / 1000 * LIMIT_RATIO + LIMIT_SLACK
    const most = Math.max(0, ...times.map(from => times.filter(atMs => atMs >= from && atMs < from + LIMIT_SPAN_MS).length))
    return most > allowed ? [`${id} received ${most} requests in ${LIMIT_SPAN_MS} ms; allowed ${allowed}`] : []
  })
  return { checked: statedLimits.length, violations }
}

/** An engine that has asked an instance for backoff gets at most a few requests of it until that is over. */
const checkBackoffs: Check = ({ harness, calls }) => {
  const { backoffs } = harness.observations
  const instances = new Map(calls.map(call => [call.id, call.instance]))
  const violations = backoffs.flatMap(({ engine: id, backoffMs, fromMs, toMs }) => {
    const engine = harness.standIns.engines.find(candidate => candidate.id === id)
    const arrivals = (engine?.state.records().requests ?? [])
      .filter(({ receivedAtMs }) => receivedAtMs > fromMs && receivedAtMs < toMs)
      .map(({ prompt, receivedAtMs }) => ({ instance: instances.get(prompt.split(' ', 1)[0]!), atMs: receivedAtMs }))
    const counts = arrivals.map(asked => arrivals.filter(each => each.instance === asked.instance && each.atMs > asked.atMs + BACKOFF_DELAY_MS && each.atMs < asked.atMs + backoffMs).length)
    const most = Math.max(0, ...counts)
    return most > MAX_DURING_BACKOFF ? [`${id} received ${most} requests of one instance during the backoff`] : []
  })
  return { checked: backoffs.length, violations }
}

/** A brittle engine, once instances have heard of it, falls over no more than twice and a tenth of the number of engines. */
const checkBrittleTimes: Check = ({ harness }) => {
  const { brittleTimes } = harness.observations
  const violations = brittleTimes.filter(({ falls }) => falls > MAX_FALLS + MAX_FALLS_PER_ENGINE).map(({ engine, falls }) => `${engine} fell over ${falls} times while it was brittle`)
  return { checked: brittleTimes.length, violations }
}

const checkShutdowns: Check = ({ harness, calls }) => {
  const shutDown = harness.processes.all().filter(process => process.shutdownRequestedAtMs !== undefined)
  const violations = shutDown.flatMap(process => [
    ...(process.end?.kind === 'shut-down' ? [] : [`${process.id} did not exit by itself`]),
    ...calls
      .filter(call => call.instance === process.id && (call.result === 'cut' || call.result === 'unanswered'))
      .filter(call => call.endedAtMs >= process.shutdownRequestedAtMs!)
      .map(describe)
  ])
  return { checked: shutDown.length, violations }
}

const checkConfigActivation: Check = ({ harness }) => {
  const { probes } = harness.observations
  const violations = probes.flatMap(probe => [
    ...probe.expected
      .filter(id => !((probe.listedAtMs[id] ?? Infinity) - probe.appliedAtMs <= MAX_ACTIVATION_DELAY_MS))
      .map(id => `${probe.model} not listed by ${id} within ${MAX_ACTIVATION_DELAY_MS} ms`),
    ...probe.reverted.map(id => `${probe.model} no longer listed by ${id}`)
  ])
  return { checked: probes.length, violations }
}

const checkSoftwareVersions: Check = ({ calls }) => {
  const streams = calls.filter(call => (call.softwareVersions?.length ?? 0) > 0)
  return { checked: streams.length, violations: streams.filter(call => call.softwareVersions!.length > 1).map(call => `${describe(call)}: events of ${call.softwareVersions!.join(' and ')}`) }
}

const CHECKS: readonly GuaranteeCheck[] = [
  { promise: 'no more replicas than decided', isSafety: true, check: checkReplicaCounts },
  { promise: 'memory never overcommitted', isSafety: true, check: checkMemory },
  { promise: 'served or refused in time', isSafety: false, check: checkResponseTimes },
  { promise: 'own team only, key kept, withdrawn', isSafety: true, check: checkKeys },
  { promise: 'rate and burst over all instances', isSafety: true, check: checkAllowances },
  { promise: 'whole answer to its own request', isSafety: true, check: checkAnswers },
  { promise: 'streams of one software version', isSafety: true, check: checkSoftwareVersions },
  { promise: '"not run" is true', isSafety: true, check: checkNotRun },
  { promise: 'non-idempotent at most once', isSafety: true, check: checkAtMostOnce },
  { promise: 'leaving server left alone', isSafety: false, check: checkLeavingServers },
  { promise: 'brittle engines stand', isSafety: false, check: checkBrittleTimes },
  { promise: 'stated limits kept', isSafety: false, check: checkStatedLimits },
  { promise: 'backoff that a server asks for', isSafety: false, check: checkBackoffs },
  { promise: 'graceful shutdown cuts nothing', isSafety: false, check: checkShutdowns },
  { promise: 'configuration in force, never back', isSafety: false, check: checkConfigActivation }
]
