/** Write operations on claims and their outcomes. */
import * as v from 'valibot'

/**
 * `claim`: creates the claim if the key is free. `replace`, `remove`: change the claim if its value is `expected`.
 * `part`: writes a part of a stored response.
 */
export type ClaimWrite =
  | { kind: 'claim', key: string, value: string }
  | { kind: 'replace', key: string, value: string, expected: string }
  | { kind: 'remove', key: string, expected: string }
  | { kind: 'part', key: string, value: string }

/**
 * `done`: applied. `lost`: the key has another value, and nothing was changed. `unavailable`: certainly not
 * applied. `unknown`: may have been applied, or may still be.
 */
export type WriteOutcome = 'done' | 'lost' | 'unavailable' | 'unknown'

const key = v.string()
const value = v.string()
const expected = v.string()
export const claimWriteSchema = v.variant('kind', [
  v.object({ kind: v.literal('claim'), key, value }),
  v.object({ kind: v.literal('replace'), key, value, expected }),
  v.object({ kind: v.literal('remove'), key, expected }),
  v.object({ kind: v.literal('part'), key, value })
])
export const writeOutcomeSchema = v.picklist(['done', 'lost', 'unavailable', 'unknown'])

export interface ClaimWriter {
  write (write: ClaimWrite): Promise<WriteOutcome>
}

export function sizeOf (write: ClaimWrite): number {
  return write.kind === 'remove' ? write.expected.length : write.value.length
}
