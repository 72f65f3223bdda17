/**
 * Compresses documents that instances send each other. A configuration with hundreds of models, sent uncompressed to all
 * instances, would fill the link of its sender and delay the summaries queued behind it.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { messageOf } from '../utils'
import { Err, Ok } from '../result'
import type { Result } from '../result'

/** Prefers speed over size, since the document is compressed again for each change. */
const COMPRESSION_LEVEL = 3
/** The store accepts no value above one megabyte, so a document that expands beyond this is damaged. */
const MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024

export function compressText (text: string): Uint8Array {
  return deflateRawSync(text, { level: COMPRESSION_LEVEL })
}

/** Returns the text, or an error message if the bytes are damaged. */
export function decompressText (compressed: Uint8Array): Result<string, string> {
  try {
    return Ok(inflateRawSync(compressed, { maxOutputLength: MAX_DECOMPRESSED_BYTES }).toString('utf8'))
  } catch (err) {
    return Err(messageOf(err))
  }
}
