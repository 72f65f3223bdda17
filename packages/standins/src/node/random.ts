/**
 * Seeded randomness, so that every run of a stand-in goes the same way.
 */

/** Uniform in [0, 1). */
export type Random = () => number

/** Mulberry32: small and good enough to spread load times. */
export function createRandom (seed: number): Random {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}
