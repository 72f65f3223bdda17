import { expect } from 'chai'
import fc from 'fast-check'
import { createVirtualClock } from '../../clock/virtual'
import { createGossip } from '../gossip'
import type { GossipMessage } from '../gossip'
import { MAX_FULL_MESH_MEMBERS, neighboursOf, orderOnRing } from '../neighbours'
import type { MemberRecord } from '../record'

const idsOf = (count: number): string[] => Array.from({ length: count }, (_, index) => `member-${index}`)
const MAX_LINKS = 28
const mapNeighbours = (ids: readonly string[]): Map<string, ReadonlySet<string>> => {
  const ring = orderOnRing(ids)
  return new Map(ids.map(id => [id, neighboursOf(id, ring)]))
}

/** Counts the members that are reachable from the first over links between live members. */
function countReachable (ids: readonly string[], lost: ReadonlySet<string>): number {
  const neighbours = mapNeighbours(ids)
  const alive = ids.filter(id => !lost.has(id))
  const seen = new Set(alive.slice(0, 1))
  const pending = [...seen]
  while (pending.length > 0) {
    const next = [...neighbours.get(pending.pop()!)!].filter(id => !lost.has(id) && !seen.has(id))
    next.forEach(id => seen.add(id))
    pending.push(...next)
  }
  return seen.size
}

describe('neighbours', () => {
  [1, 2, MAX_FULL_MESH_MEMBERS].forEach(count => it(`${count} members all hold links to one another`, () => {
    mapNeighbours(idsOf(count)).forEach(set => expect(set.size).to.equal(count - 1))
  }));

  [MAX_FULL_MESH_MEMBERS + 1, 60, 420].forEach(count => it(`${count} members hold a bounded number of links each, all mutual`, () => {
    const neighbours = mapNeighbours(idsOf(count))
    neighbours.forEach((set, id) => {
      expect(set.size).to.be.within(4, MAX_LINKS)
      set.forEach(other => expect(neighbours.get(other)!.has(id)).to.equal(true))
    })
  }))

  /*
   * One failure domain of four is lost at once, and no member has detected it yet: a notice still reaches all the
   * others.
   */
  it('stay connected when a quarter of the members is lost at once, seed 7', () => {
    const ids = idsOf(120)
    const lostIds = fc.uniqueArray(fc.constantFrom(...ids), { minLength: 30, maxLength: 30 })
    fc.assert(fc.property(lostIds, lost => countReachable(ids, new Set(lost)) === ids.length - lost.length), { seed: 7, numRuns: 100 })
  })
})

/** Guards against members that all close and dial links again whenever one joins, as 195 members did at their start. */
describe('a member that joins', () => {
  it('changes the neighbours of few others', () => {
    const before = mapNeighbours(idsOf(194))
    const after = mapNeighbours(idsOf(195))
    const changed = idsOf(194).filter(id => [...before.get(id)!].some(other => !after.get(id)!.has(other)))
    expect(changed.length).to.be.at.most(4)
  })
})

describe('gossip', () => {
  /*
   * Every member forwards a notice once, so that forwarding ends, and handles it once however many copies it receives.
   */
  it('delivers a notice to each of 420 members once', () => {
    const clock = createVirtualClock()
    const neighbours = mapNeighbours(idsOf(420))
    const gossips = new Map(idsOf(420).map(id => [id, createGossip(clock)]))
    const handled = new Map<string, number>()
    let copies = 0
    const forward = (message: GossipMessage, from: string): void => neighbours.get(from)!.forEach(id => {
      copies += 1
      if (!gossips.get(id)!.isNew(message)) return
      handled.set(id, (handled.get(id) ?? 0) + 1)
      forward(message, id)
    })
    const origin = { id: 'member-0', incarnation: 'member-0-1' } as MemberRecord
    forward(gossips.get('member-0')!.wrap(origin, 'note', 1), 'member-0')
    expect(handled.size).to.equal(419)
    expect([...handled.values()].every(count => count === 1)).to.equal(true)
    expect(copies).to.be.below(420 * 12)
  })

  it('remembers a message for longer than it takes to reach all members', async () => {
    const clock = createVirtualClock()
    const gossip = createGossip(clock)
    const message = createGossip(clock).wrap({ id: 'a', incarnation: 'a-1' } as MemberRecord, 'note', 1)
    expect(gossip.isNew(message)).to.equal(true)
    await clock.advance(50_000)
    expect(gossip.isNew(message)).to.equal(false)
  })
})
