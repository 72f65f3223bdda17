/**
 * Frames between members: four bytes of length, then one CBOR value.
 */
import { Decoder, Encoder, addExtension } from 'cbor-x'
import type { Readable } from 'node:stream'
import { createByteQueue } from './byteQueue'
import type { MemberRecord } from './record'

export type Frame =
  /** `to`: id of the member that was dialled; absent from the other side, and from an older version. */
  | { type: 'hello', member: MemberRecord, to?: string }
  | { type: 'beat' }
  | { type: 'call', id: number, kind: string, body: unknown }
  | { type: 'reply', id: number, ok: boolean, body: unknown }
  | { type: 'notice', kind: string, body: unknown }
  | { type: 'goodbye' }

const LENGTH_BYTES = 4
/** Larger than any message, such as a configuration of 1 MB, so that a damaged length can't exhaust memory. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

/**
 * Tags of CBOR that members never send: dates, bignums, shared and packed values, objects and sets. A bignum is decoded in
 * quadratic time: one of a hundred kilobytes would hold the event loop for seconds, and one of a whole frame for many minutes.
 */
const REFUSED_TAGS = [0, 1, 2, 3, 4, 5, 6, 14, 15, 27, 28, 29, 51, 105, 258, 259]

class RefusedTagError extends Error {
  constructor (tag: number) {
    super(`members send no values with tag ${tag}`)
  }
}

REFUSED_TAGS.forEach(tag => addExtension({
  // The library has one table of tags for the process. Only decoding changes: nothing is encoded by this class.
  Class: RefusedTagError,
  tag,
  encode: () => new Uint8Array(),
  decode: () => { throw new RefusedTagError(tag) }
}))

export type FrameErrorKind = 'too-long' | 'not-cbor' | 'not-a-frame'

export class FrameError extends Error {
  constructor (readonly kind: FrameErrorKind) {
    super(`bad frame: ${kind}`)
  }
}

type Fields = Readonly<Record<string, unknown>>
type FieldType = 'string' | 'number' | 'boolean'

const MEMBER_FIELDS: Readonly<Record<keyof MemberRecord, FieldType>> = {
  id: 'string',
  incarnation: 'string',
  startedAtMs: 'number',
  region: 'string',
  failureDomain: 'string',
  peerAddress: 'string',
  entryAddress: 'string',
  operatorAddress: 'string',
  leaving: 'boolean',
  processorShare: 'number'
}

const isFields = (value: unknown): value is Fields => typeof value === 'object' && value !== null
const typeOf = (value: unknown): string => typeof value
const isMember = (value: unknown): boolean =>
  isFields(value) && Object.entries(MEMBER_FIELDS).every(([name, type]) => typeOf(value[name]) === type)

/**
 * Checks of the fields of each frame type, so that code after {@link decodeFrame} can rely on their types. Handlers
 * check the bodies.
 */
const FRAME_CHECKS: Readonly<Record<Frame['type'], (fields: Fields) => boolean>> = {
  hello: fields => isMember(fields.member) && (fields.to === undefined || typeof fields.to === 'string'),
  beat: () => true,
  call: fields => Number.isSafeInteger(fields.id) && typeof fields.kind === 'string',
  reply: fields => Number.isSafeInteger(fields.id) && typeof fields.ok === 'boolean',
  notice: fields => typeof fields.kind === 'string',
  goodbye: () => true
}

/** Throws a {@link FrameError} of kind `too-long` for a frame that the peer would not accept. */
export function encodeFrame (frame: Frame): Buffer {
  const payload = encoder.encode(frame)
  if (payload.length > MAX_FRAME_BYTES) throw new FrameError('too-long')
  const header = Buffer.allocUnsafe(LENGTH_BYTES)
  header.writeUInt32BE(payload.length)
  return Buffer.concat([header, payload])
}

/** Throws a {@link FrameError} if the payload is not a valid frame. */
export function decodeFrame (payload: Buffer): Frame {
  const value = decodePayload(payload)
  if (!isFields(value) || typeof value.type !== 'string') throw new FrameError('not-a-frame')
  if (!Object.hasOwn(FRAME_CHECKS, value.type)) throw new FrameError('not-a-frame')
  if (!FRAME_CHECKS[value.type as Frame['type']](value)) throw new FrameError('not-a-frame')
  return value as Frame
}

function decodePayload (payload: Buffer): unknown {
  try {
    return decoder.decode(payload)
  } catch {
    throw new FrameError('not-cbor')
  }
}

/** Yields the frames of a connection until its end. Throws {@link FrameError} on an invalid one. */
export async function * readFrames (socket: Readable): AsyncGenerator<Frame> {
  const received = createByteQueue()
  let payloadLength: number | undefined
  for await (const chunk of socket) {
    received.push(chunk as Buffer)
    for (;;) {
      if (payloadLength === undefined) {
        if (received.size() < LENGTH_BYTES) break
        payloadLength = received.take(LENGTH_BYTES).readUInt32BE(0)
        if (payloadLength > MAX_FRAME_BYTES) throw new FrameError('too-long')
      }
      if (received.size() < payloadLength) break
      yield decodeFrame(received.take(payloadLength))
      payloadLength = undefined
    }
  }
}
