/** Callers of rare and busy models, as the deployments for which engine time is scheduled have them. */
import { createRandom } from '@magnoliabay/standins'
import { sleep } from '../../../../../clock'
import type { EngineFleet } from './engineFleet'

export interface CallOptions {
  model: string
  latencyObjectiveMs: number
  deadlineMs: number
  runMs: number
}

export interface CallResult {
  model: string
  atMs: number
  /** Time until the first event, milliseconds; undefined if the request was not served. */
  firstEventMs: number | undefined
}

/** Part of its remaining time for which a caller obeys a retry time. */
const RETRY_RATIO = 1 / 3
const TAKEN_DELAY_MS = 200

/** Calls a model: waits for it if it can be loaded in time, and retries once after a rejection. */
export async function call ({ clock, client, run }: EngineFleet, { model, latencyObjectiveMs, deadlineMs, runMs }: CallOptions): Promise<CallResult> {
  const atMs = clock.monotonic()
  const remainingMs = (): number => deadlineMs - (clock.monotonic() - atMs)
  for (let mayRetry = true; remainingMs() > 0;) {
    const awaited = await client.waitForModel({ model, adapter: undefined, service: 'llm', maxWaitMs: remainingMs(), latencyObjectiveMs: latencyObjectiveMs - (clock.monotonic() - atMs), signal: new AbortController().signal, isShuttingDown: () => false, excludedProcesses: new Set(), unavailableProcesses: () => new Set() })
    if (awaited.kind === 'ready') {
      const firstEvent = run(model, runMs)
      if (firstEvent !== undefined) return { model, atMs, firstEventMs: await firstEvent - atMs }
      await sleep(clock, TAKEN_DELAY_MS)
      continue
    }
    const retryMs = awaited.kind === 'not-in-time' ? awaited.inMs : Infinity
    if (!mayRetry || retryMs > remainingMs() * RETRY_RATIO) break
    mayRetry = false
    await sleep(clock, retryMs)
  }
  return { model, atMs, firstEventMs: undefined }
}

/** A stream of calls with random gaps. `rateAt`: calls per second at a time. */
export interface Traffic {
  models: readonly string[]
  rateAt: (atMs: number) => number
  latencyObjectiveMs: number
  deadlineMs: number
  runMs: readonly [number, number]
  seed: number
}

/** Runs the traffic for `durationMs` and returns the results of all calls, once the last one has ended. */
export async function runTraffic (fleet: EngineFleet, traffic: readonly Traffic[], durationMs: number): Promise<CallResult[][]> {
  const startMs = fleet.clock.monotonic()
  const calls = traffic.map((): Array<Promise<CallResult>> => [])
  traffic.forEach(({ models, rateAt, runMs: [minMs, maxMs], seed, ...times }, index) => {
    const random = createRandom(seed)
    const arrive = (): void => {
      const elapsedMs = fleet.clock.monotonic() - startMs
      if (elapsedMs >= durationMs) return
      const model = models[Math.floor(random() * models.length)]!
      fleet.countArrival(model)
      calls[index]!.push(call(fleet, { model, runMs: minMs + random() * (maxMs - minMs), ...times }))
      fleet.clock.schedule(-Math.log(1 - random()) * 1000 / rateAt(elapsedMs), arrive)
    }
    arrive()
  })
  await fleet.clock.advance(durationMs + Math.max(...traffic.map(({ deadlineMs }) => deadlineMs)) + 1000)
  return await Promise.all(calls.map(each => Promise.all(each)))
}
