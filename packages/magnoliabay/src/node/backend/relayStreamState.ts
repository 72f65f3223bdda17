/** One streamed answer on its way to the caller, over all the connections that it takes. */
import type { ServerResponse } from 'node:http'
import { createCallerStream } from './callerStream'
import type { RelayOptions, RelayRequest } from './relayTypes'
import { createEventScanner } from './sse'
import type { StreamProblem } from './sse'
import { parseUsedTokens } from './tokenUsage'

export interface StreamState {
  isStarted (): boolean
  /** Index of the event that the caller lacks. */
  next (): number
  /** Tokens that the engine says it used, once the stream is done. */
  usedTokens (): number | undefined
  restart (): void
  push (chunk: Buffer): Pushed
  /** Called when the caller has room again. */
  setOnRoom (onRoom: () => void): void
  end (): void
}

export interface Pushed {
  hasRoom: boolean
  isDone: boolean
  problem?: StreamProblem
}

export function createStreamState (options: RelayOptions, req: RelayRequest, res: ServerResponse, onFirstByte: () => void): StreamState {
  const scanner = createEventScanner(req.engineRequestId)
  let onRoom = (): void => {}
  const caller = createCallerStream({
    res,
    requestId: req.requestId,
    clock: options.clock,
    stallMs: options.limits.callerStallMs,
    onFirstByte,
    onRoom: () => onRoom()
  })
  return {
    isStarted: caller.isStarted,
    next: scanner.next,
    usedTokens: () => parseUsedTokens(scanner.lastData()),
    restart: scanner.restart,
    push: chunk => {
      const { events, isDone, problem } = scanner.push(chunk)
      const hasRoom = events.length === 0 || caller.write(events)
      return { hasRoom, isDone, problem }
    },
    setOnRoom: handler => { onRoom = handler },
    end: caller.end
  }
}
