/** The room of a stand-in that is brittle: what has none is rejected, and too many rejections in a second end the process. */
import type { Clock } from 'magnoliabay/clock/index'
import type { Statements } from './statements'

const WINDOW_MS = 1000
/** Time until a process that fell over is back, milliseconds. */
const DOWN_MS = 3000

export type Admission = 'taken' | 'rejected' | 'fallen'

export interface Brittleness {
  /** Takes a request, which holds room until `release`. */
  take (): Admission
  release (): void
  /** How often it fell over. */
  falls (): number
}

export interface BrittlenessOptions {
  current: () => Statements
  /** Ends the process, or starts it again. */
  setDown: (isDown: boolean) => void
  clock: Clock
}

export function createBrittleness ({ current, setDown, clock }: BrittlenessOptions): Brittleness {
  let held = 0
  let falls = 0
  let rejectedAtMs: number[] = []

  const reject = (maxRejections: number): Admission => {
    const now = clock.monotonic()
    rejectedAtMs = [...rejectedAtMs.filter(atMs => now - atMs < WINDOW_MS), now]
    if (rejectedAtMs.length <= maxRejections) return 'rejected'
    rejectedAtMs = []
    falls += 1
    setDown(true)
    clock.schedule(DOWN_MS, () => setDown(false))
    return 'fallen'
  }
  return {
    falls: () => falls,
    take: () => {
      const { brittleRejections, brittleRoom } = current()
      if (brittleRejections >= 0 && held >= brittleRoom) return reject(brittleRejections)
      held += 1
      return 'taken'
    },
    release: () => { held = Math.max(0, held - 1) }
  }
}
