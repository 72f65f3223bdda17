/** What the entry's middleware adds to a request. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Caller } from '../admission'
import type { ExecutionTracker } from '../outcomes'
import type { AbortableDeadline } from './deadline'

export interface RequestObservation {
  /** Monotonic, milliseconds. */
  startedMs: number
  model?: string
  /** From the start to the first byte of the answer. */
  firstTokenMs?: number
  /** Whether it had to wait for a replica to be loaded. */
  wasCold: boolean
}

export interface EntryRequest extends IncomingMessage {
  requestId: string
  caller: Caller
  rawBody: Buffer
  deadline: AbortableDeadline
  /** What became of the request so far. */
  execution: ExecutionTracker
  /** What the report and `explain` are told when the request ends. */
  observation: RequestObservation
  /** Set by polka. */
  params: Record<string, string>
  path: string
  /** Query with its question mark, or empty. */
  search: string | null
  query: Record<string, string | undefined>
}

export type Next = () => void
export type Handler = (req: EntryRequest, res: ServerResponse, next: Next) => void | Promise<void>
