/**
 * Compares DE-CuSum with simpler policies for detecting a backend server that has become slow when each probe has a
 * cost, at equal rates of false alarms and, before the change, of probes. The conclusion is in docs/decusum.md.
 */
import { createRandom } from '@magnoliabay/standins'
import { createCorrelatedNormal, createLogLikelihoodRatio, createNormal, latencyOf } from './latency'
import type { LatencyModel } from './latency'
import { withProbability, createCusum, createDeCusum, createDeadline, createFollowUpCusum, everyNth } from './policies'
import type { Detector } from './policies'
import { runWithChange, runWithoutChange, solve } from './simulate'
import type { Detection, LatencySource } from './simulate'

const SEED = 2920
const MODEL: LatencyModel = { medianMs: 20, sigma: 0.5 }
/** The slowdown that the likelihood ratio assumes. */
const ASSUMED_SLOWDOWN = 2
const SLOWDOWNS = [1.5, 2, 4]
const SLOTS_PER_FALSE_ALARM = 20_000
const CALIBRATION_SLOTS = 1_500_000
const SOLVE_STEPS = 11
const CHANGE_RUNS = 2_000
/** Minimum number of slots before the change; up to as many again are added at random. */
const MIN_SLOTS_BEFORE_CHANGE = 200
const MAX_DELAY_SLOTS = 20_000
const DECUSUM_FLOOR = 10
const LOAD_CORRELATION = 0.6
const PROBED_RATIOS = [0.5, 0.2, 0.05]

interface Policy {
  name: string
  /** Alarms become rarer as the setting rises. */
  create: (setting: number, random: () => number) => Detector
  range: [number, number]
}

const ratio = createLogLikelihoodRatio(MODEL, ASSUMED_SLOWDOWN)
const CUSUM_RANGE: [number, number] = [0.5, 16]
const DEADLINE_RANGE_MS: [number, number] = [MODEL.medianMs, 40 * MODEL.medianMs]

const normalSource = (random: () => number): LatencySource => {
  const normal = createNormal(random)
  return () => latencyOf(MODEL, 1, normal())
}
const slowSource = (random: () => number, slowdown: number): LatencySource => {
  const normal = createNormal(random)
  return () => latencyOf(MODEL, slowdown, normal())
}
const burstySource = (random: () => number): LatencySource => {
  const normal = createCorrelatedNormal(createNormal(random), LOAD_CORRELATION)
  return () => latencyOf(MODEL, 1, normal())
}

/** Returns the rise at which DE-CuSum probes `ratioOfSlots` of the slots before a change; the threshold has little effect on it. */
function riseFor (ratioOfSlots: number): number {
  const never = 1e9
  return solve(0.0005, 8, ratioOfSlots, SOLVE_STEPS + 3, rise =>
    runWithoutChange(() => createDeCusum({ ratio, threshold: never, rise, floor: DECUSUM_FLOOR }), normalSource(createRandom(SEED)), CALIBRATION_SLOTS / 5).probedRatio)
}

/** Returns the period at which CuSum with follow-up probes uses `ratioOfSlots` of the slots before a change for probes. */
function periodFor (ratioOfSlots: number): number {
  const never = 1e9
  const probed = (period: number): number =>
    runWithoutChange(() => createFollowUpCusum({ ratio, threshold: never, period }), normalSource(createRandom(SEED)), CALIBRATION_SLOTS / 5).probedRatio
  return Math.round(solve(1, 4 / ratioOfSlots, 1 - ratioOfSlots, SOLVE_STEPS + 3, period => 1 - probed(period)))
}

function policiesFor (ratioOfSlots: number): Policy[] {
  const period = Math.round(1 / ratioOfSlots)
  const rise = riseFor(ratioOfSlots)
  const followUpPeriod = periodFor(ratioOfSlots)
  return [
    { name: 'deadline, 1 late', range: DEADLINE_RANGE_MS, create: deadlineMs => createDeadline({ schedule: everyNth(period), deadlineMs, consecutive: 1 }) },
    { name: 'deadline, 3 in a row', range: DEADLINE_RANGE_MS, create: deadlineMs => createDeadline({ schedule: everyNth(period), deadlineMs, consecutive: 3 }) },
    { name: 'coin + CuSum', range: CUSUM_RANGE, create: (threshold, random) => createCusum({ schedule: withProbability(ratioOfSlots, random), ratio, threshold }) },
    { name: 'fixed interval + CuSum', range: CUSUM_RANGE, create: threshold => createCusum({ schedule: everyNth(period), ratio, threshold }) },
    { name: 'interval with follow-up + CuSum', range: CUSUM_RANGE, create: threshold => createFollowUpCusum({ period: followUpPeriod, ratio, threshold }) },
    { name: 'DE-CuSum', range: CUSUM_RANGE, create: threshold => createDeCusum({ ratio, threshold, rise, floor: DECUSUM_FLOOR }) }
  ]
}

function calibrate (policy: Policy): number {
  return solve(...policy.range, SLOTS_PER_FALSE_ALARM, SOLVE_STEPS, setting => {
    const random = createRandom(SEED)
    return runWithoutChange(() => policy.create(setting, random), normalSource(random), CALIBRATION_SLOTS).slotsPerAlarm
  })
}

interface DelayRow {
  mean: number
  p95: number
  probes: number
}

function measureChange (create: (random: () => number) => Detector, slowdown: number): DelayRow {
  const random = createRandom(SEED + 1)
  const normal = normalSource(random)
  const slow = slowSource(random, slowdown)
  const runs = Array.from({ length: CHANGE_RUNS }, () => {
    const before = MIN_SLOTS_BEFORE_CHANGE + Math.floor(random() * MIN_SLOTS_BEFORE_CHANGE)
    return runWithChange(create(random), normal, slow, before, MAX_DELAY_SLOTS)
  }).filter((run): run is Detection => run !== undefined)
  const delays = runs.map(run => run.delaySlots).sort((left, right) => left - right)
  const meanOf = (values: number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
  return { mean: meanOf(delays), p95: delays[Math.floor(delays.length * 0.95)]!, probes: meanOf(runs.map(run => run.probes)) }
}

function print (cells: ReadonlyArray<string | number>): void {
  process.stdout.write(`| ${cells.map(cell => typeof cell === 'number' ? cell.toFixed(cell < 10 ? 1 : 0) : cell).join(' | ')} |\n`)
}

function printPolicy (ratioLabel: string, policy: Policy): void {
  const setting = calibrate(policy)
  const random = createRandom(SEED + 2)
  const unchanged = runWithoutChange(() => policy.create(setting, random), normalSource(random), CALIBRATION_SLOTS)
  const bursty = runWithoutChange(() => policy.create(setting, random), burstySource(random), CALIBRATION_SLOTS / 5)
  const rows = SLOWDOWNS.map(slowdown => measureChange(own => policy.create(setting, own), slowdown))
  print([
    ratioLabel, policy.name, unchanged.probedRatio.toFixed(3), unchanged.slotsPerAlarm, bursty.slotsPerAlarm,
    ...rows.flatMap(row => [row.mean, row.p95]),
    rows[1]!.probes
  ])
}

export async function run (): Promise<void> {
  process.stdout.write(`seed ${SEED}; log-normal, median ${MODEL.medianMs} ms, sigma ${MODEL.sigma}; likelihood ratio for x${ASSUMED_SLOWDOWN}; ${CHANGE_RUNS} changes each\n`)
  const delays = SLOWDOWNS.flatMap(slowdown => [`x${slowdown} mean`, 'p95'])
  print(['share', 'way', 'probed', 'slots per false alarm', 'the same, bursty load', ...delays, 'probes to alarm at x2'])
  print(Array.from({ length: 6 + delays.length }, () => '---'))
  printPolicy('1', { name: 'CuSum on every slot (passive, one request per slot)', range: CUSUM_RANGE, create: threshold => createCusum({ schedule: everyNth(1), ratio, threshold }) })
  PROBED_RATIOS.forEach(share => policiesFor(share).forEach(policy => printPolicy(String(share), policy)))
}
