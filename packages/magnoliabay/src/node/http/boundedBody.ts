/** Reads responses up to a bound: a faulty server may send bytes without end, which would use up the memory. */
import type { Readable } from 'node:stream'

/** Longest body of a refusal that is read, so that its connection can be kept, bytes. Its head settles it. */
export const MAX_REFUSAL_BYTES = 16_384
/** The body of a refusal arrives with its head; longest wait for its end, milliseconds. */
export const REFUSAL_BODY_TIMEOUT_MS = 250
/** Bytes of an exchange that are no part of a body, beside the framing of its chunks: what is read and not parsed yet counts too. */
const MAX_OVERHEAD_BYTES = 1_048_576
/** Framing of a body that comes in chunks of a byte each, bytes for each. */
const MAX_FRAMING_RATIO = 16

/** Whether an exchange has more bytes beside its body than any sound one: a status line, chunk extensions or trailers without end. */
export function isOverheadEndless (receivedBytes: number, bodyBytes: number): boolean {
  return receivedBytes - bodyBytes > MAX_OVERHEAD_BYTES + MAX_FRAMING_RATIO * bodyBytes
}

/** Largest size of all informational responses that precede a response, bytes. */
export const MAX_HINT_BYTES = 65_536

/** The body has more bytes than are read; its connection is closed. */
export class BodyTooLargeError extends Error {
  constructor (readonly maxBytes: number) {
    super(`the body has more than ${maxBytes} bytes`)
    this.name = 'BodyTooLargeError'
  }
}

/** Returns the whole body. Rejects with a {@link BodyTooLargeError}; leaving the body unread closes its connection. */
export async function readText (body: Readable, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of body) {
    size += (chunk as Buffer).length
    if (size > maxBytes) throw new BodyTooLargeError(maxBytes)
    chunks.push(chunk as Buffer)
  }
  return Buffer.concat(chunks).toString('utf8')
}

/** Returns the body, parsed. Rejects with a {@link BodyTooLargeError} or a `SyntaxError`. */
export async function readJson (body: Readable, maxBytes: number): Promise<unknown> {
  return JSON.parse(await readText(body, maxBytes)) as unknown
}
