/** Asks engines to move runs to other engines, and to free the copies. */
import { inBackground } from '../background'
import type { Pool } from 'undici'
import * as v from 'valibot'
import type { Clock } from '../clock'
import { count } from '../inputs'
import type { InputMonitor } from '../inputs'
import type { MoveReply, RunCalls } from '../serving/streams/runCalls'
import type { BackendServer } from '../serving/types'
import { parseJson } from '../utils'
import { BodyTooLargeError, readText } from '../http/boundedBody'
import { createPool } from './httpPool'

/** Engines answer a connection within milliseconds. */
const CONNECT_TIMEOUT_MS = 1000
/** Freeing a copy needs no transfer. */
const FREE_TIMEOUT_MS = 1000
/** An answer names a handle. */
const MAX_ANSWER_BYTES = 65_536
/** Calls at a time for each engine. They have connections of their own: a copy takes longer than a report may wait. */
const MAX_CONNECTIONS = 4

/** Part of the value of a header of the request that continues the run. */
const handle = v.pipe(v.string(), v.regex(/^[\x21-\x7e]{1,256}$/))
const wireCopy = v.object({ handle, created: v.nullish(count, 0) })
const wireNoRoom = v.nullish(v.object({ handle: v.nullish(handle) }))

type ReadReply = (body: unknown, inputs: InputMonitor, server: string) => MoveReply

const REPLIES: Record<number, ReadReply> = {
  200: (body, inputs, server) => {
    const copy = inputs.check('engine-answer', { server, call: 'move' }, wireCopy, body)
    return copy.err ? { kind: 'refused', status: 200 } : { kind: 'copied', handle: copy.val.handle, createdEvents: copy.val.created }
  },
  404: () => ({ kind: 'no-run' }),
  409: () => ({ kind: 'in-progress' }),
  503: (body, inputs, server) => {
    const noRoom = inputs.check('engine-answer', { server, call: 'move' }, wireNoRoom, body)
    return { kind: 'no-room', handle: noRoom.ok ? noRoom.val?.handle ?? undefined : undefined }
  }
}

export interface EngineRunCalls extends RunCalls {
  /** Closes the connections to an address that is no longer in use. */
  closeConnections (address: string): void
}

export function createRunCalls ({ clock, inputs }: { clock: Clock, inputs: InputMonitor }): EngineRunCalls {
  const pools = new Map<string, Pool>()
  const poolOf = (address: string): Pool => {
    const pool = pools.get(address) ?? createPool(`http://${address}`, { connections: MAX_CONNECTIONS, pipelining: 1, connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: 0 })
    pools.set(address, pool)
    return pool
  }
  /** Returns undefined if there is no complete response in time. */
  const call = async (server: BackendServer, method: 'POST' | 'DELETE', path: string, timeoutMs: number, body?: object): Promise<{ status: number, body: unknown } | undefined> => {
    const abort = new AbortController()
    const cancel = clock.schedule(timeoutMs, () => abort.abort())
    try {
      const res = await poolOf(server.address).request({
        method,
        path,
        // Answers name no call. A late one to an earlier move, on the same connection, would give this run the memory of another.
        reset: true,
        signal: abort.signal,
        headers: { 'x-magnoliabay-expected-instance': server.id, ...(body === undefined ? {} : { 'content-type': 'application/json' }) },
        body: body === undefined ? undefined : JSON.stringify(body)
      })
      return { status: res.statusCode, body: parseJson(await readText(res.body, MAX_ANSWER_BYTES)) }
    } catch (err) {
      if (err instanceof BodyTooLargeError) inputs.recordRefused('engine-answer', { server: server.id, call: path }, err.message)
      return undefined
    } finally {
      cancel()
    }
  }
  return {
    moveRun: async (source, { run, target, isLast, timeoutMs }) => {
      const res = await call(source, 'POST', '/-/kv-move', timeoutMs, { id: run, target, last: isLast })
      if (res === undefined) return { kind: 'unanswered' }
      return REPLIES[res.status]?.(res.body, inputs, source.id) ?? { kind: 'refused', status: res.status }
    },
    freeRunCopy: async (source, handle) => { await call(source, 'DELETE', `/-/kv-handle/${encodeURIComponent(handle)}`, FREE_TIMEOUT_MS) },
    closeConnections: address => {
      inBackground('close-pool', pools.get(address)?.destroy())
      pools.delete(address)
    }
  }
}
