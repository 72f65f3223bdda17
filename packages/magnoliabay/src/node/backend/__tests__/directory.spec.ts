import { setMaxListeners } from 'node:events'
import { expect } from 'chai'
import { createDirectInstanceList, createInstanceListState } from '@magnoliabay/standins'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemoryNetwork } from '../../members/memoryNetwork'
import type { MemberRecord } from '../../members'
import type { InstanceList, ListedInstance } from '../../store'
import { createBackendDirectory } from '../directory'
import type { BackendDirectory } from '../directory'
import { MAX_MEMBERS_WITHOUT_TURNS, isTurnToPoll } from '../listPolling'

const DOMAINS = ['a', 'b', 'c', 'd']

const memberAt = (index: number): MemberRecord => ({
  id: `entry-${index}`,
  incarnation: `entry-${index}-1`,
  startedAtMs: 0,
  region: 'r',
  failureDomain: DOMAINS[index % DOMAINS.length]!,
  peerAddress: '',
  entryAddress: '',
  operatorAddress: '',
  leaving: false,
  processorShare: 0
})

const engine = (id: string, status: ListedInstance['status'] = 'live'): ListedInstance =>
  ({ id, role: 'engine', address: `127.0.0.1:${id.length}`, failureDomain: 'a', region: 'r', status })

interface Fleet {
  clock: VirtualClock
  network: MemoryNetwork
  directories: Map<string, BackendDirectory>
  state: ReturnType<typeof createInstanceListState>
  reads: () => number
  stop: () => void
}

async function startFleet (count: number): Promise<Fleet> {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const state = createInstanceListState({ clock, lagMs: 0 })
  state.set(engine('engine-1'))
  state.flush()
  let reads = 0
  const direct = createDirectInstanceList(state)
  const list: InstanceList = {
    read: async () => {
      reads += 1
      return await direct.read()
    }
  }
  const stop = new AbortController()
  setMaxListeners(0, stop.signal)
  const members = Array.from({ length: count }, (_, index) => memberAt(index))
  const joined = members.map(member => network.join(member))
  const directories = new Map(joined.map(peers => [peers.self.id, createBackendDirectory({ list, clock, logger: createSilentLogger(), peers })]))
  directories.forEach(directory => directory.start(stop.signal))
  await clock.advance(100)
  return { clock, network, directories, state, reads: () => reads, stop: () => stop.abort() }
}

const statusAt = (fleet: Fleet, id: string): Array<string | undefined> =>
  [...fleet.directories.values()].map(directory => directory.engine(id)?.status)

describe('polling the instance list', () => {
  it('polls at every member every second in a small fleet', async () => {
    const fleet = await startFleet(9)
    const before = fleet.reads()
    await fleet.clock.advance(10_000)
    expect(fleet.reads() - before).to.equal(90)
    fleet.stop()
  })

  it('makes no more calls in a larger fleet than in a smaller one that takes turns', async () => {
    const small = await startFleet(30)
    const large = await startFleet(120)
    const [smallBefore, largeBefore] = [small.reads(), large.reads()]
    await small.clock.advance(40_000)
    await large.clock.advance(40_000)
    expect(small.reads() - smallBefore).to.equal(120)
    expect(large.reads() - largeBefore).to.equal(120)
    small.stop()
    large.stop()
  })

  it('gives two or three members a turn in each second of a large fleet', () => {
    const members = Array.from({ length: 50 }, (_, index) => memberAt(index))
    Array.from({ length: 100 }, (_, second) => second * 1000).forEach(atMs => {
      const readers = members.filter(member => isTurnToPoll(member.id, members, atMs))
      expect(readers.length).to.be.within(2, 3)
    })
    expect(members.length).to.be.greaterThan(MAX_MEMBERS_WITHOUT_TURNS)
  })

  /* Guards against requests sent to a leaving engine by instances that have not polled the list since. Only three
     instances poll in a given second; they notify all others of the change at once. */
  it('makes a leaving engine known to all members of a large fleet within two seconds', async () => {
    const fleet = await startFleet(40)
    fleet.state.setStatus('engine-1', 'leaving')
    await fleet.clock.advance(2000)
    expect(new Set(statusAt(fleet, 'engine-1'))).to.deep.equal(new Set(['leaving']))
    fleet.stop()
  })

  /* Guards against members that keep an old list forever after every notice of a change was lost. Each member polls
     when its own turn comes; until then the engine itself refuses the requests that reach it. */
  it('makes up for lost notices at each member\'s own turn in a large fleet', async () => {
    const fleet = await startFleet(40)
    fleet.network.setDeliveryPolicy(message => message.type === 'notice' ? [] : [1])
    fleet.state.setStatus('engine-1', 'leaving')
    await fleet.clock.advance(3000)
    expect(statusAt(fleet, 'engine-1').filter(status => status === 'leaving').length).to.be.within(3, 12)
    await fleet.clock.advance(14_000)
    expect(new Set(statusAt(fleet, 'engine-1'))).to.deep.equal(new Set(['leaving']))
    fleet.stop()
  })

  /* Guards against polling that stops when a failure domain is lost. A quarter of the members terminates at once, and
     the others have not noticed yet: the turns of the terminated ones pass without a reading, the others' do not. */
  it('keeps polling in a large fleet when a failure domain is lost', async () => {
    const fleet = await startFleet(40)
    const lost = [...fleet.directories.keys()].filter((_, index) => index % DOMAINS.length === 0)
    lost.forEach(id => {
      fleet.network.kill(id)
      fleet.directories.delete(id)
    })
    fleet.state.set(engine('engine-22'))
    await fleet.clock.advance(4000)
    expect(new Set(statusAt(fleet, 'engine-22'))).to.deep.equal(new Set(['live']))
    fleet.stop()
  })

  /* Guards against a removed engine that is listed again. The notice that an engine was added is delayed, and arrives
     after the notice that it was removed. */
  it('ignores a notice that arrives after a newer one', async () => {
    const fleet = await startFleet(40)
    const changes: string[] = []
    fleet.network.setDeliveryPolicy(message => {
      if (message.type !== 'notice') return [1]
      const { changed } = message.body as { changed: readonly ListedInstance[] }
      changes.push(changed.length > 0 ? 'came' : 'went')
      return changed.length > 0 ? [9000] : [1]
    })
    fleet.state.set(engine('engine-333'))
    await fleet.clock.advance(2000)
    fleet.state.remove('engine-333')
    await fleet.clock.advance(12_000)
    expect(new Set(changes)).to.deep.equal(new Set(['came', 'went']))
    expect(new Set(statusAt(fleet, 'engine-333'))).to.deep.equal(new Set([undefined]))
    fleet.stop()
  })
})
