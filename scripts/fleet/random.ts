/** Seeded randomness, so that a run can be asked for again. */

export interface Random {
  /** In [0, 1). */
  next (): number
  /** Whole number in [0, bound). */
  below (bound: number): number
  pick<T> (items: readonly T[]): T
  /** Exponential gap with this mean. */
  exponential (mean: number): number
}

const MULTIPLIER = 0x6d2b79f5

/** Mulberry32: small, seeded, good enough for arrivals. */
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
