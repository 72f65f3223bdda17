/**
 * Settings of one instance: who it is, where it listens, where the platform is. Read once at start.
 */
import * as v from 'valibot'
import { Err } from '../result'
import type { Result } from '../result'
import { parseConfig } from './schema'
import type { ConfigError, ConfigProblem } from './schema'

const address = v.pipe(v.string(), v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, 'an address ip:port'))
const url = v.pipe(v.string(), v.url('a URL'))
const positive = v.pipe(v.number(), v.integer(), v.minValue(1))
const sha256Hex = v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, '64 hex digits'))
const file = v.pipe(v.string(), v.minLength(1))
const pair = v.strictObject({ cert: file, key: file })

export const settingsSchema = v.strictObject({
  instance: v.strictObject({
    /** Name of the instance, unique in the fleet. */
    id: v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]*$/, 'lower-case letters, digits and dashes')),
    /** Site whose overlay holds here. */
    site: v.string(),
    region: v.string(),
    failureDomain: v.string(),
    entryAddress: address,
    peerAddress: address,
    operatorAddress: address,
    /** Peer addresses of other instances, asked for the configuration when the store is away at the start. @default [] */
    seeds: v.optional(v.array(address), [])
  }),
  platform: v.strictObject({
    /** Origins of the key-value service. */
    store: v.pipe(v.array(url), v.minLength(1)),
    /** URL of the instance list. */
    instanceList: url,
    /** Calls a second to the key-value service that this instance may make, on average. @default 40 */
    callsPerSecond: v.optional(positive, 40),
    /** Calls at once after a pause. @default 200 */
    burstCalls: v.optional(positive, 200)
  }),
  operators: v.optional(v.strictObject({
    /** SHA-256 digests, in hex, of the operator keys that hold from the first start on. @default [] */
    keyDigests: v.optional(v.array(sha256Hex), []),
    /** Operators' keys with the names under which their changes are recorded. @default [] */
    key: v.optional(v.array(v.strictObject({
      name: v.string(),
      /** SHA-256 of the key, in hex. */
      digest: sha256Hex
    })), [])
  }), {}),
  limits: v.optional(v.strictObject({
    /** Largest body taken from a caller, in bytes. @default 1 MiB */
    maxBodyBytes: v.optional(positive, 1_048_576),
    /** A caller that takes longer than this to send its body is refused, in milliseconds. @default 10000 */
    bodyTimeoutMs: v.optional(positive, 10_000),
    /** Deadline of a request that names none, in milliseconds. @default 60000 */
    deadlineMs: v.optional(positive, 60_000),
    /** Tokens an answer may have when the request names no limit. @default 256 */
    defaultMaxTokens: v.optional(positive, 256),
    /** Requests open at once; more are refused at once. @default 2000 */
    maxOpenRequests: v.optional(positive, 2000),
    /** Requests that wait for their turn at once; then the team with the most is refused some. @default 1000 */
    maxWaiting: v.optional(positive, 1000),
    /** Requests that an engine runs at full pace; more wait here, where they wait fairly. @default 16 */
    requestsPerEngine: v.optional(positive, 16),
    /** Bytes of bodies held for open requests together. @default 64 MiB */
    maxHeldBodyBytes: v.optional(positive, 67_108_864),
    /** Longest silence of an engine before the first byte of a streamed answer, in milliseconds. @default 15000 */
    engineFirstByteMs: v.optional(positive, 15_000),
    /** Longest wait for an answer that an engine sends in one body, in milliseconds. @default 40000 */
    engineWholeMs: v.optional(positive, 40_000),
    /** Longest silence of an engine within an answer, in milliseconds. @default 10000 */
    engineGapMs: v.optional(positive, 10_000),
    /** Longest wait for the answer of a plain service, in milliseconds. @default 30000 */
    serviceAnswerMs: v.optional(positive, 30_000),
    /** A caller that takes nothing of its answer for this long is cut, in milliseconds. @default 30000 */
    callerStallMs: v.optional(positive, 30_000)
  }), {}),
  once: v.optional(v.strictObject({
    /** How long a claim and its answer are kept, in seconds. @default one day */
    retentionSeconds: v.optional(positive, 86_400)
  }), {}),
  shutdown: v.optional(v.strictObject({
    /** Callers may keep an answer of locate for this long, in milliseconds; they are served until then. @default 30000 */
    locateKeepMs: v.optional(positive, 30_000),
    /** Answers still open after that get this long to end, in milliseconds. @default 60000 */
    drainMs: v.optional(positive, 60_000)
  }), {}),
  tls: v.optional(v.strictObject({
    /** Certificate and key that callers are shown, PEM files. */
    callers: v.optional(pair),
    /** Certificate and key that operators are shown, PEM files. */
    operators: v.optional(pair),
    /** Certificate, key and authority for links between instances, PEM files; both sides show theirs. */
    peers: v.optional(v.strictObject({ cert: file, key: file, ca: file })),
    /** Authority of the key-value service, and a certificate of ours if it wants one, PEM files. */
    store: v.optional(v.strictObject({ ca: v.optional(file), cert: v.optional(file), key: v.optional(file) })),
    /** Between two looks at the files for renewed ones, in seconds. @default 30 */
    reloadSeconds: v.optional(positive, 30),
    /** Whether addresses beyond loopback may do without TLS. @default false */
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

/** Keys and answers must not cross a network readable unless somebody says that they may. */
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

/** Settings given in code, with defaults filled in. Throws on wrong ones: that is a fault of the program. */
export function resolveSettings (settings: Settings): ResolvedSettings {
  return v.parse(settingsSchema, settings)
}
