/**
 * A document as it goes between instances. Failure: a configuration of hundreds of models, sent as it is to everybody,
 * fills the link of the one who tells it, and the summaries behind it come too late. Packed it is a small part of that.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { messageOf } from '../utils'
import { Err, Ok } from '../result'
import type { Result } from '../result'

/** Quick rather than small: it is packed again for each change. */
const COMPRESSION_LEVEL = 3
/** The store takes no value larger than a megabyte; what claims more is damaged. */
const MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024

export function compressText (text: string): Uint8Array {
  return deflateRawSync(text, { level: COMPRESSION_LEVEL })
}

/** The error says what is wrong with the bytes. */
export function decompressText (compressed: Uint8Array): Result<string, string> {
  try {
    return Ok(inflateRawSync(compressed, { maxOutputLength: MAX_DECOMPRESSED_BYTES }).toString('utf8'))
  } catch (err) {
    return Err(messageOf(err))
  }
}
