/** The forms of what engines answer by their control protocol, see {@link ./protocol}. */
import * as v from 'valibot'

const loadedState = v.picklist(['loading', 'loaded', 'unloading'])

export const orderReplySchema = v.object({
  orderId: v.string(),
  outcome: v.picklist(['done', 'already-done', 'stale-fence', 'no-memory', 'failed', 'unknown-model']),
  message: v.optional(v.string())
})

export const engineStateSchema = v.object({
  engine: v.string(),
  incarnation: v.string(),
  fence: v.number(),
  checksFence: v.boolean(),
  canResume: v.boolean(),
  role: v.picklist(['serve', 'prefill', 'decode']),
  memoryMiB: v.number(),
  usedMiB: v.number(),
  models: v.array(v.object({ model: v.string(), version: v.string(), state: loadedState, memoryMiB: v.number(), orderId: v.string() })),
  adapters: v.array(v.object({ adapter: v.string(), model: v.string(), state: loadedState, memoryMiB: v.number(), orderId: v.string() })),
  checkpoints: v.array(v.object({ model: v.string(), tier: v.picklist(['memory', 'disk', 'remote']) })),
  leaving: v.boolean()
})

export const loadReportSchema = v.object({
  engine: v.string(),
  atMs: v.number(),
  running: v.number(),
  waiting: v.number(),
  tokensPerSecond: v.number(),
  cacheUse: v.number(),
  leaving: v.boolean()
})

export const cacheEventsSchema = v.object({
  oldest: v.number(),
  events: v.array(v.object({ sequence: v.number(), kind: v.picklist(['stored', 'evicted']), model: v.string(), prefix: v.string() }))
})
