/** States when the choice of an engine differs from that of the least loaded server. */

/**
 * With this many instances for each slot of an engine, a view that is half a second old misses more requests than an
 * engine has room for: all instances would send to the engine that was least loaded when the view was made.
 */
export const MIN_INSTANCES_PER_SLOT = 3
/** Speeds that differ by less than this ratio count as equal: the load of engines alone causes smaller differences. */
export const MIN_SPEED_RATIO = 1.5

/** Returns whether requests are spread over engines at random instead of sent to the least loaded one. */
export function isSpreadingNeeded (instanceCount: number, slotsPerEngine: number): boolean {
  return slotsPerEngine > 0 && instanceCount >= MIN_INSTANCES_PER_SLOT * slotsPerEngine
}

/** Returns whether the speeds of engines differ enough to matter for the choice. */
export function areSpeedsUneven (speeds: readonly number[]): boolean {
  if (speeds.length < 2) return false
  return Math.max(...speeds) >= MIN_SPEED_RATIO * Math.min(...speeds)
}
