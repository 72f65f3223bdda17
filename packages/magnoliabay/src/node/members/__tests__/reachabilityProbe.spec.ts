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

interface Rig {
  clock: VirtualClock
  network: MemoryNetwork
  /** Members that go on being listed, dead or not. */
  reaches: Map<string, ReachabilityProbe>
}

function startMembers (ids: readonly string[]): Rig {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const joined = ids.map(id => network.join(memberOf(id)))
  const listed = ids.map(memberOf)
  const withAll = (peers: Peers): Peers => ({ ...peers, members: () => listed })
  return { clock, network, reaches: new Map(joined.map(peers => [peers.self.id, createReachabilityProbe(withAll(peers))])) }
}

async function judge (rig: Rig, from: string, member: string): Promise<boolean> {
  const verdict = rig.reaches.get(from)!.isUnreachable(member)
  await rig.clock.advance(5000)
  return await verdict
}

interface Case {
  what: string
  arrange: (network: MemoryNetwork) => void
  expected: boolean
}

const CASES: readonly Case[] = [
  { what: 'all is well', arrange: () => {}, expected: false },
  { what: 'the member is dead', arrange: network => network.kill('c'), expected: true },
  { what: 'only the link between the two is cut', arrange: network => network.partition('a', 'c'), expected: false },
  { what: 'the member is cut off from everybody', arrange: network => ['a', 'b', 'd'].forEach(id => network.partition(id, 'c')), expected: true },
  { what: 'the one that asks is cut off from everybody', arrange: network => ['b', 'c', 'd'].forEach(id => network.partition('a', id)), expected: false },
  { what: 'the member is dead and one witness does not answer', arrange: network => { network.kill('c'); network.kill('b') }, expected: true },
  { what: 'the member takes calls and never answers', arrange: network => network.setDeliveryPolicy(message => message.from === 'c' ? [] : [1]), expected: true }
]

/* A member is asked for directly, then through others. Only if all who answer agree is it out of reach: one cut
   link, or the asker's own isolation, must not take a cell from a steward that serves it well. */
describe('out of reach', () => {
  CASES.forEach(({ what, arrange, expected }) => it(`${what}: ${expected}`, async () => {
    const rig = startMembers(['a', 'b', 'c', 'd'])
    arrange(rig.network)
    expect(await judge(rig, 'a', 'c')).to.equal(expected)
  }))

  it('two members alone: never, there is no witness', async () => {
    const rig = startMembers(['a', 'c'])
    rig.network.kill('c')
    expect(await judge(rig, 'a', 'c')).to.equal(false)
  })
})
