/**
 * Measures the slopes for docs/CAPACITY.md: the control overhead of an instance with 3 to 100 instances, 6 to 96 engines
 * and up to 80,000 adapters. Runs real `serve` processes on loopback and stand-ins in this process, without callers.
 */
import { parseArgs } from 'node:util'
import { createStandInFleet } from '@magnoliabay/standins'
import type { StandInFleet } from '@magnoliabay/standins'
import { createOperatorClient } from '../packages/magnoliabay/src/node/operators/client'
import { createInstanceProcesses } from '../scripts/fleet/processes'
import { FAILURE_DOMAINS, LIST_LAG_MS, REGION, fleetConfigToml } from '../scripts/fleet/fleetConfig'
import { fitLine, sampleProcess, resourceUseBetween } from './capacity/sample'
import type { ResourceUse } from './capacity/sample'

interface Setup {
  instances: number
  engines: number
  adapters: number
  teams: number
  /** Number of cells of 16 engines each; 0 for one cell with all engines. */
  cells: number
}

interface Measurement extends Setup {
  /** Mean and maximum over the instances. */
  mean: ResourceUse
  worst: ResourceUse
  /** Store calls per second, summed over all instances. */
  storeReads: number
  storeWrites: number
  storeLeases: number
}

const OPERATOR_KEY = 'op-capacity'
const SETTLE_DELAY_MS = 8000
const DIRECTORY = 'dist/capacity'
const START_BATCH_SIZE = 10

const BASE_SETUP: Setup = { instances: 3, engines: 6, adapters: 0, teams: 5, cells: 0 }
const ENGINES_IN_CELL = 16
/** Enough instances that the number of links is limited and notices are forwarded. */
const INSTANCES_WITH_CELLS = 20

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

export async function run (args: readonly string[]): Promise<void> {
  const { values } = parseArgs({
    args: [...args],
    options: {
      instances: { type: 'string', default: '3,9,30,100' },
      engines: { type: 'string', default: '6,24,96' },
      adapters: { type: 'string', default: '0,10000,80000' },
      teams: { type: 'string', default: '5,50,500' },
      cells: { type: 'string', default: '1,3,6' },
      seconds: { type: 'string', default: '15' }
    }
  })
  const listOf = (text: string): number[] => text.split(',').filter(item => item.length > 0).map(Number)
  const seconds = Number(values.seconds)
  const sweeps: Array<{ name: keyof Setup, sizes: number[] }> = [
    { name: 'instances', sizes: listOf(values.instances) },
    { name: 'engines', sizes: listOf(values.engines) },
    { name: 'adapters', sizes: listOf(values.adapters) },
    { name: 'teams', sizes: listOf(values.teams) },
    { name: 'cells', sizes: listOf(values.cells) }
  ]
  for (const { name, sizes } of sweeps.filter(sweep => sweep.sizes.length > 0)) {
    const rows: Measurement[] = []
    for (const size of sizes) {
      rows.push(await measure(setupOf(name, size), seconds))
      print(name, rows.at(-1)!)
    }
    printSlopes(name, rows)
  }
}

function setupOf (name: keyof Setup, size: number): Setup {
  if (name !== 'cells') return { ...BASE_SETUP, [name]: size }
  return { ...BASE_SETUP, cells: size, engines: size * ENGINES_IN_CELL, instances: INSTANCES_WITH_CELLS }
}

async function measure (setup: Setup, seconds: number): Promise<Measurement> {
  const standIns = await createStandInFleet({
    region: REGION,
    failureDomains: FAILURE_DOMAINS,
    engines: setup.engines,
    services: ['notes'],
    listLagMs: LIST_LAG_MS
  })
  const processes = createInstanceProcesses({ standIns, directory: DIRECTORY, operatorKey: OPERATOR_KEY })
  try {
    await startAll(setup, standIns, processes)
    await pause(SETTLE_DELAY_MS)
    const live = processes.live()
    const before = live.map(instance => sampleProcess(instance.child.pid!))
    const callsBefore = standIns.kv.counter.total()
    await pause(seconds * 1000)
    const uses = live.map((instance, index) => resourceUseBetween(before[index]!, sampleProcess(instance.child.pid!)))
    const calls = standIns.kv.counter.total()
    return {
      ...setup,
      mean: meanOf(uses),
      worst: worstOf(uses),
      storeReads: (calls.reads - callsBefore.reads) / seconds,
      storeWrites: (calls.writes - callsBefore.writes) / seconds,
      storeLeases: (calls.leases - callsBefore.leases) / seconds
    }
  } finally {
    await processes.stopAll()
    await standIns.close()
  }
}

async function startAll (setup: Setup, standIns: StandInFleet, processes: ReturnType<typeof createInstanceProcesses>): Promise<void> {
  const first = processes.start('entry-1', 1)
  await pause(1500)
  const operators = createOperatorClient({ address: processes.live()[0]!.operatorAddress, key: OPERATOR_KEY })
  await operators.applyConfig(configOf(setup))
  await first
  const others = Array.from({ length: setup.instances - 1 }, (_, index) => index + 2)
  const batches = Array.from({ length: Math.ceil(others.length / START_BATCH_SIZE) }, (_, index) =>
    others.slice(index * START_BATCH_SIZE, (index + 1) * START_BATCH_SIZE))
  for (const batch of batches) {
    await Promise.all(batch.map(number => processes.start(`entry-${number}`, number)))
  }
}

function configOf (setup: Setup): string {
  const adapters = Array.from({ length: setup.adapters }, (_, index) =>
    `[[adapter]]\nname = "adapter-${index}"\nmodel = "model-0${1 + index % 9}"\nmemoryMiB = 128\n`)
  const teams = Array.from({ length: Math.max(0, setup.teams - 5) }, (_, index) =>
    `[[team]]\nname = "team-${index}"\ntokensPerSecond = 100\nburstTokens = 400\n`)
  const cells = setup.cells === 0 ? [] : [`cells = ${setup.cells}`]
  return [...cells, fleetConfigToml(), ...adapters, ...teams].join('\n')
}

function meanOf (uses: readonly ResourceUse[]): ResourceUse {
  const mean = (pick: (use: ResourceUse) => number): number => uses.reduce((sum, use) => sum + pick(use), 0) / uses.length
  return { coreRatio: mean(use => use.coreRatio), rssMiB: mean(use => use.rssMiB), bytesPerSecond: mean(use => use.bytesPerSecond) }
}

function worstOf (uses: readonly ResourceUse[]): ResourceUse {
  const worst = (pick: (use: ResourceUse) => number): number => Math.max(...uses.map(pick))
  return { coreRatio: worst(use => use.coreRatio), rssMiB: worst(use => use.rssMiB), bytesPerSecond: worst(use => use.bytesPerSecond) }
}

const percent = (ratio: number): string => `${(ratio * 100).toFixed(2)}%`
const kilobytesPerSecond = (bytes: number): string => `${(bytes / 1000).toFixed(1)} KB/s`

function print (name: keyof Setup, row: Measurement): void {
  process.stdout.write([
    `${name}=${row[name]}`.padEnd(18),
    `cpu mean ${percent(row.mean.coreRatio)} worst ${percent(row.worst.coreRatio)} of a core`,
    `rss mean ${row.mean.rssMiB.toFixed(0)} worst ${row.worst.rssMiB.toFixed(0)} MiB`,
    `bytes mean ${kilobytesPerSecond(row.mean.bytesPerSecond)} worst ${kilobytesPerSecond(row.worst.bytesPerSecond)}`,
    `store reads ${row.storeReads.toFixed(2)}/s writes ${row.storeWrites.toFixed(2)}/s leases ${row.storeLeases.toFixed(2)}/s`
  ].join(' | ') + '\n')
}

function printSlopes (name: keyof Setup, rows: readonly Measurement[]): void {
  const slopeOf = (pick: (row: Measurement) => number): string => {
    const line = fitLine(rows.map(row => ({ x: row[name], y: pick(row) })))
    return `${line.intercept.toPrecision(3)} + ${line.slope.toPrecision(3)} × ${name}`
  }
  process.stdout.write([
    `slopes over ${name}:`,
    `  core share   ${slopeOf(row => row.mean.coreRatio)}`,
    `  rss MiB      ${slopeOf(row => row.mean.rssMiB)}`,
    `  bytes/s      ${slopeOf(row => row.mean.bytesPerSecond)}`,
    `  store calls  ${slopeOf(row => row.storeReads + row.storeWrites + row.storeLeases)}`,
    ''
  ].join('\n'))
}
