/**
 * Virtual time for benchmarks with hundreds of thousands of timers. Timers are kept in a heap. After each timer, one
 * turn of the event loop runs the asynchronous work that the timer started.
 */
import type { Clock } from '../packages/magnoliabay/src/node/clock'

export interface BenchClock extends Clock {
  /** Runs all timers that are due up to `untilMs`, in monotonic time. */
  runUntil (untilMs: number): Promise<void>
}

interface Timer {
  atMs: number
  sequence: number
  callback: (() => void) | undefined
}

export function createBenchClock (): BenchClock {
  const heap: Timer[] = []
  let nowMs = 0
  let count = 0

  const isBefore = (left: Timer, right: Timer): boolean => left.atMs - right.atMs < 0 || (left.atMs === right.atMs && left.sequence < right.sequence)
  const swap = (one: number, other: number): void => { [heap[one], heap[other]] = [heap[other]!, heap[one]!] }
  const siftUp = (start: number): void => {
    for (let index = start; index > 0;) {
      const parent = (index - 1) >> 1
      if (!isBefore(heap[index]!, heap[parent]!)) return
      swap(index, parent)
      index = parent
    }
  }
  const siftDown = (): void => {
    for (let index = 0; ;) {
      const children = [2 * index + 1, 2 * index + 2].filter(child => child < heap.length)
      const smallest = children.reduce((best, child) => isBefore(heap[child]!, heap[best]!) ? child : best, index)
      if (smallest === index) return
      swap(index, smallest)
      index = smallest
    }
  }
  const pop = (): Timer => {
    swap(0, heap.length - 1)
    const timer = heap.pop()!
    siftDown()
    return timer
  }
  return {
    now: () => nowMs,
    monotonic: () => nowMs,
    schedule: (delayMs, callback) => {
      count += 1
      const timer: Timer = { atMs: nowMs + Math.max(0, delayMs), sequence: count, callback }
      heap.push(timer)
      siftUp(heap.length - 1)
      return () => { timer.callback = undefined }
    },
    runUntil: async untilMs => {
      await nextEventLoopTurn()
      while (heap.length > 0 && heap[0]!.atMs <= untilMs) {
        const timer = pop()
        if (timer.callback === undefined) continue
        nowMs = timer.atMs
        timer.callback()
        await nextEventLoopTurn()
      }
      nowMs = untilMs
    }
  }
}

function nextEventLoopTurn (): Promise<void> {
  return new Promise(resolve => { setImmediate(resolve) })
}

/** Creates a seeded generator of numbers from 0 to 1 (mulberry32). */
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

export function percentile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? 0
}
