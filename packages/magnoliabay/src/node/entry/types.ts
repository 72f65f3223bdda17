/** What the entry's middleware adds to a request. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Caller } from '../admission'
import type { AbortableDeadline } from './deadline'

export interface EntryRequest extends IncomingMessage {
  requestId: string
  caller: Caller
  rawBody: Buffer
  deadline: AbortableDeadline
  /** Set by polka. */
  params: Record<string, string>
  path: string
  query: Record<string, string | undefined>
}

export type Next = () => void
export type Handler = (req: EntryRequest, res: ServerResponse, next: Next) => void | Promise<void>
