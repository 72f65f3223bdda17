/**
 * The engine's memory accounting: current use, peak use, and orders that would have exceeded the total.
 */
export interface OvercommitAttempt {
  orderId: string
  atMs: number
  usedMiB: number
  wantedMiB: number
}

export interface MemoryAccount {
  /** Reserves memory; when it doesn't fit, records the attempt and returns false. */
  reserve (wantedMiB: number, orderId: string, atMs: number): boolean
  free (memoryMiB: number): void
  /** Frees all memory when the process dies. The high-water mark and the attempts stay. */
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
