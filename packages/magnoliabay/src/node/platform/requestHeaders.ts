/** Headers of a request and an answer: what callers may say, and what is the system's to say. */
import type { IncomingHttpHeaders } from 'node:http'
import type { ResponseMetadata } from '../serving/attempt'
import type { ResponseHead } from '../serving/exchange'
import type { CallerRequest } from '../serving/types'
import type { ForwardedMetadata } from '../serving/servingProtocol'

const ATTEMPT_ID = 'x-magnoliabay-attempt-id'
const DEADLINE_MS = 'x-magnoliabay-deadline-ms'
const EXPECTED_INSTANCE = 'x-magnoliabay-expected-instance'
const TEAM = 'x-magnoliabay-tenant'
const PRIORITY = 'x-magnoliabay-request-priority'
const NOT_EXECUTED = 'x-magnoliabay-not-executed'
const KEY_SCHEME = /^Token (\S+)$/

/** Concern one connection only. */
const CONNECTION_HEADERS = ['connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length']

/** The system's to set, or not for a backend server's eyes: never taken over from a caller. */
const OWN_HEADERS = [
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

const NOT_FORWARDED = new Set([...CONNECTION_HEADERS, ...OWN_HEADERS])
const NOT_RETURNED = new Set(CONNECTION_HEADERS.filter(name => name !== 'content-length'))

function numberOf (text: string | undefined): number | undefined {
  if (text === undefined || !/^\d+$/.test(text.trim())) return undefined
  return Number(text)
}

function textOf (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}

function tokensOf (text: string | undefined): CallerRequest['tokens'] {
  const [prompt, output] = (text ?? '').split(',').map(part => numberOf(part))
  return prompt === undefined || output === undefined ? undefined : { prompt, output }
}

/** What the caller asks for. */
export function decodeCallerRequest (headers: IncomingHttpHeaders): CallerRequest {
  const [model, adapter] = (textOf(headers['x-magnoliabay-model']) ?? '').split('/')
  const parts = textOf(headers['x-magnoliabay-prompt-prefix'])
  return {
    attemptId: textOf(headers[ATTEMPT_ID]) ?? '',
    deadlineMs: numberOf(textOf(headers[DEADLINE_MS])),
    key: KEY_SCHEME.exec(headers.authorization ?? '')?.[1],
    model: model === '' ? undefined : model,
    adapter,
    tokens: tokensOf(textOf(headers['x-magnoliabay-token-usage'])),
    promptParts: parts === undefined ? [] : parts.split(',').map(part => part.split(':')[0]!.trim())
  }
}

/** Raw headers, name and value in turn, as the backend server gets them. */
export function toBackendHeaders (rawHeaders: readonly string[], own: ForwardedMetadata): string[] {
  const pairs = pairsOf(rawHeaders)
  const nominated = new Set(pairs.filter(([name]) => name.toLowerCase() === 'connection').flatMap(([, value]) => value.toLowerCase().split(',').map(part => part.trim())))
  const kept = pairs
    .filter(([name]) => !NOT_FORWARDED.has(name.toLowerCase()))
    .filter(([name]) => !nominated.has(name.toLowerCase()) || isRequestMeaning(name))
    .filter(([name]) => own.lastEventId === undefined || name.toLowerCase() !== 'last-event-id')
  const added: Array<[string, string | undefined]> = [
    ['X-Magnoliabay-Deadline-Ms', String(Math.max(0, Math.floor(own.deadlineMs)))],
    ['X-Magnoliabay-Expected-Instance', own.serverId],
    ['X-Magnoliabay-Tenant', own.team],
    ['X-Magnoliabay-Request-Priority', own.priority === undefined ? undefined : String(own.priority)],
    ['Last-Event-Id', own.lastEventId]
  ]
  return [...kept.flat(), ...added.filter((pair): pair is [string, string] => pair[1] !== undefined).flat()]
}

/** A caller that nominates what identifies its request for one connection only does not get it dropped. */
function isRequestMeaning (name: string): boolean {
  return name.toLowerCase().startsWith('x-magnoliabay-') || name.toLowerCase() === 'host'
}

function pairsOf (rawHeaders: readonly string[]): Array<[string, string]> {
  return rawHeaders.filter((_, index) => index % 2 === 0).map((name, index) => [name, rawHeaders[2 * index + 1]!])
}

/** Headers of a backend server's answer, as the caller gets them. */
export function toCallerHeaders (rawHeaders: readonly string[]): string[] {
  return pairsOf(rawHeaders).filter(([name]) => !NOT_RETURNED.has(name.toLowerCase())).flat()
}

/** What an answer's head says beyond its status. */
export function decodeResponseHead ({ status, headers }: ResponseHead): ResponseMetadata {
  return {
    attemptId: textOf(headers[ATTEMPT_ID]),
    isNotRun: headers[NOT_EXECUTED] !== undefined || (status === 421 && headers['x-magnoliabay-server-signature'] === undefined),
    isSigned: headers['x-magnoliabay-server-signature'] !== undefined
  }
}
