/**
 * The fleet's configuration, as operators write it: teams, models, adapters, plain services.
 * The base file and each site's overlay are checked apart ({@link baseSchema}, {@link overlaySchema});
 * an instance acts on the two resolved into one {@link FleetConfig}.
 */
import * as v from 'valibot'

export const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]*$/, 'lower-case letters, digits, dots, dashes and underscores'))
const positive = v.pipe(v.number(), v.minValue(1))
const share = v.pipe(v.number(), v.minValue(0.5), v.maxValue(0.999999))

/** Service-level objectives; a team's own ones stand over the fleet's. */
export const objectiveSchema = v.strictObject({
  /** Share of requests that are answered in full. @default 0.999 */
  availability: v.optional(share, 0.999),
  /** Time to the first token when a replica is loaded, in milliseconds. @default 830 */
  firstTokenMs: v.optional(positive, 830),
  /** Share of requests whose first token comes in that time. @default 0.95 */
  firstTokenShare: v.optional(share, 0.95),
  /** Time to the first token when a model has to be loaded first, in milliseconds. @default 60000 */
  coldStartMs: v.optional(positive, 60_000),
  /** Share of cold starts that keep to it. @default 0.95 */
  coldStartShare: v.optional(share, 0.95),
  /** Share of requests within the team's rate that are not refused. @default 0.999 */
  withinRateShare: v.optional(share, 0.999)
})

export const teamSchema = v.strictObject({
  name,
  /** Tokens a second, counted over the whole fleet. */
  tokensPerSecond: positive,
  /** Most tokens at once after a pause. */
  burstTokens: positive,
  /** Share in a queue, beside other teams'. @default 1 */
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
  /** Most replicas at once. @default 2 */
  maxReplicas: v.optional(positive, 2)
})

export const adapterSchema = v.strictObject({
  name,
  /** Model that the adapter changes. */
  model: name,
  memoryMiB: positive
})

export const serviceSchema = v.strictObject({
  name,
  /** Methods whose calls may not be repeated. @default ['POST', 'PATCH'] */
  nonIdempotent: v.optional(v.array(v.picklist(['GET', 'PUT', 'POST', 'PATCH', 'DELETE'])), ['POST', 'PATCH'])
})

const weightStoreSchema = v.strictObject({
  /** Loads begun a second at most, over all engines. @default 2 */
  loadsPerSecond: v.optional(v.pipe(v.number(), v.minValue(0.01)), 2),
  /** Loads at once at full speed, over all engines. @default 4 */
  fullSpeedLoads: v.optional(positive, 4),
  /** Adapters loading at once at full speed, over all engines. @default 30 */
  adaptersInFlight: v.optional(positive, 30)
})

const fleetWide = {
  /** Number of cells that the engines are spread over. @default 1 */
  cells: v.optional(v.pipe(positive, v.integer()), 1),
  /** Idle accelerator time that sparing one cold start is worth, as a multiple of how long that takes. @default 150 */
  coldStartWorth: v.optional(positive, 150),
  /** What all engines share when they load. */
  weightStore: v.optional(weightStoreSchema, {}),
  /** Tokens a second that the engines can give; `plan` warns when the teams' rates add up to more. */
  capacityTokensPerSecond: v.optional(positive),
  /** Objectives of every team. */
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

/** Everything of a file but its adapters, which are kept apart (see `chunks.ts`). */
export const baseSchema = v.omit(fleetSchema, ['adapter'])

/** An overlay names an entry of the base to change some of its fields, or a new one in full. */
export const overlaySchema = v.strictObject({
  cells: v.optional(v.pipe(positive, v.integer())),
  coldStartWorth: v.optional(positive),
  weightStore: v.optional(v.partial(weightStoreSchema)),
  capacityTokensPerSecond: v.optional(positive),
  objective: v.optional(v.partial(objectiveSchema)),
  /** Entries of the base that do not hold at this site. */
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
