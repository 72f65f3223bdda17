/**
 * Seeded random numbers, so that every run of a stand-in is reproducible.
 */

/** Returns a number uniformly distributed in [0, 1). */
export type Random = () => number

/** Creates a Mulberry32 generator, which is small and good enough to vary load times. */
export function createRandom (seed: number): Random {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}
