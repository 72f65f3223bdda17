/** Report on error-budget burn, from the counts of this instance and of all instances. */
import * as v from 'valibot'
import { Counter, Gauge } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Clock } from '../clock'
import type { ConfigProvider } from '../config'
import { NO_BODY, definePeerCall, definePeerNotice } from '../members'
import type { Peers } from '../members'
import { WINDOW_MS, burnRate, burnRates, firingRule } from './burnRate'
import type { AlertRule, BurnRates, WindowName } from './burnRate'
import { createCounts, seriesCountsSchema } from './counts'
import type { BucketTally, Counts, SeriesCounts, Tally } from './counts'
import { OBJECTIVE_NAMES, evaluateRequest, objectiveOf, targetOf } from './objectives'
import type { ObjectiveName, Observation } from './objectives'

export type { Observation } from './objectives'

export interface BurnLine {
  team: string
  objective: ObjectiveName
  /** Required fraction of good requests. */
  target: number
  /** Counts over three days. */
  tally: Tally
  rates: BurnRates
  alert?: AlertRule
  /** Half-hour buckets over three days, the oldest first. */
  history: BucketTally[]
}

export interface BurnReport {
  atMs: number
  /** Instances whose counts are included. */
  instances: string[]
  /** Instances that did not respond, so their counts are missing. */
  unheard: string[]
  lines: BurnLine[]
}

export interface SloTracker {
  recordRequest (observation: Observation): void
  /** Builds the report from the counts of all instances that respond. */
  collect (): Promise<BurnReport>
  /** Transfers the counts to a peer. Otherwise three days of counts would be lost when this instance is replaced. */
  handOver (): void
}

export interface SloTrackerOptions {
  cfg: ConfigProvider
  peers: Peers
  registry: Registry
  clock: Clock
}

const seriesSchema = v.object({ series: v.array(seriesCountsSchema) })
const reportCounts = definePeerCall<Record<string, never>, { series: SeriesCounts[] }>('report.counts', { req: NO_BODY, res: seriesSchema })
const reportHandover = definePeerNotice<{ series: SeriesCounts[] }>('report.handover', seriesSchema)
const COLLECT_TIMEOUT_MS = 3000
/** Windows exported on `/metrics`; recording rules derive the others from the counters. */
const METRIC_WINDOWS: readonly WindowName[] = ['5m', '1h', '6h', '3d']

export function createSloTracker (options: SloTrackerOptions): SloTracker {
  const { cfg, peers, clock } = options
  const counts = createCounts(clock.now)
  const objectiveFor = (team: string) => objectiveOf(cfg.active().fleet.objective, cfg.team(team))
  const requestCounter = registerMetrics(options, counts, objectiveFor)

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
    recordRequest: observation => {
      // Unconfigured teams cannot authenticate; the check keeps any other name from adding metric labels.
      if (cfg.team(observation.team) === undefined) return
      evaluateRequest(observation, objectiveFor(observation.team)).forEach(({ objective, isGood }) => {
        counts.add(observation.team, objective, isGood)
        requestCounter.inc({ team: observation.team, objective, result: isGood ? 'good' : 'bad' })
      })
    },
    collect: async () => {
      const merged = createCounts(clock.now)
      const responses = await Promise.all(peers.members().map(async ({ id }) => ({ id, answer: await peers.call(id, reportCounts, {}, { timeoutMs: COLLECT_TIMEOUT_MS }) })))
      responses.forEach(({ answer }) => { if (answer.ok) merged.merge(answer.val.series) })
      return {
        atMs: clock.now(),
        instances: responses.filter(({ answer }) => answer.ok).map(({ id }) => id),
        unheard: responses.filter(({ answer }) => answer.err).map(({ id }) => id),
        lines: linesOf(merged)
      }
    },
    handOver: () => {
      const recipient = peers.members().find(member => member.id !== peers.self.id && !member.leaving && peers.isConnected(member.id))
      if (recipient !== undefined) peers.notify(recipient.id, reportHandover, { series: counts.series() })
    }
  }
}

function registerMetrics ({ cfg, registry }: SloTrackerOptions, counts: Counts, objectiveFor: (team: string) => Parameters<typeof targetOf>[1]): Counter<'team' | 'objective' | 'result'> {
  const burnRateGauge = new Gauge({
    name: 'magnoliabay_slo_burn_rate',
    help: 'How fast the error budget burns, as this instance sees it; 1 spends it exactly over its period.',
    labelNames: ['team', 'objective', 'window'],
    registers: [registry],
    collect () {
      this.reset()
      cfg.active().fleet.team.forEach(({ name: team }) => OBJECTIVE_NAMES.forEach(objective => METRIC_WINDOWS.forEach(window => {
        const target = targetOf(objective, objectiveFor(team))
        burnRateGauge.set({ team, objective, window }, burnRate(counts.sum(team, objective, WINDOW_MS[window]), target))
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
