/**
 * Writes a streamed response to the caller. Reports back-pressure while the caller reads slowly, and closes the
 * connection of a caller that has stopped reading.
 */
import type { ServerResponse } from 'node:http'
import type { Clock } from '../clock'
import { cutResponse } from '../http/cutResponse'
import { REQUEST_ID_HEADER } from './protocol'

export interface CallerStream {
  isStarted (): boolean
  /** Sends whole events. Returns false when the socket's buffer is full; `onDrain` is called when it has drained. */
  write (events: Buffer): boolean
  end (): void
}

export interface CallerStreamOptions {
  res: ServerResponse
  requestId: string
  clock: Clock
  /** A caller that reads nothing for this long is disconnected, milliseconds. */
  stallTimeoutMs: number
  onFirstByte: () => void
  onDrain: () => void
}

export function createCallerStream (options: CallerStreamOptions): CallerStream {
  const { res, requestId, clock, stallTimeoutMs } = options
  let isStarted = false

  /**
   * Disconnects a caller that doesn't read. One that vanished without closing its connection, or never reads, would
   * otherwise occupy a slot of the engine and buffers of this instance forever. The engine's response is paused
   * meanwhile, so the buffered data is bounded by the buffers of the two sockets.
   */
  const waitForDrain = (): void => {
    const cancel = clock.schedule(stallTimeoutMs, () => cutResponse(res, clock))
    res.once('close', cancel)
    res.once('drain', () => {
      cancel()
      res.off('close', cancel)
      options.onDrain()
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
      const isWritable = res.write(events)
      if (!isWritable) waitForDrain()
      return isWritable
    },
    end: () => { res.end() }
  }
}
