/**
 * Determines which members hold links to one another. Up to {@link MAX_FULL_MESH_MEMBERS} all do. In a larger fleet
 * each holds a bounded number, determined by the list of members alone: links to adjacent members on a ring in hash
 * order, which connect the fleet, and to distant partners on it, which keep every member within a few hops.
 * Neighbourhood is mutual. Each member computes only its own neighbours: otherwise each would go through all pairs at
 * every change of the members.
 */
import { stableHash } from '../utils'

/** With more members than this, heartbeats and copies of notices would exceed the budget of control traffic. */
export const MAX_FULL_MESH_MEMBERS = 16
/** Adjacent members on the ring, on each side. */
const RING_NEIGHBOURS_PER_SIDE = 2
/** Minimum of the mean number of distant partners per member; the maximum is twice as many. */
const MIN_MEAN_PARTNERS = 2
/** {@link mix} is uniformly distributed below this. */
const MIX_RANGE = 2 ** 32

export interface RingPosition {
  id: string
  /** Position on the ring. */
  hash: number
}

/** Returns the members in the order of the ring. */
export function orderOnRing (ids: readonly string[]): readonly RingPosition[] {
  return ids.map(id => ({ id, hash: hashOf(id) })).sort((left, right) => left.hash - right.hash)
}

/** Returns the neighbours of one of the members. */
export function neighboursOf (id: string, ring: readonly RingPosition[]): ReadonlySet<string> {
  const index = ring.findIndex(place => place.id === id)
  const ownPosition = ring[index]
  if (ownPosition === undefined) return new Set()
  const others = ring.filter(place => place !== ownPosition)
  if (ring.length <= MAX_FULL_MESH_MEMBERS) return new Set(others.map(place => place.id))
  const steps = Array.from({ length: RING_NEIGHBOURS_PER_SIDE }, (_, step) => step + 1)
  const adjacent = steps.flatMap(step => [ring[(index + step) % ring.length]!, ring[(index - step + ring.length) % ring.length]!])
  const threshold = partnerThreshold(ring.length)
  const partners = others.filter(place => mix(ownPosition.hash, place.hash) < threshold)
  return new Set([...adjacent, ...partners].map(place => place.id))
}

/**
 * Returns the limit below which the mixed hash of a pair makes it partners. It halves where the number of members
 * doubles, so that a member that joins or leaves changes only its own partners.
 */
function partnerThreshold (count: number): number {
  return MIX_RANGE * MIN_MEAN_PARTNERS / 2 ** Math.floor(Math.log2(count))
}

/**
 * Hashes by id. Nearly all members stay the same at each change, and computing a cryptographic hash of each would take
 * the most time.
 */
const hashCache = new Map<string, number>()
const MAX_CACHED_HASHES = 10_000

function hashOf (id: string): number {
  const known = hashCache.get(id)
  if (known !== undefined) return known
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear()
  const hash = stableHash(id)
  hashCache.set(id, hash)
  return hash
}

/** Mixes two hashes in a few instructions; their order does not matter. */
function mix (one: number, other: number): number {
  let bits = Math.imul((one ^ other) ^ 0x9e3779b9, 0x85ebca6b) ^ Math.imul((one + other) | 0, 0xc2b2ae35)
  bits = Math.imul(bits ^ (bits >>> 15), 0x2c1b3c6d)
  bits = Math.imul(bits ^ (bits >>> 12), 0x297a2d39)
  return (bits ^ (bits >>> 15)) >>> 0
}
