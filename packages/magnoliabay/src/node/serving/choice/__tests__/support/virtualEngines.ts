/**
 * Engines in virtual time, in steps, with instances that choose among them on views half a second old. Each engine runs up to
 * its slots, queues some more requests and rejects the rest.
 */

export const STEP_MS = 25
export const VIEW_INTERVAL_MS = 500

export interface VirtualStream {
  instance: number
  model: string
  arrivedMs: number
  /** Undefined until the first event. */
  firstMs: number | undefined
  lastEventMs: number
  longestGapMs: number
  /** Work until the first event and until the end, milliseconds at an engine of speed 1. */
  toFirstMs: number
  toEndMs: number
  /** Work until the next event, milliseconds. */
  toEventMs: number
}

export interface VirtualEngine {
  id: string
  failureDomain: string
  speed: number
  models: Set<string>
  running: VirtualStream[]
  queue: VirtualStream[]
}

export interface EngineLimits {
  slots: number
  queueLength: number
  /** Time between events at speed 1 with an empty batch; a full one takes half as long again. */
  gapMs: number
}

export const holds = ({ running, queue }: VirtualEngine): number => running.length + queue.length

/** Creates a random number generator (mulberry32) with a seed. */
export function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

export interface StepEvents {
  onEvent: (stream: VirtualStream, gapMs: number, isFirst: boolean) => void
  onEnd: (stream: VirtualStream) => void
}

/** Runs an engine for one step; `slowdown` multiplies all its times. */
export function runStep (engine: VirtualEngine, nowMs: number, slowdown: number, { slots, gapMs }: EngineLimits, { onEvent, onEnd }: StepEvents): void {
  while (engine.running.length < slots && engine.queue.length > 0) engine.running.push(engine.queue.shift()!)
  const workMs = STEP_MS / (engine.speed * slowdown)
  const batchFactor = 1 + 0.5 * engine.running.length / slots
  engine.running.forEach(stream => {
    if (stream.firstMs === undefined) {
      stream.toFirstMs -= workMs
      if (stream.toFirstMs > 0) return
      stream.firstMs = nowMs
      stream.lastEventMs = nowMs
      stream.toEventMs = gapMs * batchFactor
      return onEvent(stream, nowMs - stream.arrivedMs, true)
    }
    stream.toEndMs -= workMs / batchFactor
    stream.toEventMs -= workMs
    if (stream.toEventMs > 0) return
    const gap = nowMs - stream.lastEventMs
    stream.longestGapMs = Math.max(stream.longestGapMs, gap)
    stream.lastEventMs = nowMs
    stream.toEventMs += gapMs * batchFactor
    onEvent(stream, gap, false)
  })
  const ended = engine.running.filter(({ toEndMs }) => toEndMs <= 0)
  engine.running = engine.running.filter(({ toEndMs }) => toEndMs > 0)
  ended.forEach(onEnd)
}

/** Counts requests that arrive at a rate per second with some waves. */
export function createArrivals (ratePerSecond: number, wave: number, random: () => number): (nowMs: number) => number {
  let due = 0
  return nowMs => {
    const rate = ratePerSecond * (1 + wave * Math.sin(nowMs / 5000)) * 2 * random()
    due += rate * STEP_MS / 1000
    const count = Math.floor(due)
    due -= count
    return count
  }
}
