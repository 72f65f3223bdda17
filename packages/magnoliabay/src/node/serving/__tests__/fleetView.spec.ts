import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemoryNetwork } from '../../members/memoryNetwork'
import type { Peers } from '../../members'
import { reportNotice, summaryNotice } from '../fleetMessages'
import type { FleetSummary, InstanceReport } from '../fleetMessages'
import { createFleetView } from '../fleetView'
import type { FleetView, FleetReporter } from '../fleetView'
import { NO_EVACUATION, leadingOf, memberRecord, reportOf } from './fixtures'

/** Time without reports after which a member counts as unavailable, milliseconds. */
const STALE_MS = 2600

interface Simulation {
  clock: VirtualClock
  network: MemoryNetwork
  views: Map<string, FleetView & FleetReporter>
  own: Map<string, Partial<InstanceReport>>
  leader: { id: string | undefined, storeAgeMs: number, storeSteadyMs: number, revision: number }
  messages: { count: number }
  peers: Map<string, Peers>
}

function createSimulation (ids: readonly string[]): Simulation {
  const clock = createVirtualClock()
  const messageCounter = { count: 0 }
  const network = createMemoryNetwork({
    clock,
    deliveryPolicy: () => {
      messageCounter.count += 1
      return [1]
    }
  })
  const own = new Map<string, Partial<InstanceReport>>(ids.map(id => [id, {}]))
  const leader = { id: ids[0] as string | undefined, storeAgeMs: 0, storeSteadyMs: Infinity, revision: 1 }
  const stop = new AbortController()
  const peersOf = new Map<string, Peers>()
  const views = new Map(ids.map(id => {
    const peers = network.join(memberRecord(id))
    peersOf.set(id, peers)
    const view = createFleetView({
      peers,
      clock,
      isLinked: peers.isConnected,
      leader: () => leader.id,
      own: () => reportOf(own.get(id)),
      spendingWithDownstream: () => [],
      leading: () => leadingOf(id, leader.revision),
      latestClaim: () => 0,
      beforeSummary: () => {},
      summary: () => ({ configVersion: 1, storeAgeMs: leader.storeAgeMs, storeSteadyMs: leader.storeSteadyMs, spent: [], limits: [], evacuation: NO_EVACUATION, listDigest: '', membersDigest: '' }),
      onReport: () => {},
      onSummary: () => {}
    })
    view.start(stop.signal)
    return [id, view] as const
  }))
  return { clock, network, views, own, leader, messages: messageCounter, peers: peersOf }
}

const withInFlight = (count: number): Partial<InstanceReport> => ({ inFlight: [{ server: 's1', model: 'a', count }] })

describe('fleet view', () => {
  it('shows the totals of the leader minus the own requests of each instance', async () => {
    const { clock, views, own } = createSimulation(['m1', 'm2', 'm3'])
    own.set('m1', withInFlight(1))
    own.set('m2', withInFlight(2))
    own.set('m3', withInFlight(4))
    await clock.advance(1000)
    expect(['m1', 'm2', 'm3'].map(id => views.get(id)!.inFlightElsewhere('s1'))).to.deep.equal([6, 5, 3])
    expect(views.get('m1')!.inFlight('s1', 'a')).to.equal(7)
  })

  it('takes two messages for each instance and interval, not one for each pair of instances', async () => {
    const many = Array.from({ length: 40 }, (_, index) => `m${index}`)
    const { clock, messages } = createSimulation(many)
    await clock.advance(10_000)
    const periods = 10_000 / (40 * 6)
    expect(messages.count).to.be.below(2 * many.length * (periods + 2))
  })

  /**
   * Failure: callers are directed to a terminated instance.
   * 1. An instance terminates. 2. Its record stays in the store until its lease ends. 3. The leader must notice the
   * missing reports and inform the others.
   */
  it('shows a terminated or unready instance as unavailable within seconds', async () => {
    const { clock, network, views, own } = createSimulation(['m1', 'm2', 'm3', 'm4'])
    await clock.advance(STALE_MS + 500)
    own.set('m4', { isReady: false })
    network.kill('m3')
    network.join(memberRecord('m3'))
    await clock.advance(STALE_MS + 500)
    expect(['m1', 'm2', 'm3', 'm4'].filter(id => views.get('m2')!.isAvailable(id))).to.deep.equal(['m1', 'm2'])
    expect(['m2', 'm3', 'm4'].filter(id => views.get('m1')!.isAvailable(id))).to.deep.equal(['m2'])
  })

  it('keeps a member available until a new leader has waited for its report', async () => {
    const { clock, network, views, leader } = createSimulation(['m1', 'm2', 'm3'])
    network.partition('m1', 'm3')
    leader.id = 'm1'
    await clock.advance(1000)
    expect(views.get('m2')!.isAvailable('m3')).to.equal(true)
  })

  const NOT_FOLLOWED = [
    { name: 'has terminated', change: ({ network }: Simulation) => network.kill('m1') },
    { name: 'is unreachable', change: ({ network }: Simulation) => network.partition('m1', 'm2') },
    { name: 'has lost contact to the store', change: ({ leader }: Simulation) => { leader.storeAgeMs = 1600 } },
    { name: 'has just regained contact to the store and delays removals', change: ({ leader }: Simulation) => { leader.storeSteadyMs = 0 } },
    { name: 'is not known', change: ({ leader, network }: Simulation) => { leader.id = undefined; network.partition('m1', 'm2') } }
  ]
  /**
   * Failure: a request is sent to a server that announced long ago that it leaves.
   * 1. The leader watches the server list of the store for all instances. 2. It terminates, or loses contact to the store.
   * 3. Each instance must notice within a second and a half, and read the list itself.
   */
  NOT_FOLLOWED.forEach(({ name, change }) => it(`does not follow a leader that ${name}`, async () => {
    const simulation = createSimulation(['m1', 'm2', 'm3'])
    await simulation.clock.advance(1000)
    expect(simulation.views.get('m2')!.isFollowing()).to.equal(true)
    change(simulation)
    await simulation.clock.advance(1500)
    expect(simulation.views.get('m2')!.isFollowing()).to.equal(false)
  }))

  /**
   * Guards against instances that revert to the totals and lists of a former leader, sent by itself or forwarded by
   * another instance.
   */
  it('ignores summaries of a former leader', async () => {
    const simulation = createSimulation(['m1', 'm2', 'm3'])
    simulation.own.set('m3', withInFlight(4))
    await simulation.clock.advance(1000)
    expect(simulation.views.get('m2')!.inFlightElsewhere('s1')).to.equal(4)
    const former: FleetSummary = { leading: leadingOf('m3', 0), count: 1_000, configVersion: 1, storeAgeMs: 0, storeSteadyMs: Infinity, loads: [{ server: 's1', count: 99 }], unavailable: ['m1'], leavingServers: [], limits: [], spent: [], evacuation: NO_EVACUATION, listDigest: '', membersDigest: '' }
    simulation.peers.get('m3')!.notify('m2', summaryNotice, former)
    simulation.peers.get('m1')!.notify('m2', summaryNotice, { ...former, leading: leadingOf('m1'), count: 1 })
    await simulation.clock.advance(5)
    expect(simulation.views.get('m2')!.inFlightElsewhere('s1')).to.equal(4)
    expect(simulation.views.get('m2')!.isAvailable('m1')).to.equal(true)
  })

  /**
   * Guards against two instances that report to each other, since their lists of members differ, and add the same
   * numbers repeatedly.
   */
  it('does not count a report twice when two instances report to each other', async () => {
    const simulation = createSimulation(['m1', 'm2'])
    simulation.own.set('m2', withInFlight(3))
    await simulation.clock.advance(1000)
    const report = reportOf({ below: [{ id: 'm1', isReady: true }], inFlight: [{ server: 's1', model: 'a', count: 50 }] })
    simulation.peers.get('m2')!.notify('m1', reportNotice, report)
    await simulation.clock.advance(5)
    expect(simulation.views.get('m1')!.inFlightElsewhere('s1')).to.equal(3)
  })
})
