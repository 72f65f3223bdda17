/**
 * Checkpoints held locally: read lately ones in memory, others on disk, all else remote.
 */
import type { CheckpointLocation, CheckpointTier } from 'magnoliabay/backend/protocol'

export interface CheckpointCache {
  tier (model: string): CheckpointTier
  /** Notes that a checkpoint was read: it is in memory from now on. */
  touch (model: string): void
  list (): readonly CheckpointLocation[]
  /** The process started anew: what was in memory is on disk only. */
  forgetMemory (): void
}

const IN_MEMORY = 2
const ON_DISK = 6

export function createCheckpointCache (initial: Readonly<Record<string, CheckpointTier>>): CheckpointCache {
  const ofTier = (tier: CheckpointTier): string[] => Object.keys(initial).filter(model => initial[model] === tier)
  // Most recently read first.
  let inMemory = ofTier('memory')
  let onDisk = ofTier('disk')
  return {
    tier: model => {
      if (inMemory.includes(model)) return 'memory'
      return onDisk.includes(model) ? 'disk' : 'remote'
    },
    touch: model => {
      const recent = [model, ...inMemory.filter(other => other !== model)]
      inMemory = recent.slice(0, IN_MEMORY)
      const demoted = recent.slice(IN_MEMORY)
      onDisk = [...demoted, ...onDisk.filter(other => other !== model && !demoted.includes(other))].slice(0, ON_DISK)
    },
    forgetMemory: () => {
      onDisk = [...inMemory, ...onDisk]
      inMemory = []
    },
    list: () => [
      ...inMemory.map((model): CheckpointLocation => ({ model, tier: 'memory' })),
      ...onDisk.map((model): CheckpointLocation => ({ model, tier: 'disk' }))
    ]
  }
}
