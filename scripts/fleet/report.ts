/** Reports of the runs: as text, as JSON and as an HTML page with plots. */
import { writeFileSync } from 'node:fs'
import type { Fault } from './faults'
import type { Measurements } from './measurements'
import type { GuaranteeResult } from './guarantees'
import type { CallRecord } from './records'

export interface FaultRun {
  fault: Pick<Fault, 'name' | 'what'>
  seed: number
  tookMs: number
  verdicts: readonly GuaranteeResult[]
  measures: Measurements
  /** Points of the plot: seconds since the start of the load, milliseconds to the first byte. */
  points: ReadonlyArray<{ atSeconds: number, firstByteMs: number, result: CallRecord['result'] }>
}

const MAX_SHOWN_VIOLATIONS = 3

export function formatRuns (runs: readonly FaultRun[]): string {
  const promises = runs[0]?.verdicts.map(verdict => verdict.promise) ?? []
  const width = Math.max(...promises.map(promise => promise.length))
  const table = promises.map((promise, row) => {
    const cells = runs.map(run => cellOf(run.verdicts[row]!))
    return `${promise.padEnd(width)} ${cells.map((cell, index) => cell.padStart(Math.max(9, runs[index]!.fault.name.length + 1))).join('')}`
  })
  const head = `${'promise: violations/checked'.padEnd(width)} ${runs.map(run => run.fault.name.padStart(Math.max(9, run.fault.name.length + 1))).join('')}`
  const violations = runs.flatMap(run => run.verdicts.flatMap(verdict => verdict.violations.slice(0, MAX_SHOWN_VIOLATIONS)
    .map(violation => `  ${run.fault.name} (seed ${run.seed}): ${verdict.promise}: ${violation}`)))
  const measures = runs.map(run => `  ${run.fault.name.padEnd(20)} ${formatMeasures(run.measures)}`)
  return [head, ...table, '', 'violations:', ...(violations.length === 0 ? ['  none'] : violations), '', 'measures:', ...measures].join('\n')
}

function cellOf (verdict: GuaranteeResult): string {
  return `${verdict.violations.length}/${verdict.checked}`
}

function formatMeasures (measures: Measurements): string {
  const { coldStart, warmStart } = measures
  return [
    `calls ${measures.calls}`,
    `cold p50/p99 ${coldStart.p50Ms}/${coldStart.p99Ms} ms (${coldStart.count})`,
    `warm p50/p95 ${warmStart.p50Ms}/${warmStart.p95Ms} ms`,
    `idle ${(measures.idleShare * 100).toFixed(0)}%`,
    `worst team ${measures.worstTeam}`,
    `wrongful ${measures.wrongfulRefusals}`,
    `results ${JSON.stringify(measures.byResult)} codes ${JSON.stringify(measures.byCode)}`
  ].join(', ')
}

export function writeReports (directory: string, runs: readonly FaultRun[]): void {
  writeFileSync(`${directory}/report.txt`, `${formatRuns(runs)}\n`)
  writeFileSync(`${directory}/report.json`, JSON.stringify(runs, null, 1))
  writeFileSync(`${directory}/report.html`, formatPage(runs))
}

const escape = (text: string): string => text.replace(/[&<>]/g, char => ({ '&': '&amp;', '<': '&lt;', '>': '&gt;' })[char]!)

function formatPage (runs: readonly FaultRun[]): string {
  const promises = runs[0]?.verdicts.map(verdict => verdict.promise) ?? []
  const head = `<tr><th>promise</th>${runs.map(run => `<th title="${escape(run.fault.what)}">${escape(run.fault.name)}</th>`).join('')}</tr>`
  const rows = promises.map((promise, row) => `<tr><td>${escape(promise)}</td>${runs.map(run => {
    const verdict = run.verdicts[row]!
    const kind = verdict.violations.length > 0 ? 'bad' : 'good'
    return `<td class="${kind}" title="${escape(verdict.violations.slice(0, MAX_SHOWN_VIOLATIONS).join('\n'))}">${cellOf(verdict)}</td>`
  }).join('')}</tr>`)
  const plots = runs.map(run => `<h3>${escape(run.fault.name)}: ${escape(run.fault.what)}</h3>${plot(run)}<p>${escape(formatMeasures(run.measures))}</p>`)
  return `<!doctype html><meta charset="utf-8"><title>fleet check</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}td:first-child{text-align:left}.bad{background:#f8b4b4}.good{background:#d9f2d9}p{color:#444;max-width:70em}</style>
<h1>Promises by fault: violations/checked</h1><table>${head}${rows.join('')}</table>
<h2>Time to the first byte (ms, log scale) over the run (s)</h2>${plots.join('')}`
}

const PLOT = { width: 900, height: 160, left: 45, bottom: 18 }
const RESULT_COLOURS: Record<CallRecord['result'], string> = {
  whole: '#2a6fdb', refused: '#e0a100', cut: '#d11', wrong: '#d11', unanswered: '#d11', 'no-connection': '#888'
}
const GRID_MS: readonly number[] = [10, 100, 1000, 10_000]

function plot (run: FaultRun): string {
  const lastSecond = Math.max(1, ...run.points.map(point => point.atSeconds))
  const xOf = (seconds: number): number => PLOT.left + seconds / lastSecond * (PLOT.width - PLOT.left)
  const yOf = (ms: number): number => (PLOT.height - PLOT.bottom) * (1 - Math.log10(Math.max(1, ms)) / Math.log10(20_000))
  const grid = GRID_MS.map(ms => `<line x1="${PLOT.left}" x2="${PLOT.width}" y1="${yOf(ms)}" y2="${yOf(ms)}" stroke="#ddd"/><text x="0" y="${yOf(ms) + 4}" font-size="10">${ms}</text>`)
  const dots = run.points.map(point => `<circle cx="${xOf(point.atSeconds).toFixed(1)}" cy="${yOf(point.firstByteMs).toFixed(1)}" r="1.6" fill="${RESULT_COLOURS[point.result]}"/>`)
  const seconds = [0, Math.round(lastSecond / 2), Math.round(lastSecond)].map(second => `<text x="${xOf(second) - 8}" y="${PLOT.height - 3}" font-size="10">${second}</text>`)
  return `<svg width="${PLOT.width}" height="${PLOT.height}">${grid.join('')}${dots.join('')}${seconds.join('')}</svg>`
}
