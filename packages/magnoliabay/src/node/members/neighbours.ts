/**
 * Which members hold links to one another. Up to {@link MAX_FULL_MESH_MEMBERS} all do. Beyond, each keeps a bounded number,
 * worked out by everybody alike from the list of members: a ring in hashed order, which holds the fleet together,
 * and partners far away on it, which keep every member within a few hops. Neighbourhood is mutual, and each member
 * works out its own alone: at each change of members all would else go through all pairs.
 */
import { stableHash } from '../utils'

/** With more members than this, heartbeats and copies of notices would cost more than control may spend. */
export const MAX_FULL_MESH_MEMBERS = 16
/** Next members on the ring, on each side. */
const RING_NEIGHBOURS_PER_SIDE = 2
/** Partners far away, on average between this and twice as many. */
const MIN_MEAN_PARTNERS = 2
/** {@link mix} gives each number below this alike. */
const MIX_RANGE = 2 ** 32

export interface RingPosition {
  id: string
  /** Where it stands on the ring. */
  hash: number
}

/** Members in the order of the ring. */
export function orderOnRing (ids: readonly string[]): readonly RingPosition[] {
  return ids.map(id => ({ id, hash: hashOf(id) })).sort((left, right) => left.hash - right.hash)
}

/** The neighbours of one of the members. */
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
 * Pairs whose hash is below are partners. It halves where the number of members doubles, so that one that comes or goes
 * changes only its own partners.
 */
function partnerThreshold (count: number): number {
  return MIX_RANGE * MIN_MEAN_PARTNERS / 2 ** Math.floor(Math.log2(count))
}

/** By id. Members are the same at nearly every change of them, and a cryptographic hash of each would take longest. */
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

/** Mixes two hashes in a few instructions, the same in either order. */
function mix (one: number, other: number): number {
  let bits = Math.imul((one ^ other) ^ 0x9e3779b9, 0x85ebca6b) ^ Math.imul((one + other) | 0, 0xc2b2ae35)
  bits = Math.imul(bits ^ (bits >>> 15), 0x2c1b3c6d)
  bits = Math.imul(bits ^ (bits >>> 12), 0x297a2d39)
  return (bits ^ (bits >>> 15)) >>> 0
}
