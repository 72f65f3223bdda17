/** Decodes the configuration that the operator writes to the store. */
import * as v from 'valibot'
import { count, finite, nonNegative } from '../inputs'
import type { ModelSpec, RequestKind, Route, Service, ServingConfig, Team } from '../serving/types'
import { parseJson } from '../utils'

/** Prefix of all keys that the operator writes. */
export const OPERATOR_PREFIX = 'op/'
/** Key of the latest configuration. */
export const CONFIG_KEY = 'op/config'
/** Prefix of evacuations: while a key below it exists, the servers of the failure domain that it names get no new requests. */
export const EVACUATIONS_PREFIX = 'op/evacuate/'

const REQUEST_KINDS: Record<string, RequestKind> = { idempotent: 'idempotent', non_idempotent: 'non-idempotent', streaming: 'stream' }
const DEFAULT_TIMEOUT_MS = 30_000
const MS_PER_SECOND = 1000
/** Adapters of all models together. Their names are made from the numbers, so that a short document could exhaust the memory. */
const MAX_ADAPTERS = 200_000
/** Time for which engines keep the copy of a run that is being moved. */
const DEFAULT_HANDLE_SECONDS = 5

const wireRoute = v.object({
  name: v.optional(v.string(), ''),
  hostname: v.string(),
  prefix: v.string(),
  'route-kind': v.optional(v.string(), 'non_idempotent'),
  'timeout-ms': v.optional(nonNegative, DEFAULT_TIMEOUT_MS),
  'target-latency-ms': v.optional(finite, 0),
  'gap-target-ms': v.optional(finite, 0),
  priority: v.optional(finite, 0),
  'max-attempts': v.optional(finite, 1),
  anonymous: v.optional(v.boolean(), false),
  resumable: v.optional(v.boolean(), false),
  service: v.optional(v.nullable(v.string())),
  'traffic-split': v.optional(v.nullable(v.array(v.object({ service: v.string(), weight: finite }))))
})

const wireModel = v.object({
  name: v.string(),
  'weights-mb': finite,
  'load-time-s': finite,
  adapters: v.optional(count, 0),
  'adapter-size-mb': v.optional(finite, 0),
  'warmup-s': v.optional(finite),
  'disk-load-s': v.optional(finite)
})

const wireService = v.object({
  name: v.string(),
  'connection-limit': v.optional(finite, 100),
  'cold-start-s': v.optional(finite, 0),
  // 0 means no limit.
  'cold-per-s': v.optional(finite, 0),
  engine: v.optional(v.nullable(v.object({
    slots: finite,
    'kv-cache-tokens': v.optional(finite, 0),
    'weights-mb': v.optional(finite, 0),
    'adapter-capacity': v.optional(finite, 0),
    'loads-per-s': v.optional(finite, 1),
    moves: v.optional(v.nullable(v.boolean())),
    'kv-token-bytes': v.optional(finite, 0),
    'bandwidth-mbps': v.optional(finite, 0),
    handle_s: v.optional(finite, DEFAULT_HANDLE_SECONDS),
    models: v.optional(v.array(wireModel), [])
  })))
})

const wireTeam = v.object({
  name: v.string(),
  'api-keys': v.optional(v.array(v.string()), []),
  priority: v.optional(v.nullable(finite)),
  unit: v.optional(v.string(), ''),
  'plain-tokens': v.optional(finite, 0),
  'rate-per-s': v.optional(finite, 0),
  burst: v.optional(finite, 0)
})

const wireConfig = v.object({
  version: finite,
  routes: v.array(wireRoute),
  services: v.array(wireService),
  tenants: v.optional(v.nullable(v.array(wireTeam))),
  // The runtime throws for a negative timeout of a connection, in a listener, where an exception ends the process.
  limits: v.optional(v.object({
    'max-header-bytes': v.optional(nonNegative, 16_384),
    'max-body-bytes': v.optional(nonNegative, 4_194_304),
    'header-timeout-ms': v.optional(nonNegative, 5000),
    'idle-timeout-ms': v.optional(nonNegative, 15_000)
  }), {})
})

function adapterCountOf (services: ReadonlyArray<v.InferOutput<typeof wireService>>): number {
  return services.flatMap(({ engine }) => engine?.models ?? []).reduce((sum, { adapters }) => sum + adapters, 0)
}

/** Decodes the document; returns undefined when it is invalid. */
export function decodeConfig (text: string): ServingConfig | undefined {
  const checked = v.safeParse(wireConfig, parseJson(text))
  if (!checked.success) return undefined
  const { version, routes, services, tenants, limits } = checked.output
  if (adapterCountOf(services) > MAX_ADAPTERS) return undefined
  return {
    version,
    routes: routes.map(toRoute),
    services: new Map(services.map(service => [service.name, toService(service)])),
    teams: tenants?.map(toTeam),
    limits: {
      maxHeaderBytes: limits['max-header-bytes'],
      maxBodyBytes: limits['max-body-bytes'],
      headerTimeoutMs: limits['header-timeout-ms'],
      idleTimeoutMs: limits['idle-timeout-ms']
    }
  }
}

function toRoute (wire: v.InferOutput<typeof wireRoute>): Route {
  const singleService = wire.service == null ? [] : [{ service: wire.service, weight: 1 }]
  return {
    name: wire.name,
    host: wire.hostname,
    prefix: wire.prefix,
    kind: REQUEST_KINDS[wire['route-kind']] ?? 'non-idempotent',
    timeoutMs: wire['timeout-ms'],
    latencyObjectiveMs: wire['target-latency-ms'],
    maxEventGapMs: wire['gap-target-ms'],
    priority: wire.priority,
    maxAttempts: wire['max-attempts'],
    isAnonymous: wire.anonymous,
    isResumable: wire.resumable,
    services: wire['traffic-split'] ?? singleService
  }
}

function toService (wire: v.InferOutput<typeof wireService>): Service {
  const { engine } = wire
  return {
    name: wire.name,
    connectionLimit: wire['connection-limit'],
    coldStart: wire['cold-start-s'] > 0 && wire['cold-per-s'] > 0
      ? { durationMs: wire['cold-start-s'] * MS_PER_SECOND, requestsPerSecond: wire['cold-per-s'] }
      : undefined,
    engine: engine == null
      ? undefined
      : {
          slots: engine.slots,
          kvTokens: engine['kv-cache-tokens'],
          weightMemoryMb: engine['weights-mb'],
          adapterCapacity: engine['adapter-capacity'],
          storeLoadsPerSecond: engine['loads-per-s'],
          models: new Map(engine.models.map(model => [model.name, toModel(model)])),
          ...(engine.moves === true ? { moves: { bytesPerToken: engine['kv-token-bytes'], bandwidthMbps: engine['bandwidth-mbps'], handleMs: engine.handle_s * MS_PER_SECOND } } : {})
        }
  }
}

function toModel (wire: v.InferOutput<typeof wireModel>): ModelSpec {
  const storeSeconds = wire['load-time-s']
  const diskSeconds = wire['disk-load-s'] ?? storeSeconds
  return {
    name: wire.name,
    weightsMb: wire['weights-mb'],
    // The configuration gives only the number of adapters; their names are derived from it.
    adapters: Array.from({ length: wire.adapters }, (_, index) => `a${index + 1}`),
    adapterMb: wire['adapter-size-mb'],
    loadMs: {
      store: storeSeconds * MS_PER_SECOND,
      disk: diskSeconds * MS_PER_SECOND,
      memory: (wire['warmup-s'] ?? diskSeconds) * MS_PER_SECOND
    }
  }
}

function toTeam (wire: v.InferOutput<typeof wireTeam>): Team {
  return {
    name: wire.name,
    keys: wire['api-keys'],
    priority: wire.priority ?? undefined,
    unit: wire.unit === 'token_streaming' ? 'tokens' : 'requests',
    defaultTokens: wire['plain-tokens'],
    rate: wire['rate-per-s'],
    burst: wire.burst
  }
}
