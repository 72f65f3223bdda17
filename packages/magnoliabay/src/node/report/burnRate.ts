/**
 * Burn rates of error budgets over several windows, and alert rules on them. A rate of 1 spends the budget
 * exactly over the period of the objective.
 */
import { HOUR_MS, MINUTE_MS } from './counts'
import type { Tally } from './counts'

export type WindowName = '5m' | '30m' | '1h' | '2h' | '6h' | '1d' | '3d'

export const WINDOW_MS: Record<WindowName, number> = {
  '5m': 5 * MINUTE_MS,
  '30m': 30 * MINUTE_MS,
  '1h': HOUR_MS,
  '2h': 2 * HOUR_MS,
  '6h': 6 * HOUR_MS,
  '1d': 24 * HOUR_MS,
  '3d': 72 * HOUR_MS
}
export const WINDOW_NAMES = Object.keys(WINDOW_MS) as WindowName[]

export type AlertSeverity = 'page' | 'ticket'

export interface AlertRule {
  severity: AlertSeverity
  /** Minimum burn rate in both windows. */
  rate: number
  long: WindowName
  /** Ends the alert soon after the cause has ended. */
  short: WindowName
}

/**
 * A fast burn pages within minutes, a slow one opens a ticket within days. The short window keeps an alert
 * from lasting for hours after its cause has ended; the long one keeps a single bad minute from paging.
 */
export const ALERT_RULES: readonly AlertRule[] = [
  { severity: 'page', rate: 14.4, long: '1h', short: '5m' },
  { severity: 'page', rate: 6, long: '6h', short: '30m' },
  { severity: 'ticket', rate: 3, long: '1d', short: '2h' },
  { severity: 'ticket', rate: 1, long: '3d', short: '6h' }
]

/** No alert fires on fewer requests in the long window: one failure out of three is not an outage. */
const MIN_REQUESTS = 10

export type BurnRates = Record<WindowName, number>

export function burnRate ({ good, bad }: Tally, target: number): number {
  const total = good + bad
  return total === 0 ? 0 : bad / total / (1 - target)
}

export function burnRates (tallyOf: (windowMs: number) => Tally, target: number): BurnRates {
  return Object.fromEntries(WINDOW_NAMES.map(name => [name, burnRate(tallyOf(WINDOW_MS[name]), target)])) as BurnRates
}

/** Returns the most urgent rule that fires, if any. */
export function firingRule (tallyOf: (windowMs: number) => Tally, target: number): AlertRule | undefined {
  const exceedsRate = (window: WindowName, rate: number): boolean => burnRate(tallyOf(WINDOW_MS[window]), target) >= rate
  const hasEnoughRequests = (window: WindowName): boolean => {
    const { good, bad } = tallyOf(WINDOW_MS[window])
    return good + bad >= MIN_REQUESTS
  }
  return ALERT_RULES.find(rule => hasEnoughRequests(rule.long) && exceedsRate(rule.long, rule.rate) && exceedsRate(rule.short, rule.rate))
}
