/** Seeded random numbers, so that a run can be repeated. */

export interface Random {
  /** Returns a number in [0, 1). */
  next (): number
  /** Returns an integer in [0, bound). */
  below (bound: number): number
  pick<T> (items: readonly T[]): T
  /** Returns an exponentially distributed number with this mean. */
  exponential (mean: number): number
}

const MULTIPLIER = 0x6d2b79f5

/** Creates a mulberry32 generator: small, seeded and random enough for arrivals. */
export function createRandom (seed: number): Random {
  let state = seed >>> 0
  const next = (): number => {
    state = (state + MULTIPLIER) >>> 0
    let mixed = state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }
  const below = (bound: number): number => Math.floor(next() * bound)
  return {
    next,
    below,
    pick: items => items[below(items.length)]!,
    exponential: mean => -Math.log(1 - next()) * mean
  }
}
