/**
 * Which members hold links to one another. Up to {@link FULL_MESH} all do. Beyond, each keeps a bounded number,
 * worked out by everybody alike from the list of members: a ring in hashed order, which holds the fleet together,
 * and partners far away on it, which keep every member within a few hops. Neighbourhood is mutual, and each member
 * works out its own alone: at each change of members all would else go through all pairs.
 */
import { stableHash } from '../utils'

/** With more members than this, heartbeats and copies of notices would cost more than control may spend. */
export const FULL_MESH = 16
/** Next members on the ring, on each side. */
const RING = 2
/** Partners far away, on average between this and twice as many. */
const PARTNERS = 2
/** {@link mix} gives each number below this alike. */
const MIXED_RANGE = 2 ** 32

export interface Place {
  id: string
  /** Where it stands on the ring. */
  at: number
}

/** Members in the order of the ring. */
export function placeOnRing (ids: readonly string[]): readonly Place[] {
  return ids.map(id => ({ id, at: hashOf(id) })).sort((left, right) => left.at - right.at)
}

/** The neighbours of one of the members. */
export function neighboursOf (id: string, ring: readonly Place[]): ReadonlySet<string> {
  const index = ring.findIndex(place => place.id === id)
  const own = ring[index]
  if (own === undefined) return new Set()
  const others = ring.filter(place => place !== own)
  if (ring.length <= FULL_MESH) return new Set(others.map(place => place.id))
  const steps = Array.from({ length: RING }, (_, step) => step + 1)
  const beside = steps.flatMap(step => [ring[(index + step) % ring.length]!, ring[(index - step + ring.length) % ring.length]!])
  const limit = partnerLimit(ring.length)
  const partners = others.filter(place => mix(own.at, place.at) < limit)
  return new Set([...beside, ...partners].map(place => place.id))
}

/**
 * Pairs whose hash is below are partners. It halves where the number of members doubles, so that one that comes or goes
 * changes only its own partners.
 */
function partnerLimit (count: number): number {
  return MIXED_RANGE * PARTNERS / 2 ** Math.floor(Math.log2(count))
}

/** By id. Members are the same at nearly every change of them, and a cryptographic hash of each would take longest. */
const hashes = new Map<string, number>()
const MOST_HASHES = 10_000

function hashOf (id: string): number {
  const known = hashes.get(id)
  if (known !== undefined) return known
  if (hashes.size >= MOST_HASHES) hashes.clear()
  const hash = stableHash(id)
  hashes.set(id, hash)
  return hash
}

/** Mixes two hashes in a few instructions, the same in either order. */
function mix (one: number, other: number): number {
  let bits = Math.imul((one ^ other) ^ 0x9e3779b9, 0x85ebca6b) ^ Math.imul((one + other) | 0, 0xc2b2ae35)
  bits = Math.imul(bits ^ (bits >>> 15), 0x2c1b3c6d)
  bits = Math.imul(bits ^ (bits >>> 12), 0x297a2d39)
  return (bits ^ (bits >>> 15)) >>> 0
}
