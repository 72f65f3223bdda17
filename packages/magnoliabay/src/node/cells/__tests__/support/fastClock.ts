/**
 * A virtual clock for long runs. Keeps timers in a heap, and lets only promises settle between them, no real I/O. A
 * thousand times as fast as a clock that waits for a real timer after each virtual one.
 */
import type { VirtualClock } from '../../../clock/virtual'

interface Timer {
  atMs: number
  order: number
  callback: (() => void) | undefined
}

const START_MS = 1_700_000_000_000

export function createFastClock (): VirtualClock {
  const heap: Timer[] = []
  let nowMs = 0
  let orders = 0
  let wallOffsetMs = 0

  const isBefore = (left: Timer, right: Timer): boolean => left.atMs === right.atMs ? left.order < right.order : left.atMs < right.atMs
  const swap = (one: number, other: number): void => {
    const timer = heap[one]!
    heap[one] = heap[other]!
    heap[other] = timer
  }
  const push = (timer: Timer): void => {
    heap.push(timer)
    let at = heap.length - 1
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!isBefore(heap[at]!, heap[parent]!)) return
      swap(at, parent)
      at = parent
    }
  }
  const pop = (): Timer | undefined => {
    const first = heap[0]
    const last = heap.pop()
    if (first === undefined || last === undefined || heap.length === 0) return first
    heap[0] = last
    let at = 0
    while (true) {
      const left = 2 * at + 1
      const right = left + 1
      let earliest = at
      if (left < heap.length && isBefore(heap[left]!, heap[earliest]!)) earliest = left
      if (right < heap.length && isBefore(heap[right]!, heap[earliest]!)) earliest = right
      if (earliest === at) return first
      swap(at, earliest)
      at = earliest
    }
  }
  const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve))
  /** Runs all timers that are due at the earliest time. */
  const runNext = async (): Promise<void> => {
    const timer = pop()!
    if (timer.callback === undefined) return
    nowMs = Math.max(nowMs, timer.atMs)
    timer.callback()
    while (heap[0]?.atMs === timer.atMs) pop()?.callback?.()
    await settle()
  }
  return {
    now: () => START_MS + nowMs + wallOffsetMs,
    monotonic: () => nowMs,
    schedule: (delayMs, callback) => {
      const timer: Timer = { atMs: nowMs + Math.max(0, delayMs), order: orders++, callback }
      push(timer)
      return () => { timer.callback = undefined }
    },
    advance: async ms => {
      const endMs = nowMs + ms
      await settle()
      while (heap.length > 0 && heap[0]!.atMs <= endMs) await runNext()
      nowMs = endMs
    },
    next: async () => { if (heap.length > 0) await runNext() },
    settle,
    stepWallClock: ms => { wallOffsetMs += ms }
  }
}
