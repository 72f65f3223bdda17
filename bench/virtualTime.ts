/**
 * Virtual time for benches with hundreds of thousands of timers: a heap, and one turn of the event loop after each
 * timer for what it has set going.
 */
import type { Clock } from '../packages/magnoliabay/src/node/clock'

export interface BenchClock extends Clock {
  /** Runs everything that falls due up to `untilMs`, monotonic. */
  runUntil (untilMs: number): Promise<void>
}

interface Timer {
  atMs: number
  number: number
  callback: (() => void) | undefined
}

export function createBenchClock (): BenchClock {
  const heap: Timer[] = []
  let nowMs = 0
  let count = 0

  const isBefore = (left: Timer, right: Timer): boolean => left.atMs - right.atMs < 0 || (left.atMs === right.atMs && left.number < right.number)
  const swap = (one: number, other: number): void => { [heap[one], heap[other]] = [heap[other]!, heap[one]!] }
  const rise = (start: number): void => {
    for (let index = start; index > 0;) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index]!, heap[parent]!)) return
      swap(index, parent)
      index = parent
    }
  }
  const sink = (): void => {
    for (let index = 0; ;) {
      const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length)
      const least = children.reduce((best, child) => isBefore(heap[child]!, heap[best]!) ? child : best, index)
      if (least === index) return
      swap(index, least)
      index = least
    }
  }
  const pop = (): Timer => {
    swap(0, heap.length - 1)
    const timer = heap.pop()!
    sink()
    return timer
  }
  return {
    now: () => nowMs,
    monotonic: () => nowMs,
    schedule: (delayMs, callback) => {
      count += 1
      const timer: Timer = { atMs: nowMs + Math.max(0, delayMs), number: count, callback }
      heap.push(timer)
      rise(heap.length - 1)
      return () => { timer.callback = undefined }
    },
    runUntil: async untilMs => {
      await settled()
      while (heap.length > 0 && heap[0]!.atMs <= untilMs) {
        const timer = pop()
        if (timer.callback === undefined) continue
        nowMs = timer.atMs
        timer.callback()
        await settled()
      }
      nowMs = untilMs
    }
  }
}

function settled (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}

/** Numbers from 0 to 1 that are the same for the same seed (mulberry32). */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

export function exponential (random: () => number, mean: number): number {
  return -Math.log(1 - random()) * mean
}

export function percentile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? 0
}
