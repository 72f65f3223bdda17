/** The state of one request while it is served: its input, its attempts and their results. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RequestGuard } from '../crashes'
import type { ExecutionTracker } from '../outcomes'
import type { BufferLease } from './answerBuffers'
import type { AdmittedRequest } from './requestAdmission'
import type { Attempt, CompleteResponse } from './attempt'
import type { EventStream } from './eventStream'
import type { SentOn } from './exchange'
import type { EndReason } from './refusal'
import type { BackendServer, CallerRequest } from './types'
import type { StreamOrigin } from './versions'

export interface Inbound {
  req: IncomingMessage
  res: ServerResponse
  body: Buffer
  arrivedMs: number
}

export interface RequestRun {
  inbound: Inbound
  caller: CallerRequest
  /** Identical for the same bytes from the same team, that is, for a request that is sent again. */
  fingerprint: string
  /** Keeps it away from servers if they crash on it. */
  guard: RequestGuard
  admitted: AdmittedRequest
  execution: ExecutionTracker
  /** Monotonic milliseconds by which the request must have ended. */
  endMs: number
  stop: AbortController
  stopReason: EndReason | undefined
  /** Whether its end has been decided, logged and counted. */
  hasEnded: boolean
  sends: number
  /** Number of servers on which it may have run. */
  possibleRuns: number
  /** Server processes on which it may have run, or that could not be reached. */
  tried: Set<string>
  /** Those among them to which no connection could be made. */
  unreached: Set<string>
  /** How often it has waited to connect again since it was last sent. */
  reconnections: number
  /** Server processes that rejected it without running it. */
  rejectedBy: Set<string>
  /** Server process at which it holds a place; undefined without one. */
  placeAt: string | undefined
  unitsTaken: number
  /** When the units were taken, monotonic milliseconds. */
  unitsTakenMs: number
  attempt: Attempt | undefined
  /** Whether the answer of the latest attempt has begun: a complete event of its stream, or a whole answer, has arrived. */
  hasBegun: boolean
  /** When the latest attempt last received something of an answer, monotonic milliseconds; undefined before. */
  receivedMs: number | undefined
  /** Counts what is held of the response; undefined where no budget is set. */
  lease?: BufferLease
  /** Connection of the latest attempt; undefined while it has none. */
  sentOn: SentOn | undefined
  /** Connections that have carried the request. */
  usedConnections: Set<number>
  /** This instance has lost its path to the server of the latest attempt. */
  isPathBroken: boolean
  /** A failure response of a server, sent to the caller if no later attempt succeeds. */
  lastResponse: CompleteResponse | undefined
  server: BackendServer | undefined
  waitedMs: number
  /** Time until the first bytes of a response were sent to the caller, milliseconds. */
  firstMs: number | undefined
  /** When the last event was sent to the caller, or the request arrived, monotonic milliseconds. */
  lastEventMs: number
  /** The next attempt has been taken from the retry budget, and is not sent yet. */
  isRetryReserved: boolean
  /** Tracks the events of a stream over all attempts. */
  events: EventStream | undefined
  /** Where the stream began that the request continues; undefined before its first event. */
  origin: StreamOrigin | undefined
}
