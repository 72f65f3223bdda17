/**
 * `npm run bench -- config`: nine real processes that use one key-value stand-in. Measures the time from `apply` until
 * a change is active on the last instance, store calls per change and in steady state, and memory and processor time
 * with 80,000 adapters.
 */
import { execFileSync } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createStandInFleet } from '@magnoliabay/standins'
import { createInstanceProcesses } from '../../scripts/fleet/processes'
import { adapterChange, measureActivationMs, baseToml, createFleetClient } from './changes'
import type { FleetClient } from './changes'
import { formatTable, percentile, readUsage } from './figures'
import type { Usage } from './figures'

const INSTANCES = 9
const ADAPTERS = 80_000
const SMALL_CHANGES = 60
const CHANGES_WITH_SILENT_WATCHES = 30
const CHANGES_WITH_ADAPTERS = 20
const STEADY_STATE_DURATION_MS = 10_000
const SETTLE_DELAY_MS = 2000
const OPERATOR_KEY = 'bench-operator'

/** The options that the operators' handbook requires for instances: they keep the young generation of the heap small. */
const NODE_OPTIONS = '--max-semi-space-size=2'

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

export async function run (): Promise<void> {
  process.env.NODE_OPTIONS = NODE_OPTIONS
  execFileSync('npx', ['tsx', 'scripts/build.ts'])
  const directory = mkdtempSync(join(tmpdir(), 'bench-config-'))
  const standIns = await createStandInFleet({ engines: 0, services: [] })
  const processes = createInstanceProcesses({ standIns, directory, operatorKey: OPERATOR_KEY })
  try {
    const starting = Array.from({ length: INSTANCES }, (_, index) => processes.start(`entry-${index + 1}`, index))
    await pause(SETTLE_DELAY_MS)
    const fleet = createFleetClient(processes.live(), OPERATOR_KEY)
    await measureActivationMs(fleet, baseToml(0, 0))
    await Promise.all(starting)
    await pause(SETTLE_DELAY_MS)
    const lines = await measure(fleet, standIns)
    process.stdout.write(`${formatTable(lines)}\n`)
  } finally {
    await processes.stopAll()
    await standIns.close()
    rmSync(directory, { recursive: true, force: true })
  }
}

async function measure (fleet: FleetClient, standIns: Awaited<ReturnType<typeof createStandInFleet>>): Promise<string[][]> {
  const calls = (): number => {
    const { reads, writes, watches, leases } = standIns.kv.counter.total()
    return reads + writes + watches + leases
  }
  const steadyBefore = calls()
  await pause(STEADY_STATE_DURATION_MS)
  const steady = (calls() - steadyBefore) / INSTANCES / (STEADY_STATE_DURATION_MS / 1000)

  const spentBefore = calls()
  const startedMs = performance.now()
  const small = await changeRepeatedly(fleet, SMALL_CHANGES, 0)
  const idleCalls = steady * INSTANCES * (performance.now() - startedMs) / 1000
  const perChange = (calls() - spentBefore - idleCalls) / SMALL_CHANGES

  const silent: number[] = []
  for (let index = 0; index < CHANGES_WITH_SILENT_WATCHES; index += 1) {
    await standIns.kv.faults.set({ watchSilent: false })
    await standIns.kv.faults.set({ watchSilent: true })
    silent.push(await measureActivationMs(fleet, baseToml(1000 + index, 0)))
  }
  await standIns.kv.faults.set({ watchSilent: false })

  const empty = await readUsage(fleet.entries)
  const first = await measureActivationMs(fleet, baseToml(0, ADAPTERS))
  await pause(SETTLE_DELAY_MS)
  const full = await readUsage(fleet.entries)
  const withAdapters = await changeRepeatedly(fleet, CHANGES_WITH_ADAPTERS, ADAPTERS)
  await pause(SETTLE_DELAY_MS)
  const after = await readUsage(fleet.entries)
  const one = await measureActivationMs(fleet, adapterChange(ADAPTERS))
  const changeCpu = cpuBetween(full, after) / CHANGES_WITH_ADAPTERS

  return [
    ['small change, store healthy', 's to the last of nine', formatPercentiles(small), '<= 2 at p99'],
    ['small change, all watches silent', 's to the last of nine', formatPercentiles(silent), '<= 5'],
    ['store calls per small change', 'all nine instances', perChange.toFixed(1), ''],
    ['store calls in steady state', '/s per instance', steady.toFixed(2), '<= 1'],
    [`${ADAPTERS} adapters at once`, 's to the last of nine', (first / 1000).toFixed(2), ''],
    ['one of these adapters changed', 's to the last of nine', (one / 1000).toFixed(2), ''],
    [`small change with ${ADAPTERS} adapters`, 's to the last of nine', formatPercentiles(withAdapters), '<= 2 at p99'],
    ['memory without adapters', 'MB resident, maximum of nine', maxOf(empty.map(usage => usage.residentMb)).toFixed(0), ''],
    [`memory with ${ADAPTERS} adapters`, 'MB resident, maximum of nine', maxOf(full.map(usage => usage.residentMb)).toFixed(0), '<= 128'],
    [`memory after ${CHANGES_WITH_ADAPTERS} more changes`, 'MB resident, maximum of nine', maxOf(after.map(usage => usage.residentMb)).toFixed(0), '<= 128'],
    [`processor time to load ${ADAPTERS} adapters`, 's, mean of nine', cpuBetween(empty, full).toFixed(2), ''],
    [`processor time for a small change with ${ADAPTERS} adapters`, 's, mean of nine', changeCpu.toFixed(3), ''],
    ['longest event loop delay during these changes', 'ms, maximum of nine', maxOf(after.map(usage => usage.loopLagMs)).toFixed(0), '']
  ]
}

async function changeRepeatedly (fleet: FleetClient, times: number, adapters: number): Promise<number[]> {
  const durationsMs: number[] = []
  for (let index = 1; index <= times; index += 1) durationsMs.push(await measureActivationMs(fleet, baseToml(index, adapters)))
  return durationsMs
}

function formatPercentiles (durationsMs: readonly number[]): string {
  const seconds = (fraction: number): string => (percentile(durationsMs, fraction) / 1000).toFixed(2)
  return `p50 ${seconds(0.5)}, p99 ${seconds(0.99)}, n=${durationsMs.length}`
}

function maxOf (values: readonly number[]): number {
  return Math.max(...values)
}

function cpuBetween (before: readonly Usage[], after: readonly Usage[]): number {
  return after.reduce((sum, usage, index) => sum + usage.cpuSeconds - before[index]!.cpuSeconds, 0) / after.length
}
