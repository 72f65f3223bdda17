/**
 * The report on service-level burn: what this instance saw, and what all of them saw together.
 */
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../clock'
import type { ConfigProvider } from '../config'
import { definePeerCall, definePeerNotice } from '../members'
import type { Peers } from '../members'
import { WINDOW_MS, burnRate, burnRates, firingRule } from './burnRate'
import type { AlertRule, BurnRates, WindowName } from './burnRate'
import { createCounts } from './counts'
import type { BucketTally, Counts, SeriesCounts, Tally } from './counts'
import { OBJECTIVE_NAMES, judge, objectiveOf, targetOf } from './objectives'
import type { ObjectiveName, Observation } from './objectives'

export type { Observation } from './objectives'

export interface BurnLine {
  team: string
  objective: ObjectiveName
  /** Share of requests that the objective asks for. */
  target: number
  /** Over three days. */
  tally: Tally
  rates: BurnRates
  alert?: AlertRule
  /** Half hours over three days, the oldest first. */
  history: BucketTally[]
}

export interface BurnReport {
  atMs: number
  /** Instances whose counts are in. */
  instances: string[]
  /** Instances that did not answer: their counts are missing. */
  unheard: string[]
  lines: BurnLine[]
}

export interface SloTracker {
  recordRequest (seen: Observation): void
  /** Over all instances that answer. */
  collect (): Promise<BurnReport>
  /** Gives the counts to a peer: an instance that is replaced would take three days of them with it. */
  handOver (): void
}

export interface SloTrackerOptions {
  cfg: ConfigProvider
  peers: Peers
  registry: Registry
  clock: Clock
}

const reportCounts = definePeerCall<Record<string, never>, { series: SeriesCounts[] }>('report.counts')
const reportHandover = definePeerNotice<{ series: SeriesCounts[] }>('report.handover')
const ASK_TIMEOUT_MS = 3000
/** Windows shown on `/metrics`; recording rules make the others from the counters. */
const METRIC_WINDOWS: readonly WindowName[] = ['5m', '1h', '6h', '3d']

export function createSloTracker (options: SloTrackerOptions): SloTracker {
  const { cfg, peers, clock } = options
  const counts = createCounts(clock.now)
  const objectiveFor = (team: string) => objectiveOf(cfg.active().fleet.objective, cfg.team(team))
  const events = registerMetrics(options, counts, objectiveFor)

  const linesOf = (merged: Counts): BurnLine[] => cfg.active().fleet.team.flatMap(({ name: team }) => OBJECTIVE_NAMES.map(objective => {
    const target = targetOf(objective, objectiveFor(team))
    const tallyOf = (windowMs: number): Tally => merged.sum(team, objective, windowMs)
    return {
      team,
      objective,
      target,
      tally: tallyOf(WINDOW_MS['3d']),
      rates: burnRates(tallyOf, target),
      alert: firingRule(tallyOf, target),
      history: merged.coarse(team, objective)
    }
  }))
  peers.serve(reportCounts, () => ({ series: counts.series() }))
  peers.listen(reportHandover, ({ series }) => counts.merge(series))

  return {
    recordRequest: seen => {
      // A team that the configuration doesn't name can't come in; names from elsewhere must not grow the metrics.
      if (cfg.team(seen.team) === undefined) return
      judge(seen, objectiveFor(seen.team)).forEach(({ objective, isGood }) => {
        counts.add(seen.team, objective, isGood)
        events.inc({ team: seen.team, objective, result: isGood ? 'good' : 'bad' })
      })
    },
    collect: async () => {
      const merged = createCounts(clock.now)
      const answers = await Promise.all(peers.members().map(async ({ id }) => ({ id, answer: await peers.call(id, reportCounts, {}, { timeoutMs: ASK_TIMEOUT_MS }) })))
      answers.forEach(({ answer }) => { if (answer.ok) merged.merge(answer.val.series) })
      return {
        atMs: clock.now(),
        instances: answers.filter(({ answer }) => answer.ok).map(({ id }) => id),
        unheard: answers.filter(({ answer }) => answer.err).map(({ id }) => id),
        lines: linesOf(merged)
      }
    },
    handOver: () => {
      const heir = peers.members().find(member => member.id !== peers.self.id && !member.leaving && peers.isConnected(member.id))
      if (heir !== undefined) peers.notify(heir.id, reportHandover, { series: counts.series() })
    }
  }
}

function registerMetrics ({ cfg, registry }: SloTrackerOptions, counts: Counts, objectiveFor: (team: string) => Parameters<typeof targetOf>[1]): Counter<'team' | 'objective' | 'result'> {
  const burn = new Gauge({
    name: 'magnoliabay_slo_burn_rate',
    help: 'How fast the error budget burns, as this instance sees it; 1 spends it exactly over its period.',
    labelNames: ['team', 'objective', 'window'],
    registers: [registry],
    collect () {
      this.reset()
      cfg.active().fleet.team.forEach(({ name: team }) => OBJECTIVE_NAMES.forEach(objective => METRIC_WINDOWS.forEach(window => {
        const target = targetOf(objective, objectiveFor(team))
        burn.set({ team, objective, window }, burnRate(counts.sum(team, objective, WINDOW_MS[window]), target))
      })))
    }
  })
  return new Counter({
    name: 'magnoliabay_slo_requests_total',
    help: 'Requests that count for an objective, by whether they kept to it.',
    labelNames: ['team', 'objective', 'result'],
    registers: [registry]
  })
}
