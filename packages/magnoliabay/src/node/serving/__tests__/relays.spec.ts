import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import { MAX_MEMBERS_WITHOUT_RELAYS, chooseRelays, rankRelays } from '../relays'
import type { RelayCandidate } from '../relays'
import { createUpstream } from '../upstream'
import { memberRecord } from './fixtures'

const DOMAINS = ['a', 'b', 'c', 'd']
const candidates = (count: number): RelayCandidate[] => Array.from({ length: count }, (_, index) =>
  memberRecord(`m${index}`, { failureDomain: DOMAINS[index % DOMAINS.length]!, processorShare: index < 8 ? 1.35 : 0.3 }))
const relayIds = (members: readonly RelayCandidate[]): string[] => [...chooseRelays(members).values()].flat()

describe('relays', () => {
  it('are not used up to the largest number of members without relays', () => {
    expect(relayIds(candidates(MAX_MEMBERS_WITHOUT_RELAYS))).to.deep.equal([])
  });

  [MAX_MEMBERS_WITHOUT_RELAYS + 1, 87, 195, 420].forEach(count => it(`of ${count} members grow with the square root of their number, over all failure domains`, () => {
    const relays = chooseRelays(candidates(count))
    expect([...relays.keys()].sort()).to.deep.equal(DOMAINS)
    expect(relayIds(candidates(count)).length).to.be.within(Math.sqrt(count), Math.sqrt(count) + DOMAINS.length)
  }))

  it('are the members with the most processor time, exclude leaving ones, and do not depend on the order of the members', () => {
    const members = candidates(40).map(member => member.id === 'm0' ? { ...member, leaving: true } : member)
    const relays = relayIds(members)
    expect(relays).to.include.members(['m1', 'm2', 'm3', 'm4', 'm5', 'm6', 'm7'])
    expect(relays).to.not.include('m0')
    expect(relayIds([...members].reverse()).sort()).to.deep.equal([...relays].sort())
  })

  it('are tried in the instance\'s own failure domain first', () => {
    const members = candidates(100)
    const relays = chooseRelays(members)
    const self = { id: 'm50', failureDomain: 'c' }
    const ranked = rankRelays(self, relays)
    const near = relays.get('c')!
    expect([...ranked.slice(0, near.length)].sort()).to.deep.equal([...near].sort())
    expect([...ranked].sort()).to.deep.equal([...relays.values()].flat().sort())
  })
})

describe('the member to which an instance reports', () => {
  const SILENT_MS = 2500
  const createTestUpstream = (id: string) => {
    const clock = createVirtualClock()
    const network = createMemoryNetwork({ clock })
    const members = candidates(100).map(member => memberRecord(member.id, member))
    const peers = new Map(members.map(member => [member.id, network.join(member)]))
    const self = peers.get(id)!
    // The list stays the same object until members change.
    const list = self.members()
    const upstream = createUpstream({ peers: { ...self, members: () => list }, leader: () => 'm0', silenceTimeoutMs: () => SILENT_MS, clock })
    return { clock, network, upstream, relays: rankRelays(self.self, chooseRelays(members)) }
  }

  it('is the leader for a relay, and a relay for other instances', () => {
    expect(createTestUpstream('m1').upstream.current()).to.equal('m0')
    const { upstream, relays } = createTestUpstream('m50')
    expect(upstream.current()).to.equal(relays[0])
  })

  /** Guards against an instance that never receives a summary again because its relay is frozen or cut off from the leader. */
  it('is another relay when the first sends no summaries', async () => {
    const { clock, upstream, relays } = createTestUpstream('m50')
    expect(upstream.current()).to.equal(relays[0])
    await clock.advance(SILENT_MS - 500)
    upstream.recordSummary(relays[0]!)
    await clock.advance(SILENT_MS - 500)
    expect(upstream.current()).to.equal(relays[0])
    await clock.advance(1000)
    expect(upstream.current()).to.equal(relays[1])
  })

  it('is another relay when the first is unreachable, and the leader when all are', () => {
    const { network, upstream, relays } = createTestUpstream('m50')
    network.partition('m50', relays[0]!)
    expect(upstream.current()).to.equal(relays[1])
    relays.forEach(relay => network.partition('m50', relay))
    expect(upstream.current()).to.equal('m0')
  })
})
