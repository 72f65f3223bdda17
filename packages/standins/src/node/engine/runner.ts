/**
 * Continuous batching: requests run concurrently, each slower the more there are, and the rest wait by priority.
 */
import { sleep } from 'magnoliabay/clock/index'
import type { PrefixCache } from './prefixCache'
import type { LoadMeter } from './loadMeter'
import type { Run } from './run'
import type { ResolvedEngineOptions } from './types'

export interface RunnerOptions {
  engine: ResolvedEngineOptions
  prefixes: PrefixCache
  meter: LoadMeter
  /** Kills the process. */
  crash: () => void
}

export interface Runner {
  start (run: Run): void
  /** Ends every run with the outcome `crashed`, as when the process dies. */
  crashAll (): void
  /** Returns the runs that are running or waiting. */
  openRuns (): readonly Run[]
  /** Resolves when no request of the model is waiting or running. */
  drained (model: string): Promise<void>
}

const STALL_POLL_INTERVAL_MS = 20
/** Ratio of the time to the first token that is saved when the whole prompt is cached. */
const CACHED_PROMPT_SAVING_RATIO = 0.8

export function createRunner (options: RunnerOptions): Runner {
  const { engine, prefixes, meter, crash } = options
  const { clock, faults } = engine
  const waiting: Run[] = []
  const running = new Set<Run>()

  const sampleLoad = (): void => meter.sample(running.size, waiting.length)
  const slowdown = (): number => Math.max(1, running.size / engine.capacity)

  const waitForStall = async (signal: AbortSignal): Promise<void> => {
    while (faults.current.stall && !signal.aborted) await sleep(clock, STALL_POLL_INTERVAL_MS, signal)
  }

  const generate = async (run: Run): Promise<void> => {
    const { request, signal, answer, record } = run
    if (faults.current.crashOnPrompt !== '' && request.prompt.includes(faults.current.crashOnPrompt)) return crash()
    const cachedRatio = prefixes.recordPrompt(run.model, request.prompt)
    let dueMs = clock.monotonic() + engine.firstTokenMs * slowdown() * (1 - cachedRatio * CACHED_PROMPT_SAVING_RATIO)
    while (record.tokens < answer.tokens.length) {
      // Late tokens follow without a delay, so that the token rate is kept even with coarse timers.
      if (dueMs > clock.monotonic()) await sleep(clock, dueMs - clock.monotonic(), signal)
      await waitForStall(signal)
      if (signal.aborted) return
      run.addToken()
      meter.countToken()
      dueMs += engine.tokenMs * slowdown()
    }
    run.end('completed', clock.now())
  }

  const startNext = (): void => {
    while (running.size < engine.maxRunning && waiting.length > 0) {
      const highestPriority = Math.min(...waiting.map(run => run.request.priority))
      const index = waiting.findIndex(run => run.request.priority === highestPriority)
      waiting.splice(index, 1).forEach(admit)
    }
    sampleLoad()
  }

  const admit = (run: Run): void => {
    running.add(run)
    run.record.outcome = 'running'
    run.record.startedAtMs = clock.now()
    generate(run).catch(() => {})
  }

  const remove = (run: Run): void => {
    running.delete(run)
    const index = waiting.indexOf(run)
    if (index >= 0) waiting.splice(index, 1)
    startNext()
  }

  const openRuns = (): readonly Run[] => [...running, ...waiting]

  return {
    openRuns,
    start: run => {
      run.signal.addEventListener('abort', () => remove(run), { once: true })
      waiting.push(run)
      startNext()
    },
    crashAll: () => {
      // Waiting runs end first, so that none is started when another ends.
      waiting.slice().forEach(run => run.end('crashed', clock.now()))
      running.forEach(run => run.end('crashed', clock.now()))
    },
    drained: async model => {
      while (true) {
        const [first] = openRuns().filter(run => run.model === model)
        if (first === undefined) return
        await first.ended
      }
    }
  }
}
