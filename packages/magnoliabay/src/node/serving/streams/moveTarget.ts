/** Chooses the engine that continues a moved run. */

export interface MoveCandidate {
  address: string
  /** Requests in flight there, of all instances. */
  load: number
  slots: number
  failureDomain: string
}

const loadRatio = ({ load, slots }: MoveCandidate): number => load / Math.max(1, slots)

/**
 * Returns the least loaded candidate in the source's failure domain, or in another if none there has a free slot:
 * a transfer between domains takes twice the time and is billed, and a run without a slot waits.
 */
export function chooseMoveTarget (candidates: readonly MoveCandidate[], sourceDomain: string): MoveCandidate | undefined {
  const rankOf = (each: MoveCandidate): number => (loadRatio(each) < 1 ? 0 : 2) + (each.failureDomain === sourceDomain ? 0 : 1)
  return [...candidates].sort((one, other) => rankOf(one) - rankOf(other) || loadRatio(one) - loadRatio(other))[0]
}
