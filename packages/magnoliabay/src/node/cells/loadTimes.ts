/** Estimates load times by checkpoint tier, as a moving average over completed loads. */
import type { CheckpointTier } from '../backend/protocol'

export interface LoadTimes {
  expectedMs (tier: CheckpointTier, memoryMiB: number): number
  recordLoad (tier: CheckpointTier, memoryMiB: number, tookMs: number): void
}

const MIB_PER_GIB = 1024
/** Estimates before any load has completed. */
const INITIAL_MS_PER_GIB: Readonly<Record<CheckpointTier, number>> = { memory: 20, disk: 80, remote: 250 }
/** Weight of the newest load in the moving average. */
const LEARNING_RATE = 0.2

export function createLoadTimes (): LoadTimes {
  const msPerGiB = { ...INITIAL_MS_PER_GIB }
  return {
    expectedMs: (tier, memoryMiB) => msPerGiB[tier] * memoryMiB / MIB_PER_GIB,
    recordLoad: (tier, memoryMiB, tookMs) => {
      const measuredMsPerGiB = tookMs * MIB_PER_GIB / Math.max(1, memoryMiB)
      msPerGiB[tier] += LEARNING_RATE * (measuredMsPerGiB - msPerGiB[tier])
    }
  }
}
