/**
 * Ways to find out that a backend server has become slow. Time goes in slots of one possible probe.
 */

export interface Detector {
  /** Whether to probe in this slot. */
  wantsProbe (): boolean
  /** Takes what the probe measured, in milliseconds, or undefined for a slot without one. True raises the alarm. */
  observe (latencyMs: number | undefined): boolean
}

type LogLikelihoodRatio = (latencyMs: number) => number

/** When to probe, for detectors that decide apart from what they have measured. */
export type Schedule = () => boolean

export function everyNth (period: number): Schedule {
  let slot = 0
  return () => slot++ % period === 0
}

export function withProbability (probability: number, random: () => number): Schedule {
  return () => random() < probability
}

export interface CusumOptions {
  schedule: Schedule
  ratio: LogLikelihoodRatio
  threshold: number
}

/** Page's CuSum over the probes that the schedule takes. */
export function createCusum ({ schedule, ratio, threshold }: CusumOptions): Detector {
  let statistic = 0
  return {
    wantsProbe: schedule,
    observe: latencyMs => {
      if (latencyMs === undefined) return false
      statistic = Math.max(0, statistic + ratio(latencyMs))
      return statistic > threshold
    }
  }
}

/** CuSum that probes every `period` slots while nothing is suspected, and in every slot while something is. */
export function createFollowUpCusum ({ period, ratio, threshold }: Omit<CusumOptions, 'schedule'> & { period: number }): Detector {
  let statistic = 0
  let waited = 0
  return {
    wantsProbe: () => statistic > 0 || waited + 1 >= period,
    observe: latencyMs => {
      if (latencyMs === undefined) {
        waited += 1
        return false
      }
      waited = 0
      statistic = Math.max(0, statistic + ratio(latencyMs))
      return statistic > threshold
    }
  }
}

export interface DeadlineOptions {
  schedule: Schedule
  deadlineMs: number
  /** Late probes in a row that raise the alarm. */
  consecutive: number
}

export function createDeadline ({ schedule, deadlineMs, consecutive }: DeadlineOptions): Detector {
  let late = 0
  return {
    wantsProbe: schedule,
    observe: latencyMs => {
      if (latencyMs === undefined) return false
      late = latencyMs > deadlineMs ? late + 1 : 0
      return late >= consecutive
    }
  }
}

export interface DeCusumOptions {
  ratio: LogLikelihoodRatio
  threshold: number
  /** Rise of the statistic in a slot without a probe (mu in the paper). */
  rise: number
  /** Most that the statistic may lie below zero (h in the paper); bounds the slots without a probe. */
  floor: number
}

/**
 * DE-CuSum (Banerjee and Veeravalli, "Data-Efficient Quickest Change Detection in Minimax Settings"):
 * no probes while the statistic is below zero.
 */
export function createDeCusum ({ ratio, threshold, rise, floor }: DeCusumOptions): Detector {
  let statistic = 0
  return {
    wantsProbe: () => statistic >= 0,
    observe: latencyMs => {
      statistic = latencyMs === undefined
        ? Math.min(statistic + rise, 0)
        : Math.max(statistic + ratio(latencyMs), -floor)
      return statistic > threshold
    }
  }
}
