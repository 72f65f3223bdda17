/** Types of requests and handlers of the entry. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Caller } from '../admission'
import type { ExecutionTracker } from '../outcomes'
import type { AbortableDeadline } from './deadline'

export interface RequestObservation {
  /** Monotonic, milliseconds. */
  startedMs: number
  model?: string
  /** Milliseconds from the start to the first byte of the response. */
  firstTokenMs?: number
  /** Whether the request waited for a replica to be loaded. */
  wasCold: boolean
}

export interface EntryRequest extends IncomingMessage {
  requestId: string
  caller: Caller
  rawBody: Buffer
  deadline: AbortableDeadline
  /** Tracks whether the request may have run. */
  execution: ExecutionTracker
  /** Measurements for the report and `explain`, recorded when the request ends. */
  observation: RequestObservation
  /** Set by polka. */
  params: Record<string, string>
  path: string
  /** Query including the question mark; null or empty if there is none. */
  search: string | null
  query: Record<string, string | undefined>
}

export type Next = () => void
export type Handler = (req: EntryRequest, res: ServerResponse, next: Next) => void | Promise<void>
