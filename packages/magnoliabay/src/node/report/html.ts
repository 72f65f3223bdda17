/** Renders the report as a self-contained HTML page with inline styles and charts. */
import { renderBurnChart } from './chart'
import type { BurnLine, BurnReport } from '.'
import { escapeHtml } from './escape'
import { WINDOW_NAMES } from './burnRate'
import { formatAlert, formatPercentage, formatGoodPercentage } from './table'

const STYLE = `
:root { color-scheme: light; --text: #1d2733; --quiet: #5d6b7a; --line: #d8dee6; --fine: #4a7fb5; --slow: #d58a1b; --fast: #b8322a; }
body { font: 15px/1.45 system-ui, sans-serif; color: var(--text); margin: 2rem auto; max-width: 1120px; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin: 0; } h2 { font-size: 1.1rem; margin: 2rem 0 .5rem; }
p { color: var(--quiet); margin: .3rem 0 1rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums; }
th, td { padding: .3rem .6rem; border-bottom: 1px solid var(--line); text-align: right; white-space: nowrap; }
th { font-weight: 600; color: var(--quiet); } .name { text-align: left; }
tr.page td { background: #fbe9e7; } tr.ticket td { background: #fdf3e0; }
.charts { display: grid; grid-template-columns: repeat(auto-fill, minmax(340px, 1fr)); gap: 1rem 1.5rem; }
figure { margin: 0; } figcaption { font-size: .9rem; margin-bottom: .2rem; } svg { width: 100%; height: auto; }
svg text { font-size: 10px; fill: var(--quiet); } .grid { stroke: var(--line); } .budget { stroke: var(--text); stroke-dasharray: 4 3; }
rect.fine { fill: var(--fine); } rect.slow { fill: var(--slow); } rect.fast { fill: var(--fast); }
`

export function renderReportHtml (report: BurnReport): string {
  const teams = [...new Set(report.lines.map(line => line.team))]
  const unheard = report.unheard.length === 0 ? '' : ` Not counted, since they did not answer: ${escapeHtml(report.unheard.join(', '))}.`
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title><style>${STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>${new Date(report.atMs).toISOString().slice(0, 16).replace('T', ' ')} UTC, counts of ${report.instances.length} instances.${unheard}
A rate of 1 spends the error budget exactly over its period; the dashed line marks it.</p>
<div class="scroll">${renderTable(report.lines)}</div>
${teams.map(team => renderTeam(team, report)).join('\n')}
</body></html>
`
}

function renderTable (lines: readonly BurnLine[]): string {
  const head = ['Team', 'Objective', 'Target', 'Requests', 'Kept', ...WINDOW_NAMES, 'Alert']
  const cells = head.map((title, column) => `<th${column < 2 ? ' class="name"' : ''}>${title}</th>`).join('')
  return `<table><thead><tr>${cells}</tr></thead><tbody>${lines.map(renderRow).join('')}</tbody></table>`
}

function renderRow (line: BurnLine): string {
  const total = line.tally.good + line.tally.bad
  const rates = WINDOW_NAMES.map(window => total === 0 ? '–' : line.rates[window].toFixed(2))
  const cells = [formatPercentage(line.target), String(total), formatGoodPercentage(line).replace('-', '–'), ...rates, formatAlert(line)]
  return `<tr class="${line.alert?.severity ?? ''}"><td class="name">${escapeHtml(line.team)}</td><td class="name">${line.objective}</td>${cells.map(cell => `<td>${cell}</td>`).join('')}</tr>`
}

function renderTeam (team: string, report: BurnReport): string {
  const lines = report.lines.filter(line => line.team === team && line.tally.good + line.tally.bad > 0)
  if (lines.length === 0) return ''
  const charts = lines.map(line => `<figure><figcaption>${line.objective}, target ${formatPercentage(line.target)}</figcaption>${renderBurnChart(line, report.atMs)}</figure>`)
  return `<h2>${escapeHtml(team)}</h2><div class="charts">${charts.join('')}</div>`
}
