/** Settings of one instance: its identity, its addresses, and those of the platform. Read once at start. */
import * as v from 'valibot'
import { Err } from '../result'
import type { Result } from '../result'
import { parseConfig } from './schema'
import type { ConfigError, ConfigProblem } from './schema'

const address = v.pipe(v.string(), v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'an address ip:port'))
const url = v.pipe(v.string(), v.url('a URL'))
const positiveInteger = v.pipe(v.number(), v.integer(), v.minValue(1))
const sha256Hex = v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, '64 hex digits'))
const file = v.pipe(v.string(), v.minLength(1))
const certificatePair = v.strictObject({ cert: file, key: file })

export const settingsSchema = v.strictObject({
  instance: v.strictObject({
    /** Name of the instance, unique in the fleet. */
    id: v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]*$/, 'lower-case letters, digits and dashes')),
    /** Site whose overlay the instance applies. */
    site: v.string(),
    region: v.string(),
    failureDomain: v.string(),
    entryAddress: address,
    peerAddress: address,
    operatorAddress: address,
    /** Peer addresses of other instances, asked for the configuration if the store is unreachable at start. @default [] */
    seeds: v.optional(v.array(address), [])
  }),
  platform: v.strictObject({
    /** Origins of the key-value service. */
    store: v.pipe(v.array(url), v.minLength(1)),
    /** URL of the instance list. */
    instanceList: url,
    /** Average calls per second that this instance may send to the key-value service. @default 40 */
    callsPerSecond: v.optional(positiveInteger, 40),
    /** Maximum calls at once after a pause. @default 200 */
    burstCalls: v.optional(positiveInteger, 200)
  }),
  operators: v.optional(v.strictObject({
    /** SHA-256 digests, in hex, of the operator keys that are valid from the first start on. @default [] */
    keyDigests: v.optional(v.array(sha256Hex), []),
    /** Operator keys with the names under which changes are recorded. @default [] */
    key: v.optional(v.array(v.strictObject({
      name: v.string(),
      /** SHA-256 of the key, in hex. */
      digest: sha256Hex
    })), [])
  }), {}),
  limits: v.optional(v.strictObject({
    /** Maximum size of a request body, in bytes. @default 1 MiB */
    maxBodyBytes: v.optional(positiveInteger, 1_048_576),
    /** Maximum time a caller may take to send a request body, in milliseconds; after it the request is refused. @default 10000 */
    bodyTimeoutMs: v.optional(positiveInteger, 10_000),
    /** Deadline of a request that names none, in milliseconds. @default 60000 */
    deadlineMs: v.optional(positiveInteger, 60_000),
    /** Maximum tokens of an answer if the request names no limit. @default 256 */
    defaultMaxTokens: v.optional(positiveInteger, 256),
    /** Maximum open requests; further ones are refused immediately. @default 2000 */
    maxOpenRequests: v.optional(positiveInteger, 2000),
    /** Maximum queued requests; beyond it, requests of the team with the most queued ones are refused. @default 1000 */
    maxWaiting: v.optional(positiveInteger, 1000),
    /** Requests that an engine runs at full speed; further ones are queued on the instance, fairly between teams. @default 16 */
    requestsPerEngine: v.optional(positiveInteger, 16),
    /** Maximum total size of request bodies held for open requests, in bytes. @default 64 MiB */
    maxHeldBodyBytes: v.optional(positiveInteger, 67_108_864),
    /** Timeout for the first byte of an engine's streamed response, in milliseconds. @default 15000 */
    engineFirstByteMs: v.optional(positiveInteger, 15_000),
    /** Timeout for a response that an engine sends in one body, in milliseconds. @default 40000 */
    engineWholeMs: v.optional(positiveInteger, 40_000),
    /** Maximum gap between bytes of an engine's response, in milliseconds. @default 10000 */
    engineGapMs: v.optional(positiveInteger, 10_000),
    /** Timeout for the whole response of a plain service, in milliseconds. @default 30000 */
    serviceAnswerMs: v.optional(positiveInteger, 30_000),
    /** Time after which a caller that reads nothing of its answer is disconnected, in milliseconds. @default 30000 */
    callerStallMs: v.optional(positiveInteger, 30_000)
  }), {}),
  once: v.optional(v.strictObject({
    /** How long a claim and its answer are kept, in seconds. @default one day */
    retentionSeconds: v.optional(positiveInteger, 86_400)
  }), {}),
  shutdown: v.optional(v.strictObject({
    /** Time for which callers may cache a response of locate, in milliseconds; a stopping instance serves them until then. @default 30000 */
    locateKeepMs: v.optional(positiveInteger, 30_000),
    /** Time that answers still open after `locateKeepMs` get to end, in milliseconds. @default 60000 */
    drainMs: v.optional(positiveInteger, 60_000)
  }), {}),
  tls: v.optional(v.strictObject({
    /** Certificate and key presented to callers, PEM files. */
    callers: v.optional(certificatePair),
    /** Certificate and key presented to operators, PEM files. */
    operators: v.optional(certificatePair),
    /** Certificate, key and authority for links between instances, PEM files; both sides present theirs. */
    peers: v.optional(v.strictObject({ cert: file, key: file, ca: file })),
    /** Authority of the key-value service, and a client certificate with its key if the service requires one, PEM files. */
    store: v.optional(v.strictObject({ ca: v.optional(file), cert: v.optional(file), key: v.optional(file) })),
    /** Interval at which the files are checked for renewed ones, in seconds. @default 30 */
    reloadSeconds: v.optional(positiveInteger, 30),
    /** Whether addresses other than loopback may be used without TLS. @default false */
    allowPlainText: v.optional(v.boolean(), false)
  }), {}),
  log: v.optional(v.strictObject({
    /** @default 'info' */
    level: v.optional(v.picklist(['debug', 'info', 'warn', 'error']), 'info')
  }), {})
})

export type ResolvedSettings = v.InferOutput<typeof settingsSchema>
export type Settings = v.InferInput<typeof settingsSchema>

export function parseSettings (file: string, text: string): Result<ResolvedSettings, ConfigError> {
  const parsed = parseConfig(file, text, settingsSchema)
  if (parsed.err) return parsed
  const problems = plainTextProblems(file, parsed.val)
  return problems.length > 0 ? Err({ kind: 'schema', problems }) : parsed
}

/** Reports addresses without TLS: keys and answers must not cross a network in plain text unless the settings allow it. */
function plainTextProblems (file: string, { instance, platform, tls }: ResolvedSettings): ConfigProblem[] {
  if (tls.allowPlainText) return []
  const addresses = [
    { path: 'instance.entryAddress', address: instance.entryAddress, isSafe: tls.callers !== undefined },
    { path: 'instance.operatorAddress', address: instance.operatorAddress, isSafe: tls.operators !== undefined },
    { path: 'instance.peerAddress', address: instance.peerAddress, isSafe: tls.peers !== undefined },
    ...platform.store.map((origin, index) => ({ path: `platform.store.${index}`, address: new URL(origin).host, isSafe: origin.startsWith('https:') }))
  ]
  return addresses
    .filter(({ address, isSafe }) => !isSafe && !LOOPBACK.test(address))
    .map(({ path, address }) => ({ file, path, found: `${address} without TLS`, allowed: 'plain text on loopback only; set tls, or tls.allowPlainText' }))
}

const LOOPBACK = /^(127\.|\[::1\]|localhost(:|$))/

/** Returns settings given in code with defaults filled in. Throws if they are invalid, since that is a programming error. */
export function resolveSettings (settings: Settings): ResolvedSettings {
  return v.parse(settingsSchema, settings)
}
