/**
 * Policies for detecting that a backend server has become slow. Time is divided into slots of at most one probe.
 */

export interface Detector {
  /** Returns whether to probe in this slot. */
  shouldProbe (): boolean
  /** Receives the response time of the probe, or undefined for a slot without a probe. Returns true to raise the alarm. */
  observe (latencyMs: number | undefined): boolean
}

type LogLikelihoodRatio = (latencyMs: number) => number

/** Decides when to probe, independently of the measured response times. */
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

/** Page's CuSum over the probes of the schedule. */
export function createCusum ({ schedule, ratio, threshold }: CusumOptions): Detector {
  let statistic = 0
  return {
    shouldProbe: schedule,
    observe: latencyMs => {
      if (latencyMs === undefined) return false
      statistic = Math.max(0, statistic + ratio(latencyMs))
      return statistic > threshold
    }
  }
}

/** CuSum that probes every `period` slots while its statistic is zero, and in every slot otherwise. */
export function createFollowUpCusum ({ period, ratio, threshold }: Omit<CusumOptions, 'schedule'> & { period: number }): Detector {
  let statistic = 0
  let waited = 0
  return {
    shouldProbe: () => statistic > 0 || waited + 1 >= period,
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
  /** Number of consecutive late probes that raises the alarm. */
  consecutive: number
}

export function createDeadline ({ schedule, deadlineMs, consecutive }: DeadlineOptions): Detector {
  let late = 0
  return {
    shouldProbe: schedule,
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
  /** Largest distance of the statistic below zero (h in the paper); it bounds the slots without a probe. */
  floor: number
}

/**
 * DE-CuSum (Banerjee and Veeravalli, "Data-Efficient Quickest Change Detection in Minimax Settings"):
 * it sends no probes while the statistic is below zero.
 */
export function createDeCusum ({ ratio, threshold, rise, floor }: DeCusumOptions): Detector {
  let statistic = 0
  return {
    shouldProbe: () => statistic >= 0,
    observe: latencyMs => {
      statistic = latencyMs === undefined
        ? Math.min(statistic + rise, 0)
        : Math.max(statistic + ratio(latencyMs), -floor)
      return statistic > threshold
    }
  }
}
