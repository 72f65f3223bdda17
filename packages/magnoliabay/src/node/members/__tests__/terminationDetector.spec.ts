import { expect } from 'chai'
import type { VirtualClock } from '../../clock/virtual'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import type { ListedInstance } from '../../store'
import { createMemoryNetwork } from '../memoryNetwork'
import type { MemoryNetwork } from '../memoryNetwork'
import { createTerminationDetector } from '../terminationDetector'
import type { TerminationDetector } from '../terminationDetector'
import type { MemberRecord } from '../record'

const recordOf = (id: string, changes: Partial<MemberRecord> = {}): MemberRecord => ({
  id, incarnation: `${id}-1`, startedAtMs: 1, region: 'r', failureDomain: 'd', peerAddress: `${id}:1`, entryAddress: `${id}:2`, operatorAddress: '', leaving: false, processorShare: 0, ...changes
})
const listOf = (...ids: string[]): ListedInstance[] =>
  ids.map(id => ({ id, role: 'entry', address: `${id}:2`, failureDomain: 'd', region: 'r', status: 'live' }))

interface Harness {
  clock: VirtualClock
  network: MemoryNetwork
  here: TerminationDetector
  /** Reads the list once a second for this many seconds. */
  read (listed: readonly ListedInstance[], seconds: number): Promise<void>
  proof (): string | undefined
}

function setUp (): Harness {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const here = createTerminationDetector({ peers: network.join(recordOf('here')), clock, logger: createSilentLogger() })
  network.join(recordOf('there'))
  return {
    clock,
    network,
    here,
    read: async (listed, seconds) => {
      for (let second = 0; second < seconds; second += 1) {
        here.observeInstanceList(listed)
        await clock.advance(1000)
      }
    },
    proof: () => here.proofFor({ member: 'there', incarnation: 'there-1' })
  }
}

/** What is observed of a process, and the proof that follows. */
const CASES: ReadonlyArray<{ seen: string, play: (harness: Harness) => Promise<void> | void, proof: string | undefined }> = [
  { seen: 'nothing', play: () => {}, proof: undefined },
  { seen: 'silence, while it is listed', play: async ({ network, read }) => { network.kill('there'); await read(listOf('here', 'there'), 120) }, proof: undefined },
  { seen: 'one reading of the list without it', play: async ({ network, read }) => { await read(listOf('there'), 2); network.kill('there'); await read([], 1); await read(listOf('there'), 60) }, proof: undefined },
  { seen: 'a list without it for long, while it is a member', play: async ({ read }) => { await read(listOf('there'), 2); await read([], 120) }, proof: undefined },
  { seen: 'a list that never had it', play: async ({ network, read }) => { network.kill('there'); await read([], 120) }, proof: undefined },
  { seen: 'long absence from the list, and silence', play: async ({ network, read }) => { await read(listOf('there'), 2); network.kill('there'); await read([], 40) }, proof: 'listed-gone' },
  { seen: 'its goodbye', play: ({ here }) => here.recordGoodbye(recordOf('there')), proof: 'goodbye' },
  { seen: 'a later process at the same addresses', play: ({ here }) => here.observeProcess(recordOf('there', { incarnation: 'there-2', startedAtMs: 2 })), proof: 'newer-incarnation' },
  { seen: 'a later process of that name at other addresses', play: ({ here }) => here.observeProcess(recordOf('there', { incarnation: 'there-2', startedAtMs: 2, peerAddress: 'x:1' })), proof: undefined },
  { seen: 'an earlier process at the same addresses', play: ({ here }) => here.observeProcess(recordOf('there', { incarnation: 'there-0', startedAtMs: 0 })), proof: undefined },
  { seen: 'a declaration by the operator', play: ({ here }) => here.declareTerminated({ member: 'there', incarnation: 'there-1' }), proof: 'operator' }
]

describe('proof that a process has ended', () => {
  CASES.forEach(({ seen, play, proof }) => it(`${seen}: ${proof ?? 'none'}`, async () => {
    const harness = setUp()
    await play(harness)
    expect(harness.proof()).to.equal(proof)
  }))

  it('is sent to the other members and to those that join later; a member ignores one of itself', async () => {
    const { clock, network, here } = setUp()
    const detectorOf = (id: string): TerminationDetector => createTerminationDetector({ peers: network.join(recordOf(id)), clock, logger: createSilentLogger() })
    const early = detectorOf('early')
    here.declareTerminated({ member: 'there', incarnation: 'there-1' })
    here.declareTerminated({ member: 'early', incarnation: 'early-1' })
    await clock.advance(100)
    const late = detectorOf('late')
    network.heal('here', 'late')
    await clock.advance(100)
    expect([early, late].map(detector => detector.proofFor({ member: 'there', incarnation: 'there-1' }))).to.deep.equal(['operator', 'operator'])
    expect(early.proofFor({ member: 'early', incarnation: 'early-1' })).to.equal(undefined)
  })
})
