/** Formats the report as a table for the terminal. */
import type { BurnLine, BurnReport } from '.'
import type { WindowName } from './burnRate'
import { formatTable } from '../commands/table'

const SHOWN_WINDOWS: readonly WindowName[] = ['5m', '1h', '6h', '3d']
const NO_REQUESTS = '-'

export function formatReportTable (report: BurnReport): string {
  const rows = report.lines.map(rowOf)
  const table = formatTable(['team', 'objective', 'target', 'requests', 'kept', ...SHOWN_WINDOWS.map(window => `burn ${window}`), 'alert'], rows)
  const unheard = report.unheard.length === 0 ? [] : ['', `Not counted, since they did not answer: ${report.unheard.join(', ')}`]
  return [table, ...unheard].join('\n')
}

export function formatPercentage (share: number): string {
  return `${(share * 100).toFixed(2)}%`
}

export function formatGoodPercentage ({ tally }: BurnLine): string {
  const total = tally.good + tally.bad
  return total === 0 ? NO_REQUESTS : formatPercentage(tally.good / total)
}

export function formatAlert ({ alert }: BurnLine): string {
  return alert === undefined ? '' : `${alert.severity}: ${alert.rate}x over ${alert.long}`
}

function rowOf (line: BurnLine): string[] {
  const total = line.tally.good + line.tally.bad
  return [
    line.team,
    line.objective,
    formatPercentage(line.target),
    String(total),
    formatGoodPercentage(line),
    ...SHOWN_WINDOWS.map(window => total === 0 ? NO_REQUESTS : line.rates[window].toFixed(2)),
    formatAlert(line)
  ]
}
