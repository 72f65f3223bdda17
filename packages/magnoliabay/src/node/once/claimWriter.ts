/** Writes about claims, and what can become of them. */

/** `claim`: create it, if nobody has. `replace`, `remove`: change the claim that reads `expected`. */
export type ClaimWrite =
  | { kind: 'claim', key: string, value: string }
  | { kind: 'replace', key: string, value: string, expected: string }
  | { kind: 'remove', key: string, expected: string }
  | { kind: 'part', key: string, value: string }

/**
 * `done`: in force. `lost`: the key reads otherwise, and nothing was changed. `unavailable`: certainly not
 * carried out. `unknown`: may have been carried out, or may yet be.
 */
export type WriteOutcome = 'done' | 'lost' | 'unavailable' | 'unknown'

export interface ClaimWriter {
  write (write: ClaimWrite): Promise<WriteOutcome>
}

export function sizeOf (write: ClaimWrite): number {
  return write.kind === 'remove' ? write.expected.length : write.value.length
}
