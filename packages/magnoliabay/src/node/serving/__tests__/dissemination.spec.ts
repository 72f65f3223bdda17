import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMembership } from '../../members'
import type { MemberList, PeerNetwork } from '../../members'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import { createServingConfigProvider } from '../servingConfigProvider'
import type { ServingConfigProvider } from '../servingConfigProvider'
import type { FleetSummary } from '../fleetMessages'
import { createServerList } from '../serverList'
import type { ServerList } from '../serverList'
import { createEvacuations } from '../evacuations'
import { createDissemination } from '../dissemination'
import type { Dissemination } from '../dissemination'
import type { BackendServer } from '../types'
import { NO_EVACUATION, configOf, leadingOf, memberRecord, serverOf } from './fixtures'

interface Instance {
  cfg: ServingConfigProvider
  servers: ServerList
  dissemination: Dissemination
  storeAgeMs: number
  isFollowing: boolean
  leader: string | undefined
  members: MemberList
}

interface Simulation {
  clock: VirtualClock
  leader: Instance
  follower: Instance
  /** The summary that the leader sends. */
  summary (): FleetSummary
}

function createSimulation (followers: readonly string[] = ['follower']): Simulation {
  const clock = createVirtualClock()
  const logger = createSilentLogger()
  const network = createMemoryNetwork({ clock })
  const join = (id: string, followers: readonly string[]): Instance => {
    const peers = network.join(memberRecord(id))
    const cfg = createServingConfigProvider({ decode: text => configOf(Number(text)), clock, logger })
    const servers = createServerList({ decode: (_key, text) => JSON.parse(text) as BackendServer, idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => -60_000, clock, logger })
    const linked: PeerNetwork = { ...peers, setMembers: () => {}, linkStateOf: () => 'linked', connectOnce: async () => {}, start: async () => {}, close: async () => {} }
    const members = createMembership({ store: undefined as never, network: linked, clock, logger })
    const instance: Instance = { cfg, servers, members, storeAgeMs: 0, isFollowing: true, leader: undefined, dissemination: undefined as never }
    instance.dissemination = createDissemination({
      peers,
      cfg,
      servers,
      evacuations: createEvacuations({ storeReachableSinceMs: () => -60_000, clock, logger }),
      members,
      storeAgeMs: () => instance.storeAgeMs,
      leading: () => leadingOf('leader'),
      followers: () => followers,
      isLeadingRelays: () => false,
      isFollowing: () => instance.isFollowing,
      isLinked: peers.isConnected,
      isProxy: () => false,
      onLeaderLearned: ({ claim }) => { instance.leader = claim.holder },
      clock,
      logger,
      random: () => 0
    })
    return instance
  }
  const leader = join('leader', followers)
  const follower = join('follower', [])
  return {
    clock,
    leader,
    follower,
    summary: () => ({ leading: leadingOf('leader'), count: 1, membersDigest: leader.members.digest(), configVersion: leader.cfg.version(), storeAgeMs: leader.storeAgeMs, storeSteadyMs: Infinity, loads: [], unavailable: [], leavingServers: [], limits: [], spent: [], evacuation: NO_EVACUATION, listDigest: leader.servers.digest() })
  }
}

const setServers = (instance: Instance, ...servers: BackendServer[]): void =>
  instance.servers.snapshot(servers.map(server => ({ key: server.id, value: JSON.stringify(server) })))
const putServer = (instance: Instance, server: BackendServer): void => instance.servers.put({ key: server.id, value: JSON.stringify(server) })
const knownServers = (instance: Instance): string[] => instance.servers.all().map(({ id, state, models }) => `${id} ${state} ${models.map(model => model.name).join()}`)
const model = (name: string): BackendServer['models'][number] => ({ name, version: 1, adapters: [] })

describe('dissemination', () => {
  it('brings changes of the server list from the leader to a follower', async () => {
    const { clock, leader, follower } = createSimulation()
    setServers(leader, serverOf('s1'), serverOf('s2'), serverOf('s3'))
    await clock.advance(20)
    putServer(leader, serverOf('s1', { state: 'draining' }))
    putServer(leader, serverOf('s2', { models: [model('a')] }))
    leader.servers.remove('s3')
    await clock.advance(20)
    expect(knownServers(follower)).to.deep.equal(['s1 draining ', 's2 ready a'])
    expect(follower.servers.digest()).to.equal(leader.servers.digest())
  })

  it('sends no change when a server only updates data that followers do not use', async () => {
    const { clock, leader } = createSimulation()
    setServers(leader, serverOf('s1'))
    await clock.advance(20)
    putServer(leader, serverOf('s1', { copies: { memory: ['a'], disk: [] } }))
    expect(leader.servers.takeChanges()).to.equal(undefined)
  })

  /**
   * Failure: an instance keeps an old list permanently.
   * 1. A notice of the leader is lost with the link. 2. The digest in the next summary differs. 3. The complete list is
   * fetched.
   */
  it('fetches the complete list when a notice was lost', async () => {
    const { clock, leader, follower, summary } = createSimulation()
    setServers(leader, serverOf('s1'))
    leader.servers.takeChanges()
    await clock.advance(20)
    expect(knownServers(follower)).to.deep.equal([])
    follower.dissemination.applySummary('leader', summary())
    await clock.advance(20)
    expect(knownServers(follower)).to.deep.equal(['s1 ready '])
  })

  /**
   * Failure: a withdrawn key keeps working at one instance.
   * 1. A new configuration is written, and its notice is lost. 2. The leader's summary names the version. 3. When a
   * summary a tenth of a second later names it again, it is fetched.
   */
  it('fetches the newest configuration when its notice was lost', async () => {
    const { clock, leader, follower, summary } = createSimulation([])
    follower.cfg.applyIfNewer('4', 'store')
    leader.cfg.applyIfNewer('5', 'store')
    follower.dissemination.applySummary('leader', summary())
    await clock.advance(100)
    expect(follower.cfg.version()).to.equal(4)
    follower.dissemination.applySummary('leader', summary())
    await clock.advance(20)
    expect(follower.cfg.version()).to.equal(5)
  })

  /**
   * Failure: a server that leaves gets requests again.
   * 1. An instance reads from the store that one server is draining and another is removed. 2. The leader's watch is
   * behind, and its list still shows both as ready. 3. The instance must keep what it read from the store.
   */
  it('does not restore a server that the store reported as leaving', async () => {
    const { clock, leader, follower, summary } = createSimulation()
    setServers(leader, serverOf('s1'), serverOf('s2'))
    await clock.advance(20)
    putServer(follower, serverOf('s1', { state: 'draining' }))
    follower.servers.remove('s2')
    follower.dissemination.applySummary('leader', summary())
    await clock.advance(1000)
    expect(knownServers(follower)).to.deep.equal(['s1 draining '])
  })

  it('restores a server whose entry expired and was written again', async () => {
    const { clock, leader, follower } = createSimulation()
    setServers(leader, serverOf('s1'))
    await clock.advance(20)
    leader.servers.remove('s1')
    await clock.advance(20)
    putServer(leader, serverOf('s1'))
    await clock.advance(20)
    expect(knownServers(follower)).to.deep.equal(['s1 ready '])
  })

  /**
   * Failure: a process that starts during an outage of the store answers 503 until the outage ends.
   * 1. The store and the leader are down. 2. A process starts without any state. 3. Any linked peer must give it the
   * configuration and the list.
   */
  it('fetches configuration and lists from any peer without contact to store and leader', async () => {
    const { clock, leader, follower } = createSimulation()
    leader.cfg.applyIfNewer('5', 'store')
    setServers(leader, serverOf('s1'))
    leader.members.replaceAll([memberRecord('leader'), memberRecord('other')])
    leader.servers.takeChanges()
    follower.storeAgeMs = Infinity
    follower.isFollowing = false
    follower.dissemination.start(new AbortController().signal)
    await clock.advance(1000)
    expect(follower.cfg.version()).to.equal(5)
    expect(knownServers(follower)).to.deep.equal(['s1 ready '])
    expect(follower.leader).to.equal('leader')
    expect(follower.members.records().map(({ id }) => id)).to.deep.equal(['leader', 'other'])
  })
})
