/** State of one streamed response, across all connections on which it is received. */
import type { ServerResponse } from 'node:http'
import { createCallerStream } from './callerStream'
import type { RelayOptions, RelayRequest } from './relayTypes'
import { createEventScanner } from './sse'
import type { StreamProblem } from './sse'
import { parseUsedTokens } from './tokenUsage'

export interface StreamState {
  isStarted (): boolean
  /** Index of the next event to send to the caller. */
  nextIndex (): number
  /** Tokens used as reported by the engine, once the stream is done. */
  usedTokens (): number | undefined
  /** Forgets an incomplete event, before the stream is resumed on a new connection. */
  discardPartialEvent (): void
  push (chunk: Buffer): PushResult
  /** Sets the function that is called when the caller can be written to again. */
  setOnDrain (onDrain: () => void): void
  end (): void
}

export interface PushResult {
  isWritable: boolean
  isDone: boolean
  problem?: StreamProblem
}

export function createStreamState (options: RelayOptions, req: RelayRequest, res: ServerResponse, onFirstByte: () => void): StreamState {
  const scanner = createEventScanner(req.engineRequestId)
  let onDrain = (): void => {}
  const caller = createCallerStream({
    res,
    requestId: req.requestId,
    clock: options.clock,
    stallTimeoutMs: options.limits.callerStallMs,
    onFirstByte,
    onDrain: () => onDrain()
  })
  return {
    isStarted: caller.isStarted,
    nextIndex: scanner.nextIndex,
    usedTokens: () => parseUsedTokens(scanner.lastData()),
    discardPartialEvent: scanner.discardPartialEvent,
    push: chunk => {
      const { events, isDone, problem } = scanner.push(chunk)
      const isWritable = events.length === 0 || caller.write(events)
      return { isWritable, isDone, problem }
    },
    setOnDrain: handler => { onDrain = handler },
    end: caller.end
  }
}
