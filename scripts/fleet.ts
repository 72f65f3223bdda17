/**
 * Runs a fleet of real processes under load and faults, and checks the guarantees; beside them streams on the users' platform.
 * `npm run fleet -- --faults kill,store-down --instances 9 --rate 40 --seed 1`
 */
import { parseArgs } from 'node:util'
import { FAULTS } from './fleet/faults'
import type { Fault } from './fleet/faults'
import { computeMeasurements } from './fleet/measurements'
import { checkGuarantees } from './fleet/guarantees'
import { formatRuns, writeReports } from './fleet/report'
import type { FaultRun } from './fleet/report'
import { createHarness } from './fleet/harness'
import { runCrashingPromptParts } from './fleet/crashingPromptParts'
import { runOddAnswers } from './fleet/oddAnswers'
import type { PlatformRunOptions } from './fleet/platformInstances'
import { runRefusedTwice } from './fleet/refusedTwice'
import { runFixedRestarts, runRestarts } from './fleet/restartOfAll'
import { runShutdowns } from './fleet/shutdowns'
import { runStreamVersions } from './fleet/streamVersions'
import type { GuaranteeResult } from './fleet/guarantees'

const OPTIONS = {
  faults: { type: 'string', default: 'all' },
  instances: { type: 'string', default: '9' },
  rate: { type: 'string', default: '30' },
  seed: { type: 'string', default: '1' },
  /** Load before and after the fault, in seconds. */
  around: { type: 'string', default: '6' },
  out: { type: 'string', default: 'dist/fleet' },
  /** Counts only checks that do not depend on timing, for CI. */
  safety: { type: 'boolean', default: false }
} as const

/** The runs on the users' platform, beside the faults of the fleet. */
const PLATFORM_RUNS: Readonly<Record<string, (options: PlatformRunOptions) => Promise<GuaranteeResult[]>>> = {
  'stream-versions': runStreamVersions,
  'crashing-prompt-parts': runCrashingPromptParts,
  'odd-answers': runOddAnswers,
  'refused-twice': runRefusedTwice,
  shutdowns: runShutdowns,
  'restart-of-all': runRestarts,
  'restart-cases': runFixedRestarts
}

const MAX_PLATFORM_INSTANCES = 5

interface RunOptions {
  instances: number
  rate: number
  seed: number
  aroundMs: number
  out: string
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

async function runFault (fault: Fault, options: RunOptions): Promise<FaultRun> {
  const startedMs = Date.now()
  const harness = await createHarness({ seed: options.seed, instances: options.instances, rate: options.rate, directory: `${options.out}/${fault.name}` })
  try {
    const loadStartedMs = Date.now()
    harness.callers.start()
    await pause(options.aroundMs)
    await fault.run(harness)
    await pause(options.aroundMs)
    harness.callers.stop()
    await harness.callers.waitForOpenCalls()
    const points = harness.observations.calls.map(call => ({
      atSeconds: (call.startedAtMs - loadStartedMs) / 1000,
      firstByteMs: (call.firstByteAtMs ?? call.endedAtMs) - call.startedAtMs,
      result: call.result
    }))
    return {
      fault: { name: fault.name, what: fault.what },
      seed: options.seed,
      tookMs: Date.now() - startedMs,
      verdicts: checkGuarantees(harness),
      measures: computeMeasurements(harness),
      points
    }
  } finally {
    await harness.close()
  }
}

function printVerdict (run: string, { promise, checked, violations }: GuaranteeResult): void {
  process.stdout.write(`${run}: ${promise}: ${violations.length}/${checked}\n${violations.map(violation => `  ${violation}\n`).join('')}`)
}

async function main (): Promise<void> {
  const { values } = parseArgs({ options: OPTIONS })
  const names = values.faults === 'all' ? [...FAULTS.map(fault => fault.name), ...Object.keys(PLATFORM_RUNS)] : values.faults.split(',')
  const selected = FAULTS.filter(fault => names.includes(fault.name))
  const platformRuns = Object.entries(PLATFORM_RUNS).filter(([name]) => names.includes(name))
  if (selected.length === 0 && platformRuns.length === 0) {
    process.stderr.write(`unknown value of --faults; expected all, or a list of: ${[...FAULTS.map(fault => fault.name), ...Object.keys(PLATFORM_RUNS)].join(', ')}\n`)
    process.exit(2)
  }
  const options: RunOptions = {
    instances: Number(values.instances),
    rate: Number(values.rate),
    seed: Number(values.seed),
    aroundMs: Number(values.around) * 1000,
    out: values.out
  }
  const runs: FaultRun[] = []
  for (const fault of selected) {
    runs.push(await runFault(fault, options))
    writeReports(options.out, runs)
    process.stdout.write(`${fault.name}: completed in ${Math.round(runs.at(-1)!.tookMs / 1000)} s\n`)
  }
  if (runs.length > 0) process.stdout.write(`\n${formatRuns(runs)}\n`)
  const platformVerdicts: GuaranteeResult[] = []
  for (const [name, run] of platformRuns) {
    const verdicts = await run({ seed: options.seed, instances: Math.min(options.instances, MAX_PLATFORM_INSTANCES), directory: `${options.out}/${name}` })
    verdicts.forEach(verdict => printVerdict(name, verdict))
    platformVerdicts.push(...verdicts)
  }
  const verdicts = [...runs.flatMap(run => run.verdicts), ...platformVerdicts].filter(verdict => !values.safety || verdict.isSafety)
  const failed = verdicts.filter(verdict => verdict.violations.length > 0).length
  process.stdout.write(`\nfleet: ${verdicts.length - failed} passed, ${failed} failed\n`)
  process.exit(failed === 0 ? 0 : 1)
}

main()
