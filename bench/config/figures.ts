/** Reads the resource usage of the processes and formats the result table. */
import { request } from 'undici'

export interface Usage {
  residentMb: number
  cpuSeconds: number
  /** Longest event loop delay since the last reading. */
  loopLagMs: number
}

const BYTES_PER_MB = 1_000_000

export async function readUsage (entries: readonly string[]): Promise<Usage[]> {
  return await Promise.all(entries.map(async entry => {
    const res = await request(`http://${entry}/metrics`)
    const text = await res.body.text()
    const valueOf = (name: string): number => Number(new RegExp(`^magnoliabay_${name} (\\S+)$`, 'm').exec(text)?.[1] ?? NaN)
    return {
      residentMb: valueOf('process_resident_memory_bytes') / BYTES_PER_MB,
      cpuSeconds: valueOf('process_cpu_seconds_total'),
      loopLagMs: valueOf('nodejs_eventloop_lag_max_seconds') * 1000
    }
  }))
}

export function percentile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.ceil(fraction * sorted.length) - 1)]!
}

export function formatTable (lines: readonly string[][]): string {
  return ['| measurement | unit | measured | target |', '|---|---|---|---|', ...lines.map(line => `| ${line.join(' | ')} |`)].join('\n')
}
