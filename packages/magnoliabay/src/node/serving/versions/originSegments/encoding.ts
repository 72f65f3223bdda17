/**
 * The form of stream origins in the store and between instances: 64 bits for a stream, listed under the service and software
 * version at which it began.
 */
import { createHash } from 'node:crypto'
import * as v from 'valibot'
import type { InputError } from '../../../inputs'
import { checkInput } from '../../../inputs'
import type { Result } from '../../../result'
import { parseJson } from '../../../utils'
import type { StreamOrigin } from '../streamOrigins'

/** Of 84,000 records, one has the hash of a given other stream with a probability of 5e-15. */
const HASH_BYTES = 8
/** Characters of a hash in base64url. */
export const HASH_LENGTH = 11
/** Streams of one origin that may be resumed for about as long are sent together; their records are kept for up to this much longer, milliseconds. */
const KEEP_STEP_MS = 5000
/** The longest lease of the store: no record is kept for longer, milliseconds. */
export const MAX_KEEP_MS = 600_000

export interface HashedRecord {
  hash: string
  origin: StreamOrigin
  /** Until when the stream may be resumed, monotonic milliseconds of this instance. */
  untilMs: number
}

const hashes = v.pipe(v.string(), v.regex(new RegExp(`^(?:[\\w-]{${HASH_LENGTH}})*$`)))
const originEntries = { service: v.string(), softwareVersion: v.string(), streams: hashes }
const segmentSchema = v.object({ origins: v.array(v.object(originEntries)) })

/** Streams of one origin. */
export interface OriginStreams extends StreamOrigin {
  /** Hashes of the streams, one after the other. */
  streams: string
}

/** Streams of one origin that may be resumed for about as long. */
export interface OriginGroup extends OriginStreams {
  /** Time for which they may still be resumed, milliseconds. */
  keepMs: number
}
export const groupsSchema = v.array(v.object({ ...originEntries, keepMs: v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_KEEP_MS)) }))

/** Returns the name of a stream in the store. */
export function hashOfStream (key: string): string {
  return createHash('sha256').update(key).digest().subarray(0, HASH_BYTES).toString('base64url')
}

const splitHashes = (streams: string): string[] => Array.from({ length: streams.length / HASH_LENGTH }, (_, index) => streams.slice(index * HASH_LENGTH, (index + 1) * HASH_LENGTH))

/** Joins the hashes of records for which `propertiesOf` returns the same. */
function joinHashes<Properties extends object> (records: readonly HashedRecord[], propertiesOf: (record: HashedRecord) => Properties): Array<Properties & { streams: string }> {
  const groups = new Map<string, { properties: Properties, hashes: string[] }>()
  records.forEach(record => {
    const properties = propertiesOf(record)
    const name = JSON.stringify(properties)
    const group = groups.get(name) ?? { properties, hashes: [] }
    groups.set(name, group)
    group.hashes.push(record.hash)
  })
  return [...groups.values()].map(group => ({ ...group.properties, streams: group.hashes.join('') }))
}

/** Returns the value of a key of the store. */
export function encodeSegment (records: readonly HashedRecord[]): string {
  return JSON.stringify({ origins: joinHashes(records, ({ origin: { service, softwareVersion } }) => ({ service, softwareVersion })) })
}

/** Returns the streams that a value names, by origin. */
export function decodeSegment (value: string): Result<OriginStreams[], InputError> {
  return checkInput(segmentSchema, parseJson(value)).map(({ origins }) => origins)
}

/** Whether the hash is one of those. Many more streams are read than looked up, so a search costs less than an index. */
export function includesHash (streams: string, hash: string): boolean {
  let position = streams.indexOf(hash)
  while (position % HASH_LENGTH > 0) position = streams.indexOf(hash, position + 1)
  return position >= 0
}

/** Returns records as they are sent to another instance, which has another clock. */
export function toGroups (records: readonly HashedRecord[], nowMs: number): OriginGroup[] {
  return joinHashes(records, ({ origin: { service, softwareVersion }, untilMs }) => ({
    service,
    softwareVersion,
    keepMs: Math.min(MAX_KEEP_MS, Math.max(0, Math.ceil((untilMs - nowMs) / KEEP_STEP_MS) * KEEP_STEP_MS))
  }))
}

/** Returns the records that another instance has sent. */
export function fromGroups (groups: readonly OriginGroup[], nowMs: number): HashedRecord[] {
  return groups.flatMap(({ service, softwareVersion, streams, keepMs }) => {
    const origin: StreamOrigin = { service, softwareVersion }
    return splitHashes(streams).map((hash): HashedRecord => ({ hash, origin, untilMs: nowMs + keepMs }))
  })
}
