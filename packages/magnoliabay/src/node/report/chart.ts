/** A chart of one burn rate over three days, as SVG. */
import { burnRate } from './burnRate'
import { COARSE_BUCKET_MS, HOUR_MS } from './counts'
import { escapeHtml } from './escape'
import type { BurnLine } from '.'

const WIDTH = 420
const HEIGHT = 130
const LEFT = 38
const RIGHT = 8
const TOP = 10
const BOTTOM = 22
const BUCKETS = 144
const HOURS_BETWEEN_TICKS = 24
/** Rates above this are drawn at the top edge: what matters there is that they are far above 1. */
const TOP_RATE = 20
/** Square root, so that both a slow burn around 1 and a fast one around 14 can be read. */
const heightOf = (rate: number): number => Math.sqrt(Math.min(rate, TOP_RATE) / TOP_RATE)
const GRID_RATES: readonly number[] = [0, 1, 6, 14.4]

const xOf = (age: number): number => WIDTH - RIGHT - age / BUCKETS * (WIDTH - LEFT - RIGHT)
const yOf = (rate: number): number => HEIGHT - BOTTOM - heightOf(rate) * (HEIGHT - TOP - BOTTOM)
const at = (value: number): string => value.toFixed(1)

export function drawBurn (line: BurnLine, nowMs: number): string {
  const current = Math.floor(nowMs / COARSE_BUCKET_MS)
  const bars = line.history
    .map(([bucket, good, bad]) => ({ age: current - bucket, rate: burnRate({ good, bad }, line.target) }))
    .filter(({ age }) => age >= 0 && age < BUCKETS)
    .map(({ age, rate }) => drawBar(age, rate))
  const title = `Burn rate of ${line.objective} for ${line.team} over three days`
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeHtml(title)}">${drawGrid()}${bars.join('')}${drawTimes()}</svg>`
}

function drawBar (age: number, rate: number): string {
  const width = (WIDTH - LEFT - RIGHT) / BUCKETS
  const top = Math.min(yOf(rate), yOf(0) - 1)
  const kind = rate >= 6 ? 'fast' : rate >= 1 ? 'slow' : 'fine'
  return `<rect class="${kind}" x="${at(xOf(age) - width)}" y="${at(top)}" width="${at(width * 0.85)}" height="${at(yOf(0) - top)}"/>`
}

function drawGrid (): string {
  return GRID_RATES.map(rate => {
    const y = at(yOf(rate))
    const kind = rate === 1 ? 'budget' : 'grid'
    return `<line class="${kind}" x1="${LEFT}" x2="${WIDTH - RIGHT}" y1="${y}" y2="${y}"/><text x="${LEFT - 5}" y="${at(yOf(rate) + 3.5)}" text-anchor="end">${rate}</text>`
  }).join('')
}

function drawTimes (): string {
  const bucketsPerTick = HOURS_BETWEEN_TICKS * HOUR_MS / COARSE_BUCKET_MS
  return Array.from({ length: BUCKETS / bucketsPerTick + 1 }, (_, tick) => {
    const label = tick === 0 ? 'now' : `${tick * HOURS_BETWEEN_TICKS} h ago`
    const anchor = tick === 0 ? 'end' : tick === BUCKETS / bucketsPerTick ? 'start' : 'middle'
    return `<text x="${at(xOf(tick * bucketsPerTick))}" y="${HEIGHT - 7}" text-anchor="${anchor}">${label}</text>`
  }).join('')
}
