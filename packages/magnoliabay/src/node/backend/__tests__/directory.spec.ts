import { setMaxListeners } from 'node:events'
import { expect } from 'chai'
import { createDirectInstanceList, createInstanceListState } from '@magnoliabay/standins'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemoryNetwork } from '../../members/memoryNetwork'
import type { MemberRecord } from '../../members'
import type { InstanceList, ListedInstance } from '../../platform'
import { createDirectory } from '../directory'
import type { Directory } from '../directory'
import { isReader } from '../listReaders'

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
  leaving: false
})

const engine = (id: string, status: ListedInstance['status'] = 'live'): ListedInstance =>
  ({ id, role: 'engine', address: `127.0.0.1:${id.length}`, failureDomain: 'a', region: 'r', status })

interface Fleet {
  clock: VirtualClock
  network: MemoryNetwork
  directories: Map<string, Directory>
  state: ReturnType<typeof createInstanceListState>
  reads: () => number
  readers: string[]
  stop: () => void
}

async function startFleet (count: number): Promise<Fleet> {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const state = createInstanceListState({ clock, lagMs: 0 })
  state.set(engine('engine-1'))
  state.catchUp()
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
  const directories = new Map(joined.map(peers => [peers.self.id, createDirectory({ list, clock, logger: createSilentLogger(), peers })]))
  directories.forEach(directory => directory.start(stop.signal))
  await clock.advance(100)
  const readers = members.filter(member => isReader(member, members)).map(member => member.id)
  return { clock, network, directories, state, reads: () => reads, readers, stop: () => stop.abort() }
}

const statusAt = (fleet: Fleet, id: string): Array<string | undefined> =>
  [...fleet.directories.values()].map(directory => directory.engine(id)?.status)

describe('reading the instance list', () => {
  it('today\'s size: everybody reads for itself', async () => {
    const fleet = await startFleet(9)
    expect(fleet.readers).to.have.length(9)
    fleet.stop()
  })

  it('a large fleet: three readers in three failure domains, and the calls do not grow with it', async () => {
    const small = await startFleet(40)
    const large = await startFleet(120)
    const [smallBefore, largeBefore] = [small.reads(), large.reads()]
    await small.clock.advance(20_000)
    await large.clock.advance(20_000)
    expect(small.readers).to.have.length(3)
    expect(new Set(small.readers.map(id => Number(id.slice(6)) % DOMAINS.length)).size).to.equal(3)
    expect(large.reads() - largeBefore).to.equal(small.reads() - smallBefore)
    small.stop()
    large.stop()
  })

  /* An engine leaves. Callers anywhere must not be sent to it after a few seconds, though only three instances
     read the list often: what they see change goes to everybody at once. */
  it('a large fleet: a leaving engine is known everywhere within two seconds', async () => {
    const fleet = await startFleet(40)
    fleet.state.setStatus('engine-1', 'leaving')
    await fleet.clock.advance(2000)
    expect(new Set(statusAt(fleet, 'engine-1'))).to.deep.equal(new Set(['leaving']))
    fleet.stop()
  })

  /* Every notice about the change is lost. The others then go on with the old list until they read for
     themselves, which each does now and then; an engine itself refuses what reaches it meanwhile. */
  it('a large fleet: lost notices are mended by the next reading of one\'s own', async () => {
    const fleet = await startFleet(40)
    fleet.network.setFate(message => message.leg === 'notice' ? [] : [1])
    fleet.state.setStatus('engine-1', 'leaving')
    await fleet.clock.advance(2000)
    expect(statusAt(fleet, 'engine-1').filter(status => status === 'leaving')).to.have.length(3)
    await fleet.clock.advance(31_000)
    expect(new Set(statusAt(fleet, 'engine-1'))).to.deep.equal(new Set(['leaving']))
    fleet.stop()
  })

  /* Two of the three readers die. Members change, so others become readers by the same rule, without a word. */
  it('a large fleet: other readers take over when readers die', async () => {
    const fleet = await startFleet(40)
    fleet.readers.slice(0, 2).forEach(id => {
      fleet.network.kill(id)
      fleet.directories.delete(id)
    })
    fleet.state.set(engine('engine-22'))
    await fleet.clock.advance(3000)
    expect(new Set(statusAt(fleet, 'engine-22'))).to.deep.equal(new Set(['live']))
    fleet.stop()
  })

  /* Notices of three readers arrive doubled and out of order. The same change taken twice does nothing. */
  it('doubled and late notices leave the same list', async () => {
    const fleet = await startFleet(40)
    let turn = 0
    fleet.network.setFate(message => message.leg === 'notice' ? [1, 40 * (turn++ % 5)] : [1])
    fleet.state.set(engine('engine-333'))
    fleet.state.remove('engine-1')
    await fleet.clock.advance(5000)
    const ids = [...fleet.directories.values()].map(directory => directory.engines().map(listed => listed.id).join())
    expect(new Set(ids)).to.deep.equal(new Set(['engine-333']))
    fleet.stop()
  })
})
