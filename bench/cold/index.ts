/**
 * `npm run bench -- cold [seed...]`: measures cold starts and idle accelerator time for both deployments, in virtual time,
 * and compares the product's decisions with a naive strategy and a bound.
 */
import { measure } from './measure'
import type { Measurement } from './measure'
import { createNaive } from './naive'
import { createOracle } from './oracle'
import { createProduct } from './product'
import { SITES, createWorkload } from './workload'

const WORKLOAD_DURATION_MS = 2 * 3_600_000
/** Seeds by site, so that the two sites run different workloads. */
const SEEDS: Readonly<Record<string, readonly number[]>> = { shannonside: [11, 12], 'fraser-font': [21, 22] }

export async function run (args: readonly string[]): Promise<void> {
  for (const site of SITES) {
    const seeds = args.length > 0 ? args.map(Number) : SEEDS[site.name]!
    for (const seed of seeds) {
      const workload = createWorkload(site, seed, WORKLOAD_DURATION_MS)
      const results = [
        await measure('naive', createNaive(workload), workload),
        await measure('product', await createProduct(workload), workload),
        await measure('bound', createOracle(workload), workload)
      ]
      const title = `${site.name}, seed ${seed}: ${workload.arrivals.length} requests to ${site.models} models in ${WORKLOAD_DURATION_MS / 3_600_000} h`
      process.stdout.write(`\n${title}\n${tableOf(results)}\n`)
    }
  }
}

function tableOf (results: readonly Measurement[]): string {
  const [naive, product, bound] = results as [Measurement, Measurement, Measurement]
  const ratio = (one: number, other: number): string => (one / other).toFixed(2)
  const rows = results.map(result => [
    result.name, String(result.wakeRequests), `${(100 * result.coldRatio).toFixed(0)} %`, seconds(result.p50Ms), seconds(result.p99Ms),
    seconds(result.worstMs), String(result.refused), result.idleHours.toFixed(2), String(result.loads), `${(100 * result.wastedRatio).toFixed(1)} %`
  ])
  const head = ['', 'wake requests', 'cold', 'p50 s', 'p99 s', 'worst s', 'refused', 'idle accelerator h', 'loads', 'wasted']
  const lines = [head, head.map(() => '---'), ...rows].map(cells => `| ${cells.join(' | ')} |`)
  const ratios = `p99: ${ratio(product.p99Ms, naive.p99Ms)} x naive, ${ratio(product.p99Ms, bound.p99Ms)} x bound; idle: ${ratio(product.idleHours, naive.idleHours)} x naive`
  return [...lines, ratios].join('\n')
}

function seconds (ms: number): string {
  return (ms / 1000).toFixed(2)
}
