/** Runs a detector against a source of response times. */
import type { Detector } from './policies'

export type LatencySource = () => number
export type CreateDetector = (setting: number) => Detector

export interface UnchangedRun {
  /** Mean number of slots between false alarms. */
  slotsPerAlarm: number
  /** Fraction of the slots with a probe. */
  probedRatio: number
}

/** Runs detectors without a change of the response times; each alarm starts a new detector. */
export function runWithoutChange (create: () => Detector, source: LatencySource, slots: number): UnchangedRun {
  let detector = create()
  let alarms = 0
  let probes = 0
  for (let slot = 0; slot < slots; slot += 1) {
    const probe = detector.shouldProbe()
    if (probe) probes += 1
    if (detector.observe(probe ? source() : undefined)) {
      alarms += 1
      detector = create()
    }
  }
  return { slotsPerAlarm: slots / Math.max(1, alarms), probedRatio: probes / slots }
}

export interface Detection {
  delaySlots: number
  probes: number
}

/** Runs `before` slots at normal speed, then slow ones. Returns undefined if the alarm is raised before the change. */
export function runWithChange (detector: Detector, normal: LatencySource, slow: LatencySource, before: number, limit: number): Detection | undefined {
  for (let slot = 0; slot < before; slot += 1) {
    const probe = detector.shouldProbe()
    if (detector.observe(probe ? normal() : undefined)) return undefined
  }
  let probes = 0
  for (let delaySlots = 1; delaySlots <= limit; delaySlots += 1) {
    const probe = detector.shouldProbe()
    if (probe) probes += 1
    if (detector.observe(probe ? slow() : undefined)) return { delaySlots, probes }
  }
  return { delaySlots: limit, probes }
}

/** Finds by bisection the setting between `low` and `high` at which the increasing `measure` reaches `target`. */
export function solve (low: number, high: number, target: number, steps: number, measure: (setting: number) => number): number {
  const middle = (low + high) / 2
  if (steps === 0) return middle
  return measure(middle) < target
    ? solve(middle, high, target, steps - 1, measure)
    : solve(low, middle, target, steps - 1, measure)
}
