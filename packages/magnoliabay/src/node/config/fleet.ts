/**
 * The fleet's configuration, as operators write it: teams, models, adapters, plain services.
 * The base file and each site's overlay are checked separately ({@link baseSchema}, {@link overlaySchema});
 * an instance resolves the two into one {@link FleetConfig}.
 */
import * as v from 'valibot'

export const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]*$/, 'lower-case letters, digits, dots, dashes and underscores'))
const positive = v.pipe(v.number(), v.minValue(1))
const ratio = v.pipe(v.number(), v.minValue(0.5), v.maxValue(0.999999))

/** Service-level objectives; those of a team override those of the fleet. */
export const objectiveSchema = v.strictObject({
  /** Fraction of requests that are answered in full. @default 0.999 */
  availability: v.optional(ratio, 0.999),
  /** Time to the first token if a replica is loaded, in milliseconds. @default 830 */
  firstTokenMs: v.optional(positive, 830),
  /** Fraction of requests whose first token is sent within `firstTokenMs`. @default 0.95 */
  firstTokenShare: v.optional(ratio, 0.95),
  /** Time to the first token if a model has to be loaded first, in milliseconds. @default 60000 */
  coldStartMs: v.optional(positive, 60_000),
  /** Fraction of cold starts whose first token is sent within `coldStartMs`. @default 0.95 */
  coldStartShare: v.optional(ratio, 0.95),
  /** Fraction of requests within the team's rate that are not refused. @default 0.999 */
  withinRateShare: v.optional(ratio, 0.999)
})

export const teamSchema = v.strictObject({
  name,
  /** Tokens per second, counted over the whole fleet. */
  tokensPerSecond: positive,
  /** Maximum tokens at once after a pause. */
  burstTokens: positive,
  /** Weight of the team in queues, relative to other teams. @default 1 */
  weight: v.optional(positive, 1),
  /** Models, adapters and services that the team may call; `*` for all. @default ['*'] */
  allow: v.optional(v.array(v.string()), ['*']),
  /** Objectives in which the team differs from the fleet. */
  objective: v.optional(v.partial(objectiveSchema))
})

export const modelSchema = v.strictObject({
  name,
  memoryMiB: positive,
  /** @default '1' */
  version: v.optional(v.string(), '1'),
  /** Maximum replicas at once. @default 2 */
  maxReplicas: v.optional(positive, 2)
})

export const adapterSchema = v.strictObject({
  name,
  /** Model that the adapter modifies. */
  model: name,
  memoryMiB: positive
})

export const serviceSchema = v.strictObject({
  name,
  /** HTTP methods whose calls must not be repeated. @default ['POST', 'PATCH'] */
  nonIdempotent: v.optional(v.array(v.picklist(['GET', 'PUT', 'POST', 'PATCH', 'DELETE'])), ['POST', 'PATCH'])
})

const weightStoreSchema = v.strictObject({
  /** Maximum loads started per second, over all engines. @default 2 */
  loadsPerSecond: v.optional(v.pipe(v.number(), v.minValue(0.01)), 2),
  /** Concurrent loads that the weight store serves at full speed, over all engines. @default 4 */
  fullSpeedLoads: v.optional(positive, 4),
  /** Concurrent adapter loads that the weight store serves at full speed, over all engines. @default 30 */
  adaptersInFlight: v.optional(positive, 30)
})

const fleetWide = {
  /** Number of cells among which the engines are divided. @default 1 */
  cells: v.optional(v.pipe(positive, v.integer()), 1),
  /** Idle accelerator time that avoiding one cold start is worth, as a multiple of the duration of the cold start. @default 150 */
  coldStartWorth: v.optional(positive, 150),
  /** Limits of the weight store that all engines load from. */
  weightStore: v.optional(weightStoreSchema, {}),
  /** Tokens per second that the engines can produce; `plan` warns if the rates of all teams exceed it. */
  capacityTokensPerSecond: v.optional(positive),
  /** Objectives of every team, unless the team overrides them. */
  objective: v.optional(objectiveSchema, {})
}

/** The base file as a whole, and the resolved configuration. */
export const fleetSchema = v.strictObject({
  ...fleetWide,
  team: v.optional(v.array(teamSchema), []),
  model: v.optional(v.array(modelSchema), []),
  adapter: v.optional(v.array(adapterSchema), []),
  service: v.optional(v.array(serviceSchema), [])
})

/** The base file without its adapters, which are stored separately (see `chunks.ts`). */
export const baseSchema = v.omit(fleetSchema, ['adapter'])

/** An overlay changes some fields of an entry of the base, or adds a new entry with all fields. */
export const overlaySchema = v.strictObject({
  cells: v.optional(v.pipe(positive, v.integer())),
  coldStartWorth: v.optional(positive),
  weightStore: v.optional(v.partial(weightStoreSchema)),
  capacityTokensPerSecond: v.optional(positive),
  objective: v.optional(v.partial(objectiveSchema)),
  /** Entries of the base that are removed at this site. */
  without: v.optional(v.strictObject({
    /** @default [] */
    team: v.optional(v.array(name), []),
    /** @default [] */
    model: v.optional(v.array(name), []),
    /** @default [] */
    adapter: v.optional(v.array(name), []),
    /** @default [] */
    service: v.optional(v.array(name), [])
  })),
  team: v.optional(v.array(v.strictObject({ ...v.partial(teamSchema).entries, name })), []),
  model: v.optional(v.array(v.strictObject({ ...v.partial(modelSchema).entries, name })), []),
  service: v.optional(v.array(v.strictObject({ ...v.partial(serviceSchema).entries, name })), [])
})

export const overlayAdapterSchema = v.strictObject({ ...v.partial(adapterSchema).entries, name })

export type FleetConfig = v.InferOutput<typeof fleetSchema>
export type ObjectiveConfig = v.InferOutput<typeof objectiveSchema>
export type TeamConfig = v.InferOutput<typeof teamSchema>
export type ModelConfig = v.InferOutput<typeof modelSchema>
export type AdapterConfig = v.InferOutput<typeof adapterSchema>
export type ServiceConfig = v.InferOutput<typeof serviceSchema>

export const EMPTY_FLEET: FleetConfig = v.parse(fleetSchema, {})
