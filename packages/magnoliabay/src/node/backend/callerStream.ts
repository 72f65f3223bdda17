/**
 * The caller's end of an answer: takes whole events, holds the engine back while the caller reads slowly,
 * and gives up a caller that has stopped reading.
 */
import type { ServerResponse } from 'node:http'
import type { Clock } from '../clock'
import { REQUEST_ID_HEADER } from './protocol'

export interface CallerStream {
  isStarted (): boolean
  /** Sends events; false while the caller's buffers are full, until `onRoom` is called. */
  write (events: Buffer): boolean
  end (): void
}

export interface CallerStreamOptions {
  res: ServerResponse
  requestId: string
  clock: Clock
  /** A caller that takes nothing for this long is cut, milliseconds. */
  stallMs: number
  onFirstByte: () => void
  onRoom: () => void
}

export function createCallerStream (options: CallerStreamOptions): CallerStream {
  const { res, requestId, clock, stallMs } = options
  let isStarted = false

  /**
   * A caller that is gone without closing, or never reads, would hold the engine's slot and its own buffers
   * for good. The engine is paused meanwhile, so what is held is bounded by the two sockets' buffers.
   */
  const waitForRoom = (): void => {
    const cancel = clock.schedule(stallMs, () => res.destroy())
    res.once('close', cancel)
    res.once('drain', () => {
      cancel()
      res.off('close', cancel)
      options.onRoom()
    })
  }
  return {
    isStarted: () => isStarted,
    write: events => {
      if (!isStarted) {
        isStarted = true
        options.onFirstByte()
        res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-cache', [REQUEST_ID_HEADER]: requestId })
      }
      if (res.destroyed) return true
      const hasRoom = res.write(events)
      if (!hasRoom) waitForRoom()
      return hasRoom
    },
    end: () => { res.end() }
  }
}
