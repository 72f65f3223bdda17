/**
 * `npm run bench -- allowance`: compares allowances shared by nine instances with a static split and a central bucket, and
 * measures the fairness of the queue. Runs the product's code in virtual time with an in-memory network and store.
 */
import { parseArgs } from 'node:util'
import { DISCIPLINES, runFairness } from './fairness'
import { runPolicy } from './run'
import type { Outcome } from './run'
import { POLICIES } from './policies'
import type { PolicyName } from './policies'

const SEEDS = [1, 2, 3]
const HEALTHY_MS = 60_000
const DOWN_MS = 60_000

export async function run (args: readonly string[]): Promise<void> {
  const { values } = parseArgs({ args: [...args], options: { seeds: { type: 'string' } } })
  const seeds = values.seeds === undefined ? SEEDS : values.seeds.split(',').map(Number)
  print(`seeds ${seeds.join(', ')}; ${HEALTHY_MS / 1000} s with the store, ${DOWN_MS / 1000} s without`)
  print('| policy | phase | requests | refused | wrongful | of teams within rate | flooding team, part of its rate | overspend | store calls | peer messages | decision p50, p99 ms |')
  print('|---|---|---|---|---|---|---|---|---|---|---|')
  for (const policy of Object.keys(POLICIES) as PolicyName[]) {
    const runs: Outcome[][] = []
    for (const seed of seeds) runs.push([...await runPolicy({ policy, seed, healthyMs: HEALTHY_MS, downMs: DOWN_MS })])
    runs[0]!.forEach((_, phase) => print(rowOf(runs.map(outcomes => outcomes[phase]!))))
  }
  print('')
  print('| queue | worst p95 wait, ms | team | refused |')
  print('|---|---|---|---|')
  for (const discipline of DISCIPLINES) {
    for (const seed of seeds) {
      const { name, worstP95Ms, worstTeam, refused } = await runFairness(discipline, seed)
      print(`| ${name}, seed ${seed} | ${worstP95Ms.toFixed(0)} | ${worstTeam} | ${refused} |`)
    }
  }
}

function rowOf (outcomes: readonly Outcome[]): string {
  const sum = (of: (outcome: Outcome) => number): number => outcomes.reduce((total, outcome) => total + of(outcome), 0)
  const max = (of: (outcome: Outcome) => number): number => Math.max(...outcomes.map(of))
  const formatRatio = (count: number, total: number): string => `${count} (${(100 * count / total).toFixed(3)} %)`
  const requests = sum(outcome => outcome.requests)
  const cells = [
    outcomes[0]!.policy,
    outcomes[0]!.phase,
    requests,
    sum(outcome => outcome.refused),
    formatRatio(sum(outcome => outcome.wrongful), requests),
    formatRatio(sum(outcome => outcome.wrongfulWithinRate), sum(outcome => outcome.withinRate)),
    `${(100 * sum(outcome => outcome.floodRatio) / outcomes.length).toFixed(1)} %`,
    max(outcome => outcome.overspend).toFixed(3),
    sum(outcome => outcome.storeCalls),
    sum(outcome => outcome.peerMessages),
    `${max(outcome => outcome.p50Ms).toFixed(1)}, ${max(outcome => outcome.p99Ms).toFixed(1)}`
  ]
  return `| ${cells.join(' | ')} |`
}

function print (line: string): void {
  process.stdout.write(`${line}\n`)
}
