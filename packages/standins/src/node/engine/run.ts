/**
 * One request on the engine: its answer, its progress and its outcome.
 */
import type { Answer } from './generate'
import type { EngineRequestRecord, GenerateRequest, RequestOutcome } from './types'

/** `token`: the token has been generated. `end`: the answer is complete without it. `cut`: it will never be generated. */
export type RunProgress = 'token' | 'end' | 'cut'

export type RunEnd = Exclude<RequestOutcome, 'waiting' | 'running' | 'refused'>

export interface Run {
  readonly request: GenerateRequest
  readonly record: EngineRequestRecord
  readonly answer: Answer
  /** The base model. */
  readonly model: string
  /** Aborts when the run has ended. */
  readonly signal: AbortSignal
  readonly ended: Promise<void>
  /** Resolves once token `index` has been generated or never will be. */
  waitForToken (index: number): Promise<RunProgress>
  /** Counts one more generated token. */
  addToken (): void
  /** Ends the run; later calls have no effect. */
  end (outcome: RunEnd, atMs: number): void
}

export function createRun (request: GenerateRequest, record: EngineRequestRecord, model: string, answer: Answer): Run {
  const abort = new AbortController()
  let waiters: Array<() => void> = []
  const resolveWaiters = (): void => {
    const resolved = waiters
    waiters = []
    resolved.forEach(resolve => resolve())
  }
  const ended = new Promise<void>(resolve => abort.signal.addEventListener('abort', () => resolve(), { once: true }))
  return {
    request,
    record,
    answer,
    model,
    signal: abort.signal,
    ended,
    waitForToken: async index => {
      while (record.tokens <= index && !abort.signal.aborted) {
        await new Promise<void>(resolve => { waiters.push(resolve) })
      }
      if (record.tokens > index) return 'token'
      return record.completed ? 'end' : 'cut'
    },
    addToken: () => {
      record.tokens += 1
      resolveWaiters()
    },
    end: (outcome, atMs) => {
      if (abort.signal.aborted) return
      record.outcome = outcome
      record.completed = outcome === 'completed'
      record.endedAtMs = atMs
      abort.abort()
      resolveWaiters()
    }
  }
}
