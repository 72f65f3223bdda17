/**
 * The fleet as real processes, under load and faults, judged by the brief's eleven promises.
 * `npm run fleet -- --faults kill,store-down --instances 9 --rate 40 --seed 1`
 */
import { parseArgs } from 'node:util'
import { FAULTS } from './fleet/faults'
import type { Fault } from './fleet/faults'
import { computeMeasurements } from './fleet/measurements'
import { checkGuarantees } from './fleet/guarantees'
import { formatRuns, writeReports } from './fleet/report'
import type { FaultRun } from './fleet/report'
import { createWorld } from './fleet/world'

const OPTIONS = {
  faults: { type: 'string', default: 'all' },
  instances: { type: 'string', default: '9' },
  rate: { type: 'string', default: '30' },
  seed: { type: 'string', default: '1' },
  /** Seconds of load before and after the fault. */
  around: { type: 'string', default: '6' },
  out: { type: 'string', default: 'dist/fleet' },
  /** Judge only what needs no clock: for CI. */
  safety: { type: 'boolean', default: false }
} as const

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
  const world = await createWorld({ seed: options.seed, instances: options.instances, rate: options.rate, directory: `${options.out}/${fault.name}` })
  try {
    const loadFromMs = Date.now()
    world.callers.start()
    await pause(options.aroundMs)
    await fault.run(world)
    await pause(options.aroundMs)
    world.callers.stop()
    await world.callers.drained()
    const points = world.observations.calls.map(call => ({
      atSeconds: (call.startedAtMs - loadFromMs) / 1000,
      firstByteMs: (call.firstByteAtMs ?? call.endedAtMs) - call.startedAtMs,
      result: call.result
    }))
    return {
      fault: { name: fault.name, what: fault.what },
      seed: options.seed,
      tookMs: Date.now() - startedMs,
      verdicts: checkGuarantees(world),
      measures: computeMeasurements(world),
      points
    }
  } finally {
    await world.close()
  }
}

async function main (): Promise<void> {
  const { values } = parseArgs({ options: OPTIONS })
  const wanted = values.faults === 'all' ? FAULTS : FAULTS.filter(fault => values.faults.split(',').includes(fault.name))
  if (wanted.length === 0) {
    process.stderr.write(`Say which faults: ${FAULTS.map(fault => fault.name).join(', ')}, or all\n`)
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
  for (const fault of wanted) {
    runs.push(await runFault(fault, options))
    writeReports(options.out, runs)
    process.stdout.write(`${fault.name}: done in ${Math.round(runs.at(-1)!.tookMs / 1000)} s\n`)
  }
  process.stdout.write(`\n${formatRuns(runs)}\n`)
  const judged = runs.flatMap(run => run.verdicts).filter(verdict => !values.safety || verdict.isSafety)
  const broken = judged.filter(verdict => verdict.violations.length > 0).length
  process.stdout.write(`\nfleet: ${judged.length - broken} passed, ${broken} failed\n`)
  process.exit(broken === 0 ? 0 : 1)
}

main()
