/**
 * Frames between members: four bytes of length, then one CBOR value.
 */
import { Decoder, Encoder } from 'cbor-x'
import type { Socket } from 'node:net'
import type { MemberRecord } from './record'

export type Frame =
  | { type: 'hello', member: MemberRecord }
  | { type: 'beat' }
  | { type: 'call', id: number, kind: string, body: unknown }
  | { type: 'reply', id: number, ok: boolean, body: unknown }
  | { type: 'notice', kind: string, body: unknown }
  | { type: 'goodbye' }

const LENGTH_BYTES = 4
/** Above any message of ours (a configuration of 1 MB), so that a damaged length can't exhaust memory. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024

const FRAME_TYPES: ReadonlySet<string> = new Set<Frame['type']>(['hello', 'beat', 'call', 'reply', 'notice', 'goodbye'])

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true })
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true })

export type FrameErrorKind = 'too-long' | 'not-cbor' | 'not-a-frame'

export class FrameError extends Error {
  constructor (readonly kind: FrameErrorKind) {
    super(`Bad frame from a peer: ${kind}.`)
  }
}

export function encodeFrame (frame: Frame): Buffer {
  const payload = encoder.encode(frame)
  const head = Buffer.allocUnsafe(LENGTH_BYTES)
  head.writeUInt32BE(payload.length)
  return Buffer.concat([head, payload])
}

export function decodeFrame (payload: Buffer): Frame {
  const value = decodePayload(payload)
  if (typeof value !== 'object' || value === null) throw new FrameError('not-a-frame')
  if (!FRAME_TYPES.has((value as Frame).type)) throw new FrameError('not-a-frame')
  return value as Frame
}

function decodePayload (payload: Buffer): unknown {
  try {
    return decoder.decode(payload)
  } catch {
    throw new FrameError('not-cbor')
  }
}

/** Yields the frames of a connection until its end. Throws {@link FrameError} on a bad one. */
export async function * readFrames (socket: Socket): AsyncGenerator<Frame> {
  let pending: Buffer = Buffer.alloc(0)
  for await (const chunk of socket) {
    pending = pending.length === 0 ? chunk as Buffer : Buffer.concat([pending, chunk as Buffer])
    while (pending.length >= LENGTH_BYTES) {
      const length = pending.readUInt32BE(0)
      if (length > MAX_FRAME_BYTES) throw new FrameError('too-long')
      const end = LENGTH_BYTES + length
      if (pending.length < end) break
      yield decodeFrame(pending.subarray(LENGTH_BYTES, end))
      pending = pending.subarray(end)
    }
  }
}
