/**
 * Serves watches over HTTP: one response each, with one line of JSON per message.
 */
import type { ServerResponse } from 'node:http'
import type { CancelTimer, Clock } from 'magnoliabay/clock/index'
import type { JsonObject } from '../http/json'
import type { KvState } from './state'
import type { KvEvent } from './types'
import { field, readInt, readRange, writeEvent, writeHeader } from './wire'

export interface WatchStreamsOptions {
  state: KvState
  clock: Clock
  progressIntervalMs: number
}

export interface WatchStreams {
  /** Serves one watch on `res` until the caller disconnects. */
  open (request: JsonObject, res: ServerResponse): void
  /** Cuts every open watch. */
  disconnectAll (): void
  /** Stops sending to the open watches without closing them. */
  silenceAll (): void
}

interface WatchStream {
  res: ServerResponse
  stop: () => void
}

export function createWatchStreams (options: WatchStreamsOptions): WatchStreams {
  const { state, clock, progressIntervalMs } = options
  const open = new Set<WatchStream>()

  const send = (res: ServerResponse, message: JsonObject): void => {
    const result = { header: writeHeader(state.revision()), watch_id: '0', ...message }
    res.write(`${JSON.stringify({ result })}\n`)
  }
  const sendEvents = (res: ServerResponse, events: readonly KvEvent[]): void => {
    if (events.length > 0) send(res, { events: events.map(writeEvent) })
  }

  const sendProgress = (res: ServerResponse): CancelTimer => {
    let cancel: CancelTimer = () => {}
    const scheduleNext = (): void => {
      cancel = clock.schedule(progressIntervalMs, () => {
        send(res, {})
        scheduleNext()
      })
    }
    scheduleNext()
    return () => cancel()
  }

  return {
    open: (request, res) => {
      res.writeHead(200, { 'content-type': 'application/json' })
      const watch = state.watch(readRange(request), readInt(field(request, 'start_revision')), events => sendEvents(res, events))
      send(res, { created: true })
      if (watch.kind === 'compacted') {
        send(res, { canceled: true, compact_revision: String(watch.compactRevision) })
        res.end()
        return
      }
      sendEvents(res, watch.backlog)
      const isProgressRequested = field(request, 'progress_notify') === true
      const stopProgress = isProgressRequested ? sendProgress(res) : () => {}
      const stream: WatchStream = {
        res,
        stop: () => {
          watch.cancel()
          stopProgress()
        }
      }
      open.add(stream)
      res.on('close', () => {
        stream.stop()
        open.delete(stream)
      })
    },
    disconnectAll: () => open.forEach(stream => stream.res.destroy()),
    silenceAll: () => open.forEach(stream => stream.stop())
  }
}
