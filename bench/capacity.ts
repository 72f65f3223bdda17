/**
 * Slopes for docs/CAPACITY.md: what an instance spends on control with 3 to 100 instances, 6 to 96 engines,
 * and up to 80,000 adapters. Real `serve` processes on loopback, stand-ins in this process, no callers.
 */
import { parseArgs } from 'node:util'
import { createStandInFleet } from '@magnoliabay/standins'
import type { StandInFleet } from '@magnoliabay/standins'
import { createOperatorClient } from '../packages/magnoliabay/src/node/operators/client'
import { createInstanceProcesses } from '../scripts/fleet/processes'
import { FAILURE_DOMAINS, LIST_LAG_MS, REGION, fleetConfigToml } from '../scripts/fleet/fleetConfig'
import { fitLine, sampleProcess, useBetween } from './capacity/sample'
import type { Use } from './capacity/sample'

interface Setup {
  instances: number
  engines: number
  adapters: number
  teams: number
  /** Cells of 16 engines each; 0 for one cell of all. */
  cells: number
}

interface Measured extends Setup {
  /** Mean over the instances, and the worst of them. */
  mean: Use
  worst: Use
  /** Calls of the store a second, each of all instances together. */
  storeReads: number
  storeWrites: number
  storeLeases: number
}

const OPERATOR_KEY = 'op-capacity'
const SETTLE_MS = 8000
const DIRECTORY = 'dist/capacity'
const STARTED_AT_ONCE = 10

const BASE: Setup = { instances: 3, engines: 6, adapters: 0, teams: 5, cells: 0 }
const ENGINES_IN_CELL = 16
/** Enough that links are bounded and notices are handed on. */
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
    const rows: Measured[] = []
    for (const size of sizes) {
      rows.push(await measure(setupOf(name, size), seconds))
      print(name, rows.at(-1)!)
    }
    printSlopes(name, rows)
  }
}

function setupOf (name: keyof Setup, size: number): Setup {
  if (name !== 'cells') return { ...BASE, [name]: size }
  return { ...BASE, cells: size, engines: size * ENGINES_IN_CELL, instances: INSTANCES_WITH_CELLS }
}

async function measure (setup: Setup, seconds: number): Promise<Measured> {
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
    await pause(SETTLE_MS)
    const live = processes.live()
    const before = live.map(instance => sampleProcess(instance.child.pid!))
    const callsBefore = standIns.kv.counter.total()
    await pause(seconds * 1000)
    const uses = live.map((instance, index) => useBetween(before[index]!, sampleProcess(instance.child.pid!)))
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
  const batches = Array.from({ length: Math.ceil(others.length / STARTED_AT_ONCE) }, (_, index) =>
    others.slice(index * STARTED_AT_ONCE, (index + 1) * STARTED_AT_ONCE))
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

function meanOf (uses: readonly Use[]): Use {
  const mean = (pick: (use: Use) => number): number => uses.reduce((sum, use) => sum + pick(use), 0) / uses.length
  return { core: mean(use => use.core), rssMiB: mean(use => use.rssMiB), bytesPerSecond: mean(use => use.bytesPerSecond) }
}

function worstOf (uses: readonly Use[]): Use {
  const worst = (pick: (use: Use) => number): number => Math.max(...uses.map(pick))
  return { core: worst(use => use.core), rssMiB: worst(use => use.rssMiB), bytesPerSecond: worst(use => use.bytesPerSecond) }
}

const percent = (share: number): string => `${(share * 100).toFixed(2)}%`
const kilobytes = (bytes: number): string => `${(bytes / 1000).toFixed(1)} KB/s`

function print (name: keyof Setup, row: Measured): void {
  process.stdout.write([
    `${name}=${row[name]}`.padEnd(18),
    `cpu mean ${percent(row.mean.core)} worst ${percent(row.worst.core)} of a core`,
    `rss mean ${row.mean.rssMiB.toFixed(0)} worst ${row.worst.rssMiB.toFixed(0)} MiB`,
    `bytes mean ${kilobytes(row.mean.bytesPerSecond)} worst ${kilobytes(row.worst.bytesPerSecond)}`,
    `store reads ${row.storeReads.toFixed(2)}/s writes ${row.storeWrites.toFixed(2)}/s leases ${row.storeLeases.toFixed(2)}/s`
  ].join(' | ') + '\n')
}

function printSlopes (name: keyof Setup, rows: readonly Measured[]): void {
  const slopeOf = (pick: (row: Measured) => number): string => {
    const line = fitLine(rows.map(row => ({ x: row[name], y: pick(row) })))
    return `${line.intercept.toPrecision(3)} + ${line.slope.toPrecision(3)} × ${name}`
  }
  process.stdout.write([
    `slopes over ${name}:`,
    `  core share   ${slopeOf(row => row.mean.core)}`,
    `  rss MiB      ${slopeOf(row => row.mean.rssMiB)}`,
    `  bytes/s      ${slopeOf(row => row.mean.bytesPerSecond)}`,
    `  store calls  ${slopeOf(row => row.storeReads + row.storeWrites + row.storeLeases)}`,
    ''
  ].join('\n'))
}
