/**
 * The brief's eleven promises, each checked from what the stand-ins and the callers recorded, never from
 * what the product says of itself.
 */
import { countTokens, createAnswer } from '@magnoliabay/standins'
import type { EngineRequestRecord } from '@magnoliabay/standins'
import type { CallRecord } from './records'
import { LIST_LAG_MS, MODELS, TEAMS } from './fleetConfig'
import type { World } from './world'

export interface GuaranteeResult {
  promise: string
  /** Facts looked at. */
  checked: number
  violations: readonly string[]
  /** Whether the check needs no clock, so that it may stand in CI. */
  isSafety: boolean
}

/** What callers and operators are told to expect, in milliseconds. */
const ANSWER_WITHIN_MS = 15_000 + 2000
const WITHDRAWN_WITHIN_MS = 5000
const LEAVING_WITHIN_MS = LIST_LAG_MS + 5000
const IN_FORCE_WITHIN_MS = 18_000

interface Facts {
  world: World
  calls: readonly CallRecord[]
  /** Requests at engines by the caller's own id of the call. */
  runs: ReadonlyMap<string, readonly EngineRequestRecord[]>
}

type Check = (facts: Facts) => Omit<GuaranteeResult, 'promise' | 'isSafety'>

interface PromiseCheck {
  promise: string
  isSafety: boolean
  check: Check
}

export function checkGuarantees (world: World): GuaranteeResult[] {
  const facts: Facts = { world, calls: world.observations.calls, runs: runsByCall(world) }
  return CHECKS.map(({ promise, isSafety, check }) => ({ promise, isSafety, ...check(facts) }))
}

function runsByCall (world: World): Map<string, EngineRequestRecord[]> {
  const runs = new Map<string, EngineRequestRecord[]>()
  world.standIns.engines.flatMap(engine => engine.state.records().requests).forEach(record => {
    const id = record.prompt.split(' ', 1)[0]!
    runs.set(id, [...runs.get(id) ?? [], record])
  })
  return runs
}

/** Whether the instance was dead or stopped at some time of the call: then it can't have answered. */
function isExcused ({ world }: Facts, call: CallRecord): boolean {
  const instance = world.processes.all().find(process => process.id === call.instance)
  if (instance === undefined) return true
  const wasStopped = instance.pauses.some(span => span.fromMs <= call.endedAtMs && span.toMs >= call.startedAtMs)
  const wasKilled = instance.end !== undefined && instance.end.kind === 'killed' && instance.end.atMs <= call.endedAtMs
  return wasStopped || wasKilled
}

function describe (call: CallRecord): string {
  return `${call.id} ${call.kind} ${call.model ?? call.idempotencyKey} at ${call.instance}: ${call.result} ${call.code ?? ''} ${call.detail ?? ''} after ${call.endedAtMs - call.startedAtMs} ms`
}

const replicasWithinDecision: Check = ({ world }) => {
  const limits = new Map(MODELS.map(model => [model.name, model.maxReplicas]))
  const byMoment = groupByMoment(world)
  const violations = [...byMoment.entries()].flatMap(([atMs, samples]) => {
    const counts = new Map<string, number>()
    samples.flatMap(sample => sample.held).forEach(model => counts.set(model, (counts.get(model) ?? 0) + 1))
    return [...counts.entries()]
      .filter(([model, count]) => count > (limits.get(model) ?? 1))
      .map(([model, count]) => `${model} held ${count} times at ${atMs}`)
  })
  return { checked: byMoment.size, violations }
}

function groupByMoment (world: World): Map<number, World['observations']['held']> {
  const groups = new Map<number, World['observations']['held']>()
  world.observations.held.forEach(sample => {
    const group = groups.get(sample.atMs) ?? []
    group.push(sample)
    groups.set(sample.atMs, group)
  })
  return groups
}

const memoryWithinLimit: Check = ({ world }) => {
  const engines = world.standIns.engines.map(engine => ({ id: engine.id, ...engine.state.records() }))
  const violations = engines.flatMap(engine => engine.overcommitAttempts.map(attempt =>
    `${engine.id}: order ${attempt.orderId} wanted ${attempt.wantedMiB} MiB beside ${attempt.usedMiB} MiB of ${engine.memoryMiB}`))
  return { checked: engines.reduce((sum, engine) => sum + engine.orders.length, 0), violations }
}

const answeredInTime: Check = facts => {
  const violations = facts.calls
    .filter(call => !isExcused(facts, call))
    .filter(call => call.result === 'unanswered' || call.result === 'cut' || call.endedAtMs - call.startedAtMs > ANSWER_WITHIN_MS)
    .map(describe)
  return { checked: facts.calls.length, violations }
}

const keysKept: Check = ({ world, calls, runs }) => {
  const keys = new Set(calls.map(call => call.key))
  const seen = [
    ...world.standIns.engines.flatMap(engine => engine.state.records().requests).map(record => record.headers),
    ...world.standIns.services.flatMap(service => service.state.records()).map(record => record.headers)
  ].map(headers => Object.values(headers).join(' '))
  const leaked = [...keys].filter(key => seen.some(headers => headers.includes(key)))
  const wrongTeam = calls.flatMap(call => (runs.get(call.id) ?? [])
    .filter(run => run.team !== call.team)
    .map(run => `${call.id} of ${call.team} ran for ${run.team}`))
  const late = world.observations.withdrawals.flatMap(withdrawal => calls
    .filter(call => call.keyId === withdrawal.keyId && call.startedAtMs > withdrawal.atMs + WITHDRAWN_WITHIN_MS && call.result === 'whole')
    .map(call => `${call.id} answered with a key withdrawn ${call.startedAtMs - withdrawal.atMs} ms before`))
  return { checked: calls.length, violations: [...leaked.map(() => 'a backend server saw a key'), ...wrongTeam, ...late] }
}

/**
 * What was received within [a, b] by calls that began and had their first byte within [a, b] was admitted
 * there too, so it may not be more than rate × (b − a) + burst. Calls that overlap an edge are left out.
 */
const allowanceKept: Check = ({ calls }) => {
  const violations = TEAMS.flatMap(team => {
    const whole = calls
      .filter(call => call.team === team.name && call.kind === 'completion' && call.result === 'whole' && call.firstByteAtMs !== undefined)
      .map(call => ({ from: call.startedAtMs, to: call.firstByteAtMs!, tokens: tokensOf(call) }))
      .sort((left, right) => left.to - right.to)
    const starts = [...new Set(whole.map(call => call.from))]
    const worst = starts.map(start => worstFrom(start, whole, team)).sort((left, right) => right.over - left.over)[0]
    return worst !== undefined && worst.over > 0 ? [`${team.name}: ${Math.ceil(worst.over)} tokens over within ${worst.ms} ms`] : []
  })
  return { checked: calls.length, violations }
}

interface Received {
  from: number
  to: number
  tokens: number
}

function worstFrom (start: number, sorted: readonly Received[], team: typeof TEAMS[number]): { over: number, ms: number } {
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

const wholeAnswers: Check = ({ calls }) => ({
  checked: calls.filter(call => call.result === 'whole').length,
  violations: calls.filter(call => call.result === 'wrong').map(describe)
})

const trueRefusals: Check = ({ world, calls, runs }) => {
  const completions = calls
    .filter(call => call.kind === 'completion' && call.notRun === true && (runs.get(call.id) ?? []).some(run => run.startedAtMs !== undefined))
    .map(call => `${describe(call)} says not run`)
  const runsOf = runsOfKeys(world)
  const byKey = new Map<string, CallRecord[]>()
  calls.filter(call => call.idempotencyKey !== undefined).forEach(call => byKey.set(call.idempotencyKey!, [...byKey.get(call.idempotencyKey!) ?? [], call]))
  const services = [...byKey.entries()]
    .filter(([key, attempts]) => attempts.every(call => call.notRun === true) && (runsOf.get(key) ?? 0) > 0)
    .map(([key]) => `${key}: every call was told not run, but it ran`)
  return { checked: calls.filter(call => call.notRun === true).length, violations: [...completions, ...services] }
}

function runsOfKeys (world: World): Map<string, number> {
  const runs = new Map<string, number>()
  world.standIns.services.flatMap(service => service.state.records()).forEach(({ idempotencyKey }) => {
    if (idempotencyKey !== undefined) runs.set(idempotencyKey, (runs.get(idempotencyKey) ?? 0) + 1)
  })
  return runs
}

const atMostOnce: Check = ({ world }) => {
  const runs = runsOfKeys(world)
  return { checked: runs.size, violations: [...runs.entries()].filter(([, count]) => count > 1).map(([key, count]) => `${key} ran ${count} times`) }
}

const leavingLeftAlone: Check = ({ world }) => {
  const { leavings } = world.observations
  const violations = leavings.flatMap(leaving => {
    const engine = world.standIns.engines.find(candidate => candidate.id === leaving.id)
    return (engine?.state.records().requests ?? [])
      .filter(record => record.receivedAtMs > leaving.atMs + LEAVING_WITHIN_MS)
      .map(record => `${leaving.id} got a request ${record.receivedAtMs - leaving.atMs} ms after it began to leave`)
  })
  return { checked: leavings.length, violations }
}

const shutdownCutsNothing: Check = ({ world, calls }) => {
  const shutDown = world.processes.all().filter(process => process.askedToEndAtMs !== undefined)
  const violations = shutDown.flatMap(process => [
    ...(process.end?.kind === 'shut-down' ? [] : [`${process.id} did not end by itself`]),
    ...calls
      .filter(call => call.instance === process.id && (call.result === 'cut' || call.result === 'unanswered'))
      .filter(call => call.endedAtMs >= process.askedToEndAtMs!)
      .map(describe)
  ])
  return { checked: shutDown.length, violations }
}

const configInForce: Check = ({ world }) => {
  const { probes } = world.observations
  const violations = probes.flatMap(probe => [
    ...probe.expected
      .filter(id => !((probe.listedAtMs[id] ?? Infinity) - probe.appliedAtMs <= IN_FORCE_WITHIN_MS))
      .map(id => `${probe.model} not in force at ${id} within ${IN_FORCE_WITHIN_MS} ms`),
    ...probe.reverted.map(id => `${probe.model} gone again at ${id}`)
  ])
  return { checked: probes.length, violations }
}

const CHECKS: readonly PromiseCheck[] = [
  { promise: 'no more replicas than decided', isSafety: true, check: replicasWithinDecision },
  { promise: 'memory never overcommitted', isSafety: true, check: memoryWithinLimit },
  { promise: 'served or refused in time', isSafety: false, check: answeredInTime },
  { promise: 'own team only, key kept, withdrawn', isSafety: true, check: keysKept },
  { promise: 'rate and burst over all instances', isSafety: true, check: allowanceKept },
  { promise: 'whole answer to its own request', isSafety: true, check: wholeAnswers },
  { promise: '"not run" is true', isSafety: true, check: trueRefusals },
  { promise: 'non-idempotent at most once', isSafety: true, check: atMostOnce },
  { promise: 'leaving server left alone', isSafety: false, check: leavingLeftAlone },
  { promise: 'graceful shutdown cuts nothing', isSafety: false, check: shutdownCutsNothing },
  { promise: 'configuration in force, never back', isSafety: false, check: configInForce }
]
