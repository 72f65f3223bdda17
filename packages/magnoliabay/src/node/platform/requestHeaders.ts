/** Decodes and filters request and response headers: which ones callers may set, and which ones the system sets. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ResponseMetadata } from '../serving/attempt'
import type { ResponseHead } from '../serving/exchange'
import type { CallerRequest, StreamResumption } from '../serving/types'
import type { ForwardedMetadata } from '../serving/servingProtocol'
import { NO_STATEMENT, decodeServerStatement } from './serverStatement'

const ATTEMPT_ID = 'x-magnoliabay-attempt-id'
const DEADLINE_MS = 'x-magnoliabay-deadline-ms'
const EXPECTED_INSTANCE = 'x-magnoliabay-expected-instance'
const TEAM = 'x-magnoliabay-tenant'
const PRIORITY = 'x-magnoliabay-request-priority'
const SIGNATURE = 'x-magnoliabay-server-signature'
const NOT_EXECUTED = 'x-magnoliabay-not-executed'
const MISDIRECTED = 421
/** Ids of events start at 1: a moved run of which no event has arrived continues from its first. */
const NO_EVENT_ID = '0'
const API_KEY_PATTERN = /^Token (\S+)$/
const RESUMES = 'resumes'
const LAST_EVENT_ID = 'last-event-id'
/** An attempt id in `Resumes`; several, or other text, name no attempt. */
const ATTEMPT_ID_PATTERN = /^[\w.:-]{1,128}$/

/** Headers that apply to a single connection only. */
const CONNECTION_HEADERS = ['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length']

/** Set by the system only, or not meant for backend servers: never forwarded from a caller. */
const SYSTEM_HEADERS = [
  'authorization',
  TEAM,
  EXPECTED_INSTANCE,
  PRIORITY,
  DEADLINE_MS,
  'x-magnoliabay-expected-version',
  'x-magnoliabay-hold',
  'x-magnoliabay-pin-ms',
  'x-magnoliabay-kv-backup',
  'kv-from',
  'kv-fetch'
]

const NOT_FORWARDED = new Set([...CONNECTION_HEADERS, ...SYSTEM_HEADERS])
const NOT_RETURNED = new Set(CONNECTION_HEADERS.filter(name => name !== 'content-length'))

function parseNonNegativeInteger (text: string | undefined): number | undefined {
  if (text === undefined || !/^\d+$/.test(text.trim())) return undefined
  const value = Number(text)
  return Number.isSafeInteger(value) ? value : undefined
}

function firstValueOf (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function parseTokenUsage (text: string | undefined): CallerRequest['tokens'] {
  const [prompt, output] = (text ?? '').split(',').map(part => parseNonNegativeInteger(part))
  return prompt === undefined || output === undefined ? undefined : { prompt, output }
}

/** A request resumes a stream if it names an attempt, or an event that it has received. */
function decodeResumption (headers: IncomingHttpHeaders): StreamResumption | undefined {
  const named = firstValueOf(headers[RESUMES])?.trim() ?? ''
  const stated = firstValueOf(headers[LAST_EVENT_ID])?.trim() ?? ''
  const hasReceivedNone = stated === '' || stated === NO_EVENT_ID
  if (named === '' && hasReceivedNone) return undefined
  return {
    firstAttemptId: ATTEMPT_ID_PATTERN.test(named) ? named : undefined,
    lastEventId: hasReceivedNone ? undefined : parseNonNegativeInteger(stated)
  }
}

/** Decodes what the caller requests from its headers. */
export function decodeCallerRequest (headers: IncomingHttpHeaders): CallerRequest {
  const [model, adapter] = (firstValueOf(headers['x-magnoliabay-model']) ?? '').split('/')
  const parts = firstValueOf(headers['x-magnoliabay-prompt-prefix'])
  return {
    attemptId: firstValueOf(headers[ATTEMPT_ID]) ?? '',
    deadlineMs: parseNonNegativeInteger(firstValueOf(headers[DEADLINE_MS])),
    key: API_KEY_PATTERN.exec(headers.authorization ?? '')?.[1],
    model: model === '' ? undefined : model,
    adapter,
    tokens: parseTokenUsage(firstValueOf(headers['x-magnoliabay-token-usage'])),
    promptParts: parts === undefined ? [] : parts.split(',').map(part => part.split(':')[0]!.trim()),
    resumption: decodeResumption(headers)
  }
}

/** Returns the raw headers for the backend server, alternating name and value. */
export function toBackendHeaders (rawHeaders: readonly string[], metadata: ForwardedMetadata): string[] {
  const pairs = toPairs(rawHeaders)
  const namedInConnection = new Set(pairs.filter(([name]) => name.toLowerCase() === 'connection').flatMap(([, value]) => value.toLowerCase().split(',').map(part => part.trim())))
  const kept = pairs
    .filter(([name]) => !NOT_FORWARDED.has(name.toLowerCase()))
    .filter(([name]) => !namedInConnection.has(name.toLowerCase()) || identifiesRequest(name))
    .filter(([name]) => metadata.lastEventId === undefined || name.toLowerCase() !== LAST_EVENT_ID)
  const added: Array<[string, string | undefined]> = [
    ['X-Magnoliabay-Deadline-Ms', String(Math.max(0, Math.floor(metadata.deadlineMs)))],
    ['X-Magnoliabay-Expected-Instance', metadata.serverId],
    ['X-Magnoliabay-Tenant', metadata.team],
    ['X-Magnoliabay-Request-Priority', metadata.priority === undefined ? undefined : String(metadata.priority)],
    ['Last-Event-Id', metadata.lastEventId ?? (metadata.runCopy === undefined || hasLastEventId(kept) ? undefined : NO_EVENT_ID)],
    ['Kv-From', metadata.runCopy === undefined ? undefined : `${metadata.runCopy.sourceAddress}/${metadata.runCopy.handle}`]
  ]
  return [...kept.flat(), ...added.filter((pair): pair is [string, string] => pair[1] !== undefined).flat()]
}

function hasLastEventId (pairs: ReadonlyArray<[string, string]>): boolean {
  return pairs.some(([name]) => name.toLowerCase() === LAST_EVENT_ID)
}

/** Headers that identify the request are forwarded even if the caller lists them in `Connection`. */
function identifiesRequest (name: string): boolean {
  return name.toLowerCase().startsWith('x-magnoliabay-') || name.toLowerCase() === 'host'
}

function toPairs (rawHeaders: readonly string[]): Array<[string, string]> {
  return rawHeaders.filter((_, index) => index % 2 === 0).map((name, index) => [name, rawHeaders[2 * index + 1]!])
}

/** Returns the headers of a backend server's response as sent to the caller. */
export function toCallerHeaders (rawHeaders: readonly string[]): string[] {
  return toPairs(rawHeaders).filter(([name]) => !NOT_RETURNED.has(name.toLowerCase())).flat()
}

/** Statuses with which a server may say that it has not run a request; beside any other, such a header contradicts its answer. */
const NOT_EXECUTED_STATUSES: ReadonlySet<number> = new Set([400, 408, 421, 429, 503])

/** Returns what in the head says that the request has not run: the header for it, or a 421, which is not signed where no server ran it. */
function disclaimerOf ({ status, headers }: ResponseHead): string | undefined {
  if (headers[NOT_EXECUTED] !== undefined) return NOT_EXECUTED_STATUSES.has(status) ? NOT_EXECUTED : undefined
  return status === MISDIRECTED && headers[SIGNATURE] === undefined ? `status ${MISDIRECTED}` : undefined
}

/** Decodes the metadata in the head of a response. */
export function decodeResponseHead (head: ResponseHead): ResponseMetadata {
  const { status, headers } = head
  return {
    attemptId: firstValueOf(headers[ATTEMPT_ID]),
    disclaimer: disclaimerOf(head),
    isSigned: headers[SIGNATURE] !== undefined,
    // 421 also comes from another process that has the server's former address.
    statement: status === MISDIRECTED ? NO_STATEMENT : decodeServerStatement(status, headers)
  }
}
