/**
 * The engine's own account of memory: what is held, the most ever held, and orders that would have overcommitted it.
 */
export interface OvercommitAttempt {
  orderId: string
  atMs: number
  usedMiB: number
  wantedMiB: number
}

export interface MemoryAccount {
  /** Reserves, or notes the attempt and returns false. */
  reserve (wantedMiB: number, orderId: string, atMs: number): boolean
  free (memoryMiB: number): void
  /** The process started anew: all is free. The high-water mark and the attempts stay. */
  clear (): void
  usedMiB (): number
  highWaterMiB (): number
  attempts (): readonly OvercommitAttempt[]
}

export function createMemoryAccount (totalMiB: number): MemoryAccount {
  const attempts: OvercommitAttempt[] = []
  let usedMiB = 0
  let highWaterMiB = 0
  return {
    reserve: (wantedMiB, orderId, atMs) => {
      if (usedMiB + wantedMiB > totalMiB) {
        attempts.push({ orderId, atMs, usedMiB, wantedMiB })
        return false
      }
      usedMiB += wantedMiB
      highWaterMiB = Math.max(highWaterMiB, usedMiB)
      return true
    },
    free: memoryMiB => { usedMiB -= memoryMiB },
    clear: () => { usedMiB = 0 },
    usedMiB: () => usedMiB,
    highWaterMiB: () => highWaterMiB,
    attempts: () => attempts
  }
}
