/** One request while it is served: what it asks for, where it was sent, and what became of that. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ExecutionTracker } from '../outcomes'
import type { AdmittedRequest } from './requestAdmission'
import type { Attempt, WholeAnswer } from './attempt'
import type { EventStream } from './eventStream'
import type { EndReason } from './refusal'
import type { BackendServer, CallerRequest } from './types'

export interface Inbound {
  req: IncomingMessage
  res: ServerResponse
  body: Buffer
  arrivedMs: number
}

export interface RequestRun {
  inbound: Inbound
  caller: CallerRequest
  /** The same bytes of the same caller: the same request sent again. */
  fingerprint: string
  admitted: AdmittedRequest
  execution: ExecutionTracker
  /** Monotonic milliseconds by which the request must have ended. */
  endMs: number
  stop: AbortController
  stopReason: EndReason | undefined
  sends: number
  /** Servers on which it may have run. */
  possibleRuns: number
  /** Servers on which it may have run, or that could not be reached. */
  tried: Set<string>
  /** Servers that said that they have not run it. */
  rejectedBy: Set<string>
  unitsTaken: number
  attempt: Attempt | undefined
  /** A failure that a server answered, told if nothing better comes. */
  lastResponse: WholeAnswer | undefined
  server: BackendServer | undefined
  waitedMs: number
  /** Until the first bytes of an answer went to the caller, milliseconds. */
  firstMs: number | undefined
  /** Follows the events of a stream over all attempts. */
  events: EventStream | undefined
}
