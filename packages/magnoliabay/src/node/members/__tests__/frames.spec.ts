import { Encoder } from 'cbor-x'
import { expect } from 'chai'
import fc from 'fast-check'
import { Readable } from 'node:stream'
import { FrameError, MAX_FRAME_BYTES, encodeFrame, readFrames } from '../frames'
import type { Frame, FrameErrorKind } from '../frames'

const SEED = 20261202
const encoder = new Encoder({ useRecords: false })

function withLength (payload: Buffer, length = payload.length): Buffer {
  const head = Buffer.alloc(4)
  head.writeUInt32BE(length)
  return Buffer.concat([head, payload])
}

const encoded = (value: unknown): Buffer => withLength(encoder.encode(value))

interface Reading {
  frames: Frame[]
  err?: FrameErrorKind
}

/** Reads `bytes` in packets of the given sizes, in turn. Rejects on any error but a FrameError. */
async function read (bytes: Buffer, sizes: readonly number[] = [bytes.length]): Promise<Reading> {
  const packets: Buffer[] = []
  for (let at = 0; at < bytes.length;) {
    const size = Math.max(1, sizes[packets.length % sizes.length]!)
    packets.push(bytes.subarray(at, at + size))
    at += size
  }
  const frames: Frame[] = []
  try {
    for await (const frame of readFrames(Readable.from(packets))) frames.push(frame)
    return { frames }
  } catch (err) {
    if (!(err instanceof FrameError)) throw err
    return { frames, err: err.kind }
  }
}

const kind = fc.string({ maxLength: 12 })
const body = fc.jsonValue().filter(value => !JSON.stringify(value).includes('-0'))
const id = fc.nat()
const frame: fc.Arbitrary<Frame> = fc.oneof(
  fc.constant<Frame>({ type: 'beat' }),
  fc.constant<Frame>({ type: 'goodbye' }),
  fc.record({ type: fc.constant('call' as const), id, kind, body }),
  fc.record({ type: fc.constant('reply' as const), id, ok: fc.boolean(), body }),
  fc.record({ type: fc.constant('notice' as const), kind, body })
)
const sizes = fc.array(fc.integer({ min: 1, max: 40 }), { minLength: 1, maxLength: 6 })

describe('frames between members', () => {
  it('are decoded as they were encoded, however the packets are split', () => fc.assert(
    fc.asyncProperty(fc.array(frame, { maxLength: 8 }), sizes, async (frames, cuts) => {
      const reading = await read(Buffer.concat(frames.map(encodeFrame)), cuts)
      expect(reading).to.deep.equal({ frames })
    }), { seed: SEED, numRuns: 200 }))

  it('any bytes are decoded to frames or end with a FrameError', () => fc.assert(
    fc.asyncProperty(fc.uint8Array({ maxLength: 60 }), fc.boolean(), sizes, async (bytes, hasLength, cuts) => {
      const reading = await read(hasLength ? withLength(Buffer.from(bytes)) : Buffer.from(bytes), cuts)
      expect(reading.frames).to.be.an('array')
    }), { seed: SEED, numRuns: 2000 }))

  it('frames with one changed byte are decoded to frames or end with a FrameError', () => fc.assert(
    fc.asyncProperty(fc.array(frame, { minLength: 1, maxLength: 4 }), fc.nat(), fc.integer({ min: 1, max: 255 }), async (frames, at, flip) => {
      const bytes = Buffer.concat(frames.map(encodeFrame))
      bytes[at % bytes.length]! ^= flip
      expect((await read(bytes)).frames.length).to.be.at.most(frames.length + bytes.length)
    }), { seed: SEED, numRuns: 2000 }))

  const member = {
    id: 'a', incarnation: 'a-1', startedAtMs: 1, region: 'r', failureDomain: 'd', peerAddress: 'p', entryAddress: 'e', operatorAddress: 'o', leaving: false, processorShare: 0
  }
  const { incarnation, ...withoutIncarnation } = member
  const bad: Array<{ title: string, bytes: Buffer, err: FrameErrorKind }> = [
    { title: 'a length over the limit', bytes: withLength(Buffer.alloc(0), MAX_FRAME_BYTES + 1), err: 'too-long' },
    { title: 'a length with all bits set', bytes: withLength(Buffer.alloc(0), 0xffffffff), err: 'too-long' },
    { title: 'an empty payload', bytes: withLength(Buffer.alloc(0)), err: 'not-cbor' },
    { title: 'truncated CBOR', bytes: withLength(encoder.encode({ type: 'notice', kind: 'k' }).subarray(0, 9)), err: 'not-cbor' },
    { title: 'an array that declares 2^32 - 1 items', bytes: withLength(Buffer.from([0x9a, 0xff, 0xff, 0xff, 0xff])), err: 'not-cbor' },
    { title: 'bytes after the value', bytes: withLength(Buffer.concat([encoder.encode({ type: 'beat' }), Buffer.from([1])])), err: 'not-cbor' },
    { title: 'a number', bytes: encoded(7), err: 'not-a-frame' },
    { title: 'null', bytes: encoded(null), err: 'not-a-frame' },
    { title: 'an array', bytes: encoded(['beat']), err: 'not-a-frame' },
    { title: 'an object without a type', bytes: encoded({ id: 1 }), err: 'not-a-frame' },
    { title: 'an unknown type', bytes: encoded({ type: 'burst' }), err: 'not-a-frame' },
    { title: 'the name of a built-in property as type', bytes: encoded({ type: 'constructor' }), err: 'not-a-frame' },
    { title: 'a call whose id is text', bytes: encoded({ type: 'call', id: '1', kind: 'k' }), err: 'not-a-frame' },
    { title: 'a call without a kind', bytes: encoded({ type: 'call', id: 1 }), err: 'not-a-frame' },
    { title: 'a call whose id is not an integer', bytes: encoded({ type: 'call', id: 1.5, kind: 'k' }), err: 'not-a-frame' },
    { title: 'a reply whose ok is not a boolean', bytes: encoded({ type: 'reply', id: 1, ok: 1 }), err: 'not-a-frame' },
    { title: 'a notice whose kind is a number', bytes: encoded({ type: 'notice', kind: 3 }), err: 'not-a-frame' },
    { title: 'a hello without a member', bytes: encoded({ type: 'hello' }), err: 'not-a-frame' },
    { title: 'a hello without an incarnation', bytes: encoded({ type: 'hello', member: withoutIncarnation }), err: 'not-a-frame' },
    { title: 'a hello whose member has a wrong type', bytes: encoded({ type: 'hello', member: { ...member, leaving: 'no' } }), err: 'not-a-frame' }
  ]
  bad.forEach(({ title, bytes, err }) => it(`${title}: ${err}`, async () => {
    const reading = await read(Buffer.concat([encodeFrame({ type: 'beat' }), bytes]))
    expect(reading).to.deep.equal({ frames: [{ type: 'beat' }], err })
  }))

  it('a frame truncated by the end of the connection is ignored', async () => {
    const bytes = Buffer.concat([encodeFrame({ type: 'beat' }), encodeFrame({ type: 'goodbye' }).subarray(0, 6)])
    expect(await read(bytes)).to.deep.equal({ frames: [{ type: 'beat' }] })
  })

  it('a frame of the maximum size is read, a larger one is not encoded', async () => {
    const noticeOf = (length: number): Frame => ({ type: 'notice', kind: 'k', body: 'x'.repeat(length) })
    const overhead = encodeFrame(noticeOf(100_000)).length - 4 - 100_000
    const largest = encodeFrame(noticeOf(MAX_FRAME_BYTES - overhead))
    expect((await read(largest, [65_536])).frames).to.have.length(1)
    expect(() => encodeFrame(noticeOf(MAX_FRAME_BYTES - overhead + 1))).to.throw(FrameError).with.property('kind', 'too-long')
  })

  const TAGGED: ReadonlyArray<[string, unknown]> = [
    ['a bignum', 2n ** 80n],
    ['a negative one', -(2n ** 80n)],
    ['a date', new Date(0)],
    ['a regular expression', /x/],
    ['a set', new Set([1])]
  ]
  /** Guards against an event loop that is held for minutes by a bignum of four megabytes. */
  TAGGED.forEach(([name, value]) => it(`are refused with ${name}`, async () => {
    expect(await read(encoded({ type: 'notice', kind: 'note', body: [value] }))).to.deep.equal({ frames: [], err: 'not-cbor' })
  }))

  it('may hold bytes', async () => {
    const { frames: [received] } = await read(encodeFrame({ type: 'notice', kind: 'note', body: { packed: new Uint8Array([1, 2]) } }))
    expect(received).to.deep.nested.property('body.packed[1]', 2)
  })
})
