/** Simulates a fleet of any size in virtual time: the control plane's modules over an in-memory network and store. */
import { createDirectStore, createKvFaults, createKvState } from '@magnoliabay/standins'
import type { FaultSwitches, KvEvent, KvFaults, KvState } from '@magnoliabay/standins'
import type { Clock } from '../../../clock'
import { createVirtualClock } from '../../../clock/virtual'
import type { VirtualClock } from '../../../clock/virtual'
import { createSilentLogger } from '../../../logger'
import { createMembership } from '../../../members'
import type { MemberRecord, PeerNetwork } from '../../../members'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import type { MemoryNetwork } from '../../../members/memoryNetwork'
import { createStoreConnectivity, runPrefixWatches } from '../../../store'
import type { WatchClient, Store, WatchOutcome, PrefixWatch, WatchHandlers } from '../../../store'
import { createServingConfigProvider } from '../../servingConfigProvider'
import type { ServingConfigProvider } from '../../servingConfigProvider'
import { createEvacuations } from '../../evacuations'
import { createFleetView } from '../../fleetView'
import type { FleetView, FleetReporter } from '../../fleetView'
import { createLeaderElection } from '../../placement/leaderElection'
import type { LeaderElection } from '../../placement/leaderElection'
import { createServerList } from '../../serverList'
import type { ServerList } from '../../serverList'
import { createDissemination } from '../../dissemination'
import { createPrefixWatches, watchStore } from '../../storeWatches'
import { createStoreProxy } from '../../storeProxy'
import { createStoreReadPolicy } from '../../storeReadPolicy'
import type { BackendServer } from '../../types'
import { configOf, memberRecord, reportOf, serverOf } from '../fixtures'

const OPERATOR = 'op/'
const CONFIG = 'op/config'
const EVACUATIONS = 'op/evacuate/'
const SERVERS = 'servers/'
const DOMAINS = 5
/** Number of large machines in each failure domain. */
const LARGE_MACHINES_PER_DOMAIN = 3
const ORDER_LEASE_MS = 3000

export interface SimulatedInstance {
  record: MemberRecord
  cfg: ServingConfigProvider
  servers: ServerList
  fleetView: FleetView & FleetReporter
  leadership: LeaderElection
  faults: FaultSwitches<KvFaults>
  stop: AbortController
  /** Calls of the store since the last reset. */
  calls: number
  /** Messages sent and received since the last reset. */
  messages: number
  /** Times at which a timer or a message woke it since the last reset, whole milliseconds. */
  wakeUpTimes: Set<number>
  /** Its requests in flight, by server. */
  inFlight: Map<string, number>
}

export interface SimulatedFleet {
  clock: VirtualClock
  network: MemoryNetwork
  state: KvState
  instances: Map<string, SimulatedInstance>
  start (index: number): void
  /** Ends the process without a shutdown; its lease is not released. */
  kill (id: string): void
  /** Writes a configuration as the operators do. */
  setConfig (version: number): void
  putServer (server: BackendServer): void
  removeServer (id: string): void
  /** Begins or ends an evacuation of a failure domain. */
  setEvacuated (failureDomain: string, isEvacuated: boolean): void
  leader (): string | undefined
  resetCounts (): void
}

export const idOf = (index: number): string => `m${String(index).padStart(3, '0')}`

interface Subscriber {
  prefix: string
  handlers: WatchHandlers
}

const prefixEnd = (prefix: string): string => prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1)

export function createSimulatedFleet (random: () => number): SimulatedFleet {
  const clock = createVirtualClock()
  const logger = createSilentLogger()
  const instances = new Map<string, SimulatedInstance>()
  const network = createMemoryNetwork({
    clock,
    deliveryPolicy: ({ from, to }) => {
      [from, to].map(id => instances.get(id)).forEach(instance => { if (instance !== undefined) instance.messages += 1 })
      const delayMs = 1 + random() * 2
      recordWakeUp(to, delayMs)
      return [delayMs]
    }
  })
  const recordWakeUp = (id: string, inMs: number): void => { instances.get(id)?.wakeUpTimes.add(Math.floor(clock.monotonic() + inMs)) }
  const state = createKvState({ clock })

  /** Creates a clock with its own origin, whose timers count whole milliseconds as those of a process do. */
  const createOwnClock = (id: string): Clock => {
    const originMs = clock.monotonic() - random()
    return {
      now: clock.now,
      monotonic: () => clock.monotonic() - originMs,
      schedule: (delayMs, callback) => clock.schedule(Math.max(1, Math.floor(delayMs)), () => {
        recordWakeUp(id, 0)
        callback()
      })
    }
  }
  /** Creates one instance's access to the store. Calls are counted, and a watch is a series of single calls. */
  const createStoreClients = (instance: () => SimulatedInstance, faults: FaultSwitches<KvFaults>, clock: Clock): { store: Store, calls: WatchClient, connectivity: ReturnType<typeof createStoreConnectivity> } => {
    const connectivity = createStoreConnectivity({ address: 'store', clock, logger })
    const subscribers: Subscriber[] = []
    const direct = createDirectStore(state, { clock, faults })
    const isStoreDown = (): boolean => faults.current.down !== 'no'
    const counted = async <T extends { ok: boolean }>(call: Promise<T>): Promise<T> => {
      instance().calls += 1
      const res = await call
      connectivity.recordCall(!isStoreDown(), 'a call', 'store is down')
      return res
    }
    const store: Store = {
      get: (key, options) => counted(direct.get(key, options)),
      range: (prefix, options) => counted(direct.range(prefix, options)),
      transact: (transaction, options) => counted(direct.transact(transaction, options)),
      grantLease: ttl => counted(direct.grantLease(ttl)),
      renewLease: id => counted(direct.renewLease(id)),
      revokeLease: id => counted(direct.revokeLease(id)),
      watch: (prefix, handlers) => { subscribers.push({ prefix, handlers }) }
    }
    const subscribersOf = ({ prefix: root }: PrefixWatch): Subscriber[] => subscribers.filter(({ prefix }) => prefix.startsWith(root))
    const calls: WatchClient = {
      readAll: async prefixWatch => {
        const read = await store.range(prefixWatch.prefix)
        if (read.err) return undefined
        const { entries, revision } = read.val
        subscribersOf(prefixWatch).forEach(({ prefix, handlers }) => handlers.onSnapshot({ revision, entries: entries.filter(({ key }) => key.startsWith(prefix)) }))
        return revision
      },
      watch: (prefixWatch, { after, waitMs, signal }) => new Promise(resolve => {
        instance().calls += 1
        let cancelWatch = (): void => {}
        const end = (result: WatchOutcome): void => {
          cancelWait()
          cancelWatch()
          resolve(result)
        }
        const answer = (events: readonly KvEvent[], at: number): void => {
          if (signal.aborted) return
          connectivity.recordCall(!isStoreDown(), 'a watch', 'store is down')
          if (isStoreDown()) return end({ kind: 'failed', err: { kind: 'unavailable', message: 'store is down' } })
          events.forEach(({ kind, entry }) => subscribersOf(prefixWatch)
            .filter(({ prefix }) => entry.key.startsWith(prefix))
            .forEach(({ handlers }) => handlers.onEvent({ ...entry, kind })))
          end({ kind: 'answered', revision: at, hadEvents: events.length > 0 })
        }
        const cancelWait = clock.schedule(isStoreDown() ? 0 : waitMs, () => answer([], state.revision()))
        signal.addEventListener('abort', () => end({ kind: 'cut' }), { once: true })
        const atOf = (events: readonly KvEvent[]): number => Math.max(...events.map(({ entry }) => entry.modRevision))
        const watch = state.watch({ key: prefixWatch.prefix, end: prefixEnd(prefixWatch.prefix) }, after + 1, events => { if (!isStoreDown()) answer(events, atOf(events)) })
        if (watch.kind === 'compacted') return end({ kind: 'history-gone' })
        cancelWatch = watch.cancel
        if (watch.backlog.length > 0 && !isStoreDown()) clock.schedule(0, () => answer(watch.backlog, atOf(watch.backlog)))
      })
    }
    return { store, calls, connectivity }
  }

  const start = (index: number): void => {
    const id = idOf(index)
    const incarnation = `${id} ${clock.monotonic()}`
    const ownClock = createOwnClock(id)
    const record = memberRecord(id, { incarnation, failureDomain: `d${index % DOMAINS}`, processorShare: index < DOMAINS * LARGE_MACHINES_PER_DOMAIN ? 1.35 : 0.324 })
    const faults = createKvFaults()
    const stop = new AbortController()
    const networkPeers = network.join(record)
    let knownMembers: readonly MemberRecord[] = [record]
    const peers: PeerNetwork = {
      ...networkPeers,
      members: () => knownMembers,
      setMembers: records => { knownMembers = [...records.filter(each => each.id !== id), record].sort((left, right) => left.id < right.id ? -1 : 1) },
      linkStateOf: other => networkPeers.isConnected(other) ? 'linked' : 'unlinked',
      connectOnce: async () => {},
      start: async () => {},
      close: async () => {}
    }
    const { store, calls, connectivity } = createStoreClients(() => instances.get(id)!, faults, ownClock)
    const storeAgeMs = (): number => ownClock.monotonic() - connectivity.lastContactMs()
    const steadyMs = (): number => ownClock.monotonic() - connectivity.reachableSinceMs()
    const cfg = createServingConfigProvider({ decode: text => configOf(Number(text)), clock: ownClock, logger })
    const evacuations = createEvacuations({ storeReachableSinceMs: connectivity.reachableSinceMs, clock: ownClock, logger })
    const servers = createServerList({ decode: (_key, text) => JSON.parse(text) as BackendServer, idOf: key => key.slice(SERVERS.length), isEvacuated: evacuations.isEvacuated, storeReachableSinceMs: connectivity.reachableSinceMs, clock: ownClock, logger })
    const membership = createMembership({ store, network: peers, clock: ownClock, logger })
    const inFlight = new Map<string, number>()
    const fleetView = createFleetView({
      peers,
      clock: ownClock,
      isLinked: networkPeers.isConnected,
      leader: () => leadership.isLeaseHolder() ? id : leadership.leaseHolder(),
      own: () => reportOf({ inFlight: [...inFlight].map(([server, count]) => ({ server, model: 'a', count })), storeAgeMs: storeAgeMs(), isReady: cfg.version() > 0 }),
      spendingWithDownstream: () => [],
      leading: () => leadership.ownClaim(),
      latestClaim: () => leadership.latestClaimRevision(),
      summary: () => ({ configVersion: cfg.version(), storeAgeMs: storeProxy.contact().ageMs, storeSteadyMs: storeProxy.contact().steadyMs, spent: [], limits: [], evacuation: evacuations.state(), listDigest: servers.digest(), membersDigest: membership.digest() }),
      beforeSummary: () => dissemination.sendChanges(),
      onReport: () => {},
      onSummary: (member, summary) => dissemination.applySummary(member.id, summary)
    })
    const leadership: LeaderElection = createLeaderElection({
      store,
      self: id,
      machine: `${id} at home`,
      renewLeaseViaPeer: async leaseId => [...instances.values()].some(other => other.faults.current.down === 'no') ? await createDirectStore(state, { clock: ownClock }).renewLease(leaseId) : undefined,
      hasProcessEnded: async other => !instances.has(other),
      isFollowing: fleetView.isFollowing,
      era: state.era,
      isFirstStart: true,
      candidacyDelayMs: () => fleetView.isRelayed() && !fleetView.isRelay() ? 800 : 0,
      orderLeaseMs: ORDER_LEASE_MS,
      minLeaseMs: 1000,
      processorShare: record.processorShare,
      clock: ownClock,
      logger,
      random
    })
    const storeProxy = createStoreProxy({ peers, isLeading: leadership.isLeaseHolder, ownContact: () => ({ ageMs: storeAgeMs(), steadyMs: steadyMs() }), candidates: fleetView.peersWithStoreAccess, onProxyAnswered: member => dissemination.syncFromProxy(member), clock: ownClock, logger })
    const dissemination = createDissemination({
      peers,
      cfg,
      servers,
      evacuations,
      members: membership,
      storeAgeMs,
      leading: () => leadership.ownClaim() ?? leadership.knownClaim(),
      followers: () => [...fleetView.reporters(), ...storeProxy.clients()],
      isLeadingRelays: () => leadership.isLeaseHolder() && fleetView.isRelayed(),
      isFollowing: fleetView.isFollowing,
      isLinked: networkPeers.isConnected,
      isProxy: member => storeProxy.current() === member,
      onLeaderLearned: leading => leadership.recordClaimFromPeer(leading),
      clock: ownClock,
      logger,
      random
    })
    const isProxy = (): boolean => storeProxy.clients().length > 0
    const storeReadPolicy = createStoreReadPolicy({ isLeading: leadership.isLeaseHolder, isProxy, isFollowing: fleetView.isFollowing, memberCount: () => knownMembers.length, clock: ownClock, logger, random })
    const watchOptions = { store, protocol: { keys: { operator: OPERATOR, config: CONFIG, evacuations: EVACUATIONS, servers: SERVERS } }, cfg, evacuations, servers, memberCount: () => knownMembers.length, readsStore: storeReadPolicy.readsStore, isProxy, hasPendingOrders: () => false }
    instances.set(id, { record, cfg, servers, fleetView, leadership, faults, stop, calls: 0, messages: 0, wakeUpTimes: new Set(), inFlight })
    watchStore(watchOptions, stop.signal)
    membership.start(stop.signal)
    leadership.start(stop.signal)
    runPrefixWatches({ client: calls, connectivity, clock: ownClock, logger }, createPrefixWatches(watchOptions), stop.signal)
    fleetView.start(stop.signal)
    dissemination.start(stop.signal)
    storeProxy.start(stop.signal)
  }

  return {
    clock,
    network,
    state,
    instances,
    start,
    kill: id => {
      const instance = instances.get(id)
      instance?.stop.abort()
      instance?.faults.set({ down: 'refused' })
      network.kill(id)
      instances.delete(id)
    },
    setConfig: version => { state.transact({ compares: [], success: [{ kind: 'put', key: CONFIG, value: String(version) }], failure: [] }) },
    putServer: server => { state.transact({ compares: [], success: [{ kind: 'put', key: `${SERVERS}${server.id}`, value: JSON.stringify(server) }], failure: [] }) },
    removeServer: id => { state.transact({ compares: [], success: [{ kind: 'delete', range: { key: `${SERVERS}${id}` } }], failure: [] }) },
    setEvacuated: (domain, isEvacuated) => {
      const key = `${EVACUATIONS}${domain}`
      state.transact({ compares: [], success: [isEvacuated ? { kind: 'put', key, value: '{}' } : { kind: 'delete', range: { key } }], failure: [] })
    },
    leader: () => [...instances.values()].find(({ leadership }) => leadership.isLeaseHolder())?.record.id,
    resetCounts: () => instances.forEach(instance => {
      instance.calls = 0
      instance.messages = 0
      instance.wakeUpTimes.clear()
    })
  }
}

/** Creates a fleet that has run for some seconds, with a configuration and some servers. */
export async function createSettledFleet (size: number, random: () => number): Promise<SimulatedFleet> {
  const fleet = createSimulatedFleet(random)
  fleet.setConfig(1)
  const servers = ['s1', 's2', 's3']
  servers.forEach(id => fleet.putServer(serverOf(id)))
  Array.from({ length: size }, (_, index) => index).forEach(index => fleet.clock.schedule(random() * 300, () => fleet.start(index)))
  await fleet.clock.advance(6000)
  return fleet
}
