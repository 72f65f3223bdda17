/**
 * Proof that a process is gone for good. Silence, a lapsed lease and a refused connection are no proof:
 * a paused process wakes up and goes on with what it believes that it holds.
 */
import type { Disposer } from './peers'

export interface ProcessName {
  /** Instance id. */
  member: string
  incarnation: string
}

/**
 * `listed-gone`: the platform's list had the instance after this process started, and has it no more.
 * `goodbye`: the process said so itself. `newer-incarnation`: another process has bound the same addresses.
 */
export type ProofKind = 'listed-gone' | 'goodbye' | 'newer-incarnation'

export interface GoneProofs {
  /** The proof that this very process is gone, or undefined while it may still act. */
  proofFor (process: ProcessName): ProofKind | undefined
  onProven (listener: (process: ProcessName, proof: ProofKind) => void): Disposer
}
