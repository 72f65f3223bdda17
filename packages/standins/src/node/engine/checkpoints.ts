/**
 * The local checkpoint cache: the most recently read in memory, others on disk, all else remote.
 */
import type { CheckpointLocation, CheckpointTier } from 'magnoliabay/backend/protocol'

export interface CheckpointCache {
  tier (model: string): CheckpointTier
  /** Records that a checkpoint was read, which moves it to memory. */
  recordRead (model: string): void
  list (): readonly CheckpointLocation[]
  /** Moves the checkpoints in memory to disk when the process dies. */
  moveMemoryToDisk (): void
}

const MAX_IN_MEMORY = 2
const MAX_ON_DISK = 6

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
    recordRead: model => {
      const recent = [model, ...inMemory.filter(other => other !== model)]
      inMemory = recent.slice(0, MAX_IN_MEMORY)
      const demoted = recent.slice(MAX_IN_MEMORY)
      onDisk = [...demoted, ...onDisk.filter(other => other !== model && !demoted.includes(other))].slice(0, MAX_ON_DISK)
    },
    moveMemoryToDisk: () => {
      onDisk = [...inMemory, ...onDisk]
      inMemory = []
    },
    list: () => [
      ...inMemory.map((model): CheckpointLocation => ({ model, tier: 'memory' })),
      ...onDisk.map((model): CheckpointLocation => ({ model, tier: 'disk' }))
    ]
  }
}
