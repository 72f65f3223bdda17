/**
 * The fleet's configuration, as operators write it: teams, models, adapters, plain services.
 */
import * as v from 'valibot'

const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9._-]*$/, 'lower-case letters, digits, dots, dashes and underscores'))
const positive = v.pipe(v.number(), v.minValue(1))

const teamSchema = v.strictObject({
  name,
  /** Tokens a second, counted over the whole fleet. */
  tokensPerSecond: positive,
  /** Most tokens at once after a pause. */
  burstTokens: positive,
  /** Share in a queue, beside other teams'. @default 1 */
  weight: v.optional(positive, 1),
  /** Models, adapters and services that the team may call; `*` for all. @default ['*'] */
  allow: v.optional(v.array(v.string()), ['*'])
})

const modelSchema = v.strictObject({
  name,
  memoryMiB: positive,
  /** @default '1' */
  version: v.optional(v.string(), '1'),
  /** Most replicas at once. @default 2 */
  maxReplicas: v.optional(positive, 2)
})

const adapterSchema = v.strictObject({
  name,
  /** Model that the adapter changes. */
  model: name,
  memoryMiB: positive
})

const serviceSchema = v.strictObject({
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

export const fleetSchema = v.strictObject({
  /** Number of cells that the engines are spread over. @default 1 */
  cells: v.optional(v.pipe(positive, v.integer()), 1),
  /** What all engines share when they load. */
  weightStore: v.optional(weightStoreSchema, () => ({ loadsPerSecond: 2, fullSpeedLoads: 4, adaptersInFlight: 30 })),
  team: v.optional(v.array(teamSchema), []),
  model: v.optional(v.array(modelSchema), []),
  adapter: v.optional(v.array(adapterSchema), []),
  service: v.optional(v.array(serviceSchema), [])
})

export type FleetConfig = v.InferOutput<typeof fleetSchema>
export type TeamConfig = v.InferOutput<typeof teamSchema>
export type ModelConfig = v.InferOutput<typeof modelSchema>
export type AdapterConfig = v.InferOutput<typeof adapterSchema>
export type ServiceConfig = v.InferOutput<typeof serviceSchema>

export const EMPTY_FLEET: FleetConfig = v.parse(fleetSchema, {})
