import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createMemoryNetwork } from '../memoryNetwork'
import type { MemoryNetwork } from '../memoryNetwork'
import type { Peers } from '../peers'
import { createReachabilityProbe } from '../reachabilityProbe'
import type { ReachabilityProbe } from '../reachabilityProbe'
import type { MemberRecord } from '../record'

const memberOf = (id: string): MemberRecord => ({
  id, incarnation: `${id}-1`, startedAtMs: 0, region: 'r', failureDomain: 'a', peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0
})

interface Harness {
  clock: VirtualClock
  network: MemoryNetwork
  /** Probes by member id. Members stay listed after their process has ended. */
  probes: Map<string, ReachabilityProbe>
}

function startMembers (ids: readonly string[]): Harness {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const joined = ids.map(id => network.join(memberOf(id)))
  const listed = ids.map(memberOf)
  const withAll = (peers: Peers): Peers => ({ ...peers, members: () => listed })
  return { clock, network, probes: new Map(joined.map(peers => [peers.self.id, createReachabilityProbe(withAll(peers))])) }
}

async function probe (harness: Harness, from: string, member: string): Promise<boolean> {
  const isUnreachable = harness.probes.get(from)!.isUnreachable(member)
  await harness.clock.advance(5000)
  return await isUnreachable
}

interface Case {
  title: string
  arrange: (network: MemoryNetwork) => void
  expected: boolean
}

const CASES: readonly Case[] = [
  { title: 'all members answer', arrange: () => {}, expected: false },
  { title: 'the process of the member has ended', arrange: network => network.kill('c'), expected: true },
  { title: 'only the link between the two is cut', arrange: network => network.partition('a', 'c'), expected: false },
  { title: 'the member is cut off from all others', arrange: network => ['a', 'b', 'd'].forEach(id => network.partition(id, 'c')), expected: true },
  { title: 'the asking member is cut off from all others', arrange: network => ['b', 'c', 'd'].forEach(id => network.partition('a', id)), expected: false },
  { title: 'the process of the member has ended and one witness does not answer', arrange: network => { network.kill('c'); network.kill('b') }, expected: true },
  { title: 'the member receives calls and never answers', arrange: network => network.setDeliveryPolicy(message => message.from === 'c' ? [] : [1]), expected: true }
]

/*
 * A member is probed directly, then through others. It counts as unreachable only if all that answer agree: one lost
 * link, or the isolation of the asking member, must not take a cell from a leader that works.
 */
describe('a member is reported as unreachable', () => {
  CASES.forEach(({ title, arrange, expected }) => it(`${title}: ${expected}`, async () => {
    const harness = startMembers(['a', 'b', 'c', 'd'])
    arrange(harness.network)
    expect(await probe(harness, 'a', 'c')).to.equal(expected)
  }))

  it('never when there are only two members, since there is no witness', async () => {
    const harness = startMembers(['a', 'c'])
    harness.network.kill('c')
    expect(await probe(harness, 'a', 'c')).to.equal(false)
  })
})
