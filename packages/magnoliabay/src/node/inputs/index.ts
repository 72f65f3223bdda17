/**
 * Checks what arrives from outside the process before any of it is used. What does not have the expected form is refused with
 * a typed error, logged with its sender and counted; what was known before stays.
 */
import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'
import * as v from 'valibot'
import { createSilentLogger } from '../logger'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { parseAddress } from '../utils'

export type InputSource = 'engine-report' | 'engine-answer' | 'server-response' | 'store-response' | 'store-value' | 'instance-list' | 'peer-message'

/** Input without the expected form. */
export interface InputError {
  kind: 'malformed'
  /** Where it differs, and how. */
  message: string
}

/** Who sent the input, for logs: the id of a server, a key of the store, or a member. */
export interface InputSender {
  server?: string
  key?: string
  peer?: string
  request?: string
  call?: string
}

export interface InputMonitor {
  /** Returns the checked value, or an error that has been logged and counted. */
  check<Schema extends v.GenericSchema> (source: InputSource, sender: InputSender, schema: Schema, value: unknown): Result<v.InferOutput<Schema>, InputError>
  /** Counts input whose refusal has an event of its own. */
  countRefused (source: InputSource): void
  /** Logs and counts input that was refused elsewhere. */
  recordRefused (source: InputSource, sender: InputSender, reason: string): void
  register (registry: Registry): void
}

/** Bounds a log line; a path through the input is short. */
const MAX_REASON_LENGTH = 160

/** Returns the value with its type checked; the error says where it differs. */
export function checkInput<Schema extends v.GenericSchema> (schema: Schema, value: unknown): Result<v.InferOutput<Schema>, InputError> {
  const checked = v.safeParse(schema, value, { abortEarly: true })
  if (checked.success) return Ok(checked.output)
  const [issue] = checked.issues
  const path = v.getDotPath(issue)
  return Err({ kind: 'malformed', message: `${path === null ? '' : `${path}: `}${issue.message}`.slice(0, MAX_REASON_LENGTH) })
}

export function createInputMonitor (logger: Logger = createSilentLogger()): InputMonitor {
  const refused = new Counter({ name: 'magnoliabay_refused_inputs_total', help: 'Input from outside without the expected form, by where it came from.', labelNames: ['source'], registers: [] })
  const countRefused: InputMonitor['countRefused'] = source => { refused.inc({ source }) }
  const recordRefused: InputMonitor['recordRefused'] = (source, sender, reason) => {
    countRefused(source)
    logger.warn('input-refused', { source, ...sender, reason: reason.slice(0, MAX_REASON_LENGTH) })
  }
  return {
    countRefused,
    recordRefused,
    check: (source, sender, schema, value) => {
      const checked = checkInput(schema, value)
      if (checked.err) recordRefused(source, sender, checked.val.message)
      return checked
    },
    register: registry => registry.registerMetric(refused)
  }
}

/** A whole number from 0, as counts and times are. */
export const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0))
/** A finite number. */
export const finite = v.pipe(v.number(), v.finite())
/** A duration or a limit: finite, and not negative. */
export const nonNegative = v.pipe(v.number(), v.finite(), v.minValue(0))
/** `ip:port` to which a connection can be made. */
export const connectableAddress = v.pipe(v.string(), v.check(address => parseAddress(address) !== undefined, 'no address ip:port'))
/** A list that some senders write as null where it is empty. */
export function listOf<Item extends v.GenericSchema> (item: Item): v.NullishSchema<v.ArraySchema<Item, undefined>, () => Array<v.InferInput<Item>>> {
  return v.nullish(v.array(item), () => [])
}
