/**
 * Which members hold links to one another. Up to {@link FULL_MESH} all do. Beyond, each keeps a bounded number,
 * worked out by everybody alike from the list of members: a ring in hashed order, which holds the fleet together,
 * and a few partners far away on it, which keep every member within a few hops. Neighbourhood is mutual.
 */
import { stableHash } from '../utils'

/** With more members than this, heartbeats and copies of notices would cost more than control may spend. */
export const FULL_MESH = 16
/** Next members on the ring, on each side. */
const RING = 2
/** Partners far away that a member chooses; about as many choose it. */
const PARTNERS = 3

export type Neighbours = ReadonlyMap<string, ReadonlySet<string>>

/** The neighbours of every member. */
export function mapNeighbours (ids: readonly string[]): Neighbours {
  const neighbours = new Map(ids.map(id => [id, new Set<string>()]))
  const join = (one: string, other: string): void => {
    if (one === other) return
    neighbours.get(one)!.add(other)
    neighbours.get(other)!.add(one)
  }
  if (ids.length <= FULL_MESH) {
    ids.forEach(one => ids.forEach(other => join(one, other)))
    return neighbours
  }
  const ring = ids.map(id => ({ id, at: stableHash(id) })).sort((left, right) => left.at - right.at)
  ring.forEach(({ id }, index) => {
    for (let step = 1; step <= RING; step += 1) join(id, ring[(index + step) % ring.length]!.id)
    choosePartners(ring, index).forEach(partner => join(id, partner))
  })
  return neighbours
}

interface Place {
  id: string
  at: number
}

/**
 * Rendezvous hashing: one that comes or goes changes only the partners that it wins or held. The best few are
 * kept in one pass, since sorting all of 420 for each of 420 would hold up the event loop.
 */
function choosePartners (ring: readonly Place[], index: number): string[] {
  const own = ring[index]!
  const best: Candidate[] = []
  ring.forEach(place => {
    if (place !== own) keepBest(best, { id: place.id, weight: mix(own.at, place.at) })
  })
  return best.map(candidate => candidate.id)
}

interface Candidate {
  id: string
  weight: number
}

/** `best` is kept in falling order of weight, at most {@link PARTNERS} long. */
function keepBest (best: Candidate[], candidate: Candidate): void {
  if (best.length === PARTNERS && best[PARTNERS - 1]!.weight >= candidate.weight) return
  const place = best.findIndex(other => other.weight < candidate.weight)
  best.splice(place < 0 ? best.length : place, 0, candidate)
  best.length = Math.min(best.length, PARTNERS)
}

/** Mixes two hashes in a few instructions: a cryptographic hash for each of n^2 pairs would hold up the event loop. */
function mix (one: number, other: number): number {
  let bits = Math.imul(one ^ 0x9e3779b9, 0x85ebca6b) ^ Math.imul(other, 0xc2b2ae35)
  bits = Math.imul(bits ^ (bits >>> 15), 0x2c1b3c6d)
  bits = Math.imul(bits ^ (bits >>> 12), 0x297a2d39)
  return (bits ^ (bits >>> 15)) >>> 0
}
