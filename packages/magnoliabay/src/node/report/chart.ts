/** Renders a burn rate over three days as an SVG chart. */
import { burnRate } from './burnRate'
import { COARSE_BUCKET_MS, HOUR_MS } from './counts'
import { escapeHtml } from './escape'
import type { BurnLine } from '.'

const WIDTH = 420
const HEIGHT = 130
const MARGIN_LEFT = 38
const MARGIN_RIGHT = 8
const MARGIN_TOP = 10
const MARGIN_BOTTOM = 22
const BUCKET_COUNT = 144
const HOURS_BETWEEN_TICKS = 24
/** Higher rates are drawn at the top edge: they are far above 1, and the exact value matters little. */
const MAX_DRAWN_RATE = 20
/** Square-root scale, so that both a slow burn around 1 and a fast one around 14 are readable. */
const relativeHeightOf = (rate: number): number => Math.sqrt(Math.min(rate, MAX_DRAWN_RATE) / MAX_DRAWN_RATE)
const GRID_RATES: readonly number[] = [0, 1, 6, 14.4]

const xOf = (age: number): number => WIDTH - MARGIN_RIGHT - age / BUCKET_COUNT * (WIDTH - MARGIN_LEFT - MARGIN_RIGHT)
const yOf = (rate: number): number => HEIGHT - MARGIN_BOTTOM - relativeHeightOf(rate) * (HEIGHT - MARGIN_TOP - MARGIN_BOTTOM)
const formatCoordinate = (value: number): string => value.toFixed(1)

export function renderBurnChart (line: BurnLine, nowMs: number): string {
  const current = Math.floor(nowMs / COARSE_BUCKET_MS)
  const bars = line.history
    .map(([bucket, good, bad]) => ({ age: current - bucket, rate: burnRate({ good, bad }, line.target) }))
    .filter(({ age }) => age >= 0 && age < BUCKET_COUNT)
    .map(({ age, rate }) => renderBar(age, rate))
  const title = `Burn rate of ${line.objective} for ${line.team} over three days`
  return `<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeHtml(title)}">${renderGrid()}${bars.join('')}${renderTimeAxis()}</svg>`
}

function renderBar (age: number, rate: number): string {
  const width = (WIDTH - MARGIN_LEFT - MARGIN_RIGHT) / BUCKET_COUNT
  const top = Math.min(yOf(rate), yOf(0) - 1)
  const className = rate >= 6 ? 'fast' : rate >= 1 ? 'slow' : 'fine'
  return `<rect class="${className}" x="${formatCoordinate(xOf(age) - width)}" y="${formatCoordinate(top)}" width="${formatCoordinate(width * 0.85)}" height="${formatCoordinate(yOf(0) - top)}"/>`
}

function renderGrid (): string {
  return GRID_RATES.map(rate => {
    const y = formatCoordinate(yOf(rate))
    const className = rate === 1 ? 'budget' : 'grid'
    return `<line class="${className}" x1="${MARGIN_LEFT}" x2="${WIDTH - MARGIN_RIGHT}" y1="${y}" y2="${y}"/><text x="${MARGIN_LEFT - 5}" y="${formatCoordinate(yOf(rate) + 3.5)}" text-anchor="end">${rate}</text>`
  }).join('')
}

function renderTimeAxis (): string {
  const bucketsPerTick = HOURS_BETWEEN_TICKS * HOUR_MS / COARSE_BUCKET_MS
  return Array.from({ length: BUCKET_COUNT / bucketsPerTick + 1 }, (_, tick) => {
    const label = tick === 0 ? 'now' : `${tick * HOURS_BETWEEN_TICKS} h ago`
    const anchor = tick === 0 ? 'end' : tick === BUCKET_COUNT / bucketsPerTick ? 'start' : 'middle'
    return `<text x="${formatCoordinate(xOf(tick * bucketsPerTick))}" y="${HEIGHT - 7}" text-anchor="${anchor}">${label}</text>`
  }).join('')
}
