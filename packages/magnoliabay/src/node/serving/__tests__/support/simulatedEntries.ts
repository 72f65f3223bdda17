/** Simulates the path of requests in virtual time: the request handlers of many instances, and backend servers that answer with the platform's headers. */
import { createDirectStore, createKvState, createRandom } from '@magnoliabay/standins'
import { createVirtualClock } from '../../../clock/virtual'
import type { VirtualClock } from '../../../clock/virtual'
import { createSilentLogger } from '../../../logger'
import type { MemberRecord, Peers } from '../../../members'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import type { MemoryNetwork } from '../../../members/memoryNetwork'
import { createCrashAttribution } from '../../../crashes'
import { createRetryBudget } from '../../../outcomes'
import { platformProtocol } from '../../../platform'
import { DialError, createServerRoutes } from '../../../paths'
import type { ServerRoutes } from '../../../paths'
import { createBrittleServers, createBrittleServices, createLimitedServers, createServerLimits, createServerBackoffs } from '../../../statements'
import { createWakeupCounter } from '../../../wakeups'
import { createAllowanceLimiter } from '../../allowance/allowanceLimiter'
import type { InstanceReport } from '../../fleetMessages'
import { createFleetView } from '../../fleetView'
import { createServingMetrics } from '../../metrics'
import { createPlacementClient } from '../../placement/placementClient'
import { createRequestHandler } from '../../requestHandler'
import { Err } from '../../../result'
import { createServerHealth, recordReachedServers } from '../../serverHealth'
import { createServerList } from '../../serverList'
import type { ServerList } from '../../serverList'
import { createServingConfigProvider } from '../../servingConfigProvider'
import type { Connections, OutboundRequest, ResponseHandler } from '../../exchange'
import type { BackendServer, ServingConfig } from '../../types'
import { createVersionKeeping } from '../../versions'
import { NO_EVACUATION, configOf, leadingOf, memberRecord, reportOf, routeOf } from '../fixtures'
import { createCall } from './callerResponse'
import type { CallerResponse } from './callerResponse'

const LEADER = 'm000'
/** Delay of a request or an answer between an instance and a server, milliseconds. */
const HOP_MS = 1
/** Time after which an instance gives up one that does not answer a connection, milliseconds. */
const TUNNEL_TIMEOUT_MS = 500
/** Time for which a connection that is not used stays open, milliseconds. */
const KEEP_ALIVE_MS = 5000
/** Requests after which a server closes a connection. */
const MAX_REQUESTS_PER_CONNECTION = 5
const RANDOM_SEED = 1

export interface Arrival {
  atMs: number
  from: string
  attemptId: string
  path: string
  deadlineMs: number
  /** The instance through which it came. */
  through: string | undefined
}

export interface ServerAnswer {
  status: number
  headers: Record<string, string>
  /** Time from the arrival to the answer, milliseconds. @default 20 */
  afterMs?: number
  /** @default four bytes where the headers state that length */
  body?: string
  /** Time from the body to the end of the answer, milliseconds. @default it ends with its body */
  endAfterMs?: number
}

export interface SimulatedServer {
  server: BackendServer
  arrivals: Arrival[]
  /** Returns the answer to a request that arrives now, or `broken` to close its connection. */
  answer: (arrival: Arrival) => ServerAnswer | 'broken'
}

export interface BrittleServer {
  answer: SimulatedServer['answer']
  /** When it fell over, monotonic milliseconds. */
  falls: number[]
  rejections: () => number
}

export interface BrittleServerOptions {
  clock: VirtualClock
  slots: number
  /** Requests that may wait for a slot. */
  queue: number
  /** It falls over when it has to reject more than this many requests in a second. */
  maxRejections: number
  workMs: number
  downMs: number
}

/** A server that says that it is brittle, and falls over when it has to reject too many requests in a second. */
export function createBrittleServer ({ clock, slots, queue, maxRejections, workMs, downMs }: BrittleServerOptions): BrittleServer {
  const headers = { 'server-brittle': String(maxRejections) }
  const falls: number[] = []
  let rejectedAtMs: number[] = []
  let rejectionCount = 0
  /** When each slot is free again. */
  let freeAtMs = Array.from({ length: slots }, () => 0)
  let downUntilMs = -Infinity

  const reject = (now: number): ServerAnswer | 'broken' => {
    rejectionCount += 1
    rejectedAtMs = [...rejectedAtMs.filter(atMs => now - atMs < 1000), now]
    if (rejectedAtMs.length <= maxRejections) return { ...rejected(headers), afterMs: 1 }
    falls.push(now)
    downUntilMs = now + downMs
    rejectedAtMs = []
    freeAtMs = freeAtMs.map(() => downUntilMs)
    return 'broken'
  }
  return {
    falls,
    rejections: () => rejectionCount,
    answer: () => {
      const now = clock.monotonic()
      if (now < downUntilMs) return 'broken'
      const waiting = freeAtMs.filter(atMs => atMs > now + workMs).length
      const first = freeAtMs.indexOf(Math.min(...freeAtMs))
      if (freeAtMs[first]! > now && waiting >= queue) return reject(now)
      freeAtMs[first] = Math.max(now, freeAtMs[first]!) + workMs
      return { ...answered(headers), afterMs: freeAtMs[first]! - now }
    }
  }
}

/**
 * What happens to an instance's connections to all servers. `hang`: open and new ones are silent. `reset`: open and new ones
 * are reset. `refused`: open ones work, new ones are refused.
 */
export type Partition = 'hang' | 'reset' | 'refused'

interface Connection {
  /** Names it, once it has carried a request. */
  number?: number
  /** Requests that it has served. */
  requests: number
  idleSinceMs: number
  forwarder: string | undefined
}

export interface SimulatedEntry {
  id: string
  servers: ServerList
  send (path: string, headers?: Record<string, string>): CallerResponse
  stop (): void
}

export interface SimulatedEntries {
  clock: VirtualClock
  network: MemoryNetwork
  entries: Map<string, SimulatedEntry>
  servers: Map<string, SimulatedServer>
  start (index: number): SimulatedEntry
  kill (id: string): void
  /** Begins the shutdown of an instance: the others learn of it, and it opens no more connections for them. */
  leave (id: string): void
  /** Partitions an instance from all servers; clients and the other instances still reach it. */
  partition (id: string, how: Partition): void
  heal (id: string): void
  /** Direct connections that the instance has tried. */
  connectionCount (id: string): number
  /** Adds a server, or replaces the process of one that has the id; all instances list it at once. */
  addServer (server: BackendServer, answer: SimulatedServer['answer']): SimulatedServer
}

export interface SimulatedEntriesOptions {
  size: number
  cfg?: ServingConfig
}

export const instanceId = (index: number): string => `m${String(index).padStart(3, '0')}`

const ROUTES = [
  routeOf('/read/', { isAnonymous: true, maxAttempts: 3 }),
  routeOf('/write/', { isAnonymous: true, kind: 'non-idempotent' }),
  routeOf('/resumable/', { isAnonymous: true, kind: 'stream', isResumable: true, maxAttempts: 3 })
]

export const SIGNED = { 'x-magnoliabay-server-signature': 'sig', 'content-length': '4' }
export const answered = (headers: Record<string, string> = {}): ServerAnswer => ({ status: 200, headers: { ...SIGNED, ...headers } })
/** A stream of one event. */
export const streamed = (headers: Record<string, string> = {}): ServerAnswer => {
  const body = 'id: 1\ndata: event\n\n'
  return { status: 200, headers: { ...SIGNED, 'content-length': String(body.length), ...headers }, body }
}
export const rejected = (headers: Record<string, string> = {}): ServerAnswer => ({ status: 503, headers: { 'x-magnoliabay-not-executed': '1', 'content-length': '0', ...headers } })

export function createSimulatedEntries ({ size, cfg = configOf(1, { routes: ROUTES }) }: SimulatedEntriesOptions): SimulatedEntries {
  const clock = createVirtualClock()
  const logger = createSilentLogger()
  const network = createMemoryNetwork({ clock })
  const entries = new Map<string, SimulatedEntry>()
  const servers = new Map<string, SimulatedServer>()
  const store = createDirectStore(createKvState({ clock }), { clock })
  const random = createRandom(RANDOM_SEED)
  const records = new Map<string, MemberRecord>()
  const partitions = new Map<string, Partition>()
  /** Direct connections that were tried, by instance. */
  const connectionCounts = new Map<string, number>()
  /** Idle connections, by instance and server. */
  const idleConnections = new Map<string, Connection[]>()
  let attempts = 0

  const listEverywhere = (): void => entries.forEach(entry => listServers(entry.servers))
  const listServers = (list: ServerList): void => list.snapshot([...servers.keys()].map(key => ({ key, value: '' })))
  const findByAddress = (address: string): SimulatedServer | undefined => [...servers.values()].find(({ server }) => server.address === address)

  const routesOf = new Map<string, ServerRoutes<Connection>>()
  const connectionKey = (from: string, address: string): string => `${from} ${address}`
  let connectionCount = 0
  const takeIdleConnection = (from: string, address: string, avoided: ReadonlySet<number> = new Set()): Connection | undefined => {
    const key = connectionKey(from, address)
    const idle = (idleConnections.get(key) ?? []).filter(({ idleSinceMs }) => clock.monotonic() - idleSinceMs < KEEP_ALIVE_MS)
    idleConnections.set(key, idle)
    const index = idle.findLastIndex(({ number }) => !avoided.has(number ?? 0))
    return index < 0 ? undefined : idle.splice(index, 1)[0]
  }
  const dropIdleAt = (key: string, mustDrop: (connection: Connection) => boolean): void => { idleConnections.set(key, (idleConnections.get(key) ?? []).filter(connection => !mustDrop(connection))) }
  const dropIdle = (from: string, address: string | undefined, mustDrop: (connection: Connection) => boolean): void => {
    if (address !== undefined) return dropIdleAt(connectionKey(from, address), mustDrop)
    ;[...idleConnections.keys()].filter(key => key.startsWith(`${from} `)).forEach(key => dropIdleAt(key, mustDrop))
  }
  const wait = (ms: number): Promise<void> => new Promise(resolve => clock.schedule(ms, resolve))
  const newConnection = (forwarder?: string): Connection => ({ requests: 0, idleSinceMs: clock.monotonic(), forwarder })
  const isReachable = (to: string): boolean => entries.has(to)
  const connectDirectly = async (from: string, address: string, timeoutMs: number): Promise<Connection> => {
    connectionCounts.set(from, (connectionCounts.get(from) ?? 0) + 1)
    const partition = partitions.get(from)
    await wait(partition === 'hang' ? timeoutMs : 2 * HOP_MS)
    if (partition === 'hang' || partition === 'reset') throw new DialError('silent', partition)
    if (partition === 'refused' || findByAddress(address) === undefined) throw new DialError('refused', 'connection refused')
    return newConnection()
  }
  const connectThrough = async (from: string, forwarder: string, address: string): Promise<Connection> => {
    if (!isReachable(forwarder)) {
      await wait(TUNNEL_TIMEOUT_MS)
      throw new DialError('no-forwarder', 'no answer')
    }
    await wait(2 * HOP_MS)
    if (records.get(forwarder)!.leaving) throw new DialError('no-forwarder', 'the instance is leaving')
    await routesOf.get(forwarder)!.dialer.dialForPeer(address)
    return newConnection(forwarder)
  }
  const createRoutes = (id: string, peers: Peers, list: ServerList): ServerRoutes<Connection> => {
    const routes = createServerRoutes<Connection>({
      primitives: {
        connectDirectly: (address, timeoutMs) => connectDirectly(id, address, timeoutMs),
        connectThrough: (forwarder, address) => connectThrough(id, forwarder.id, address),
        close: () => {}
      },
      peers,
      addresses: () => list.all().map(({ address }) => address),
      clock,
      logger,
      random
    })
    routes.paths.onChanged(({ address, isBroken, failure }) => {
      if (isBroken && failure === 'silent') dropIdle(id, address, ({ forwarder }) => forwarder === undefined)
      if (!isBroken) dropIdle(id, address, ({ forwarder }) => forwarder !== undefined)
    })
    routesOf.set(id, routes)
    return routes
  }
  /** Delivers a request to the server at its address, and the answer to the instance, unless it was cancelled. */
  const exchange = (from: string, outbound: OutboundRequest, handler: ResponseHandler): { cancel (reason: string): void } => {
    const { dialer, forwarders, monitor } = routesOf.get(from)!
    dropIdle(from, outbound.address, ({ forwarder }) => forwarder !== undefined && !forwarders.isUsable(forwarder))
    const watched = monitor.watch(outbound.address, () => handler.onPathBroken?.())
    let isSent = false
    let hasEnded = false
    const end: ResponseHandler['onEnd'] = (kind, reason) => {
      if (hasEnded) return
      hasEnded = true
      watched.end()
      handler.onEnd(kind, reason)
    }
    const header = (name: string): string => outbound.headers[outbound.headers.findIndex((each, index) => index % 2 === 0 && each.toLowerCase() === name) + 1]!
    /** What happens to bytes between the instance and the server on this connection. */
    const stateOf = ({ forwarder }: Connection): 'works' | 'hangs' | 'broken' => {
      if (forwarder !== undefined && !entries.has(forwarder)) return 'broken'
      const partition = partitions.get(forwarder ?? from)
      if (partition === 'hang') return 'hangs'
      return partition === 'reset' ? 'broken' : 'works'
    }
    const deliver = (answer: ServerAnswer, connection: Connection): void => {
      if (hasEnded || !entries.has(from) || stateOf(connection) === 'hangs') return
      if (stateOf(connection) === 'broken') return end('broken', 'connection reset')
      deliverBody(answer)
      if (answer.endAfterMs === undefined) return deliverEnd(connection)
      clock.schedule(answer.endAfterMs, () => deliverEnd(connection))
    }
    const deliverEnd = (connection: Connection): void => {
      if (hasEnded || !entries.has(from) || stateOf(connection) === 'hangs') return
      if (stateOf(connection) === 'broken') return end('broken', 'connection reset')
      const requests = connection.requests + 1
      if (requests < MAX_REQUESTS_PER_CONNECTION) idleConnections.get(connectionKey(from, outbound.address))!.push({ ...connection, requests, idleSinceMs: clock.monotonic() })
      end('whole', 'response ended')
    }
    const deliverBody = (answer: ServerAnswer): void => {
      watched.recordActivity()
      const headers: Record<string, string> = { 'x-magnoliabay-attempt-id': header('x-magnoliabay-attempt-id'), ...answer.headers }
      handler.onHead({ status: answer.status, headers, rawHeaders: Object.entries(headers).flat() })
      const body = answer.body ?? (headers['content-length'] === '4' ? 'done' : '')
      if (body !== '') watched.recordBegun()
      if (!hasEnded && body !== '') handler.onData(Buffer.from(body))
    }
    const arrive = (connection: Connection): void => {
      if (hasEnded || stateOf(connection) === 'hangs') return
      if (stateOf(connection) === 'broken') return end('broken', 'connection reset')
      const target = findByAddress(outbound.address)
      if (target === undefined) return end('broken', 'connection closed')
      if (header('x-magnoliabay-expected-instance') !== target.server.id) return deliver({ status: 421, headers: {} }, connection)
      const arrival = { atMs: clock.monotonic(), from, attemptId: header('x-magnoliabay-attempt-id'), path: outbound.path, deadlineMs: Number(header('x-magnoliabay-deadline-ms')), through: connection.forwarder }
      target.arrivals.push(arrival)
      const answer = target.answer(arrival)
      if (answer === 'broken') return end('broken', 'connection closed')
      clock.schedule((answer.afterMs ?? 20) + HOP_MS, () => deliver(answer, connection))
    }
    const send = (connection: Connection): void => {
      if (hasEnded) return
      isSent = true
      watched.recordSent(connection.forwarder)
      connection.number ??= connectionCount += 1
      handler.onSent?.({ forwarder: connection.forwarder, connection: connection.number, priorRequests: connection.requests })
      clock.schedule(HOP_MS, () => arrive(connection))
    }
    const idle = takeIdleConnection(from, outbound.address, outbound.avoidedConnections)
    if (idle !== undefined) send(idle)
    else dialer.dial(outbound.address).then(({ connection }) => send(connection), (err: DialError) => end('unsent', err.message))
    return { cancel: reason => end(isSent ? 'broken' : 'unsent', reason) }
  }

  const start = (index: number): SimulatedEntry => {
    const id = instanceId(index)
    const stop = new AbortController()
    const record = memberRecord(id, { incarnation: `${id} ${clock.monotonic()}` })
    records.set(id, record)
    const peers = withCachedMembers(network.join(record))
    const activeConfig = createServingConfigProvider({ decode: () => cfg, clock, logger })
    activeConfig.applyIfNewer('', 'store')
    const list = createServerList({ decode: key => servers.get(key)?.server, idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => -Infinity, clock, logger })
    listServers(list)
    const health = createServerHealth(clock)
    const routes = createRoutes(id, peers, list)
    routes.paths.onChanged(change => recordReachedServers(list, health, change))
    const serverLimits = createServerLimits({ clock, logger, onChanged: () => {} })
    const limitedServers = createLimitedServers({ peers, limits: serverLimits, clock, logger, random })
    const brittleServices = createBrittleServices({ clock, logger })
    const brittleServers = createBrittleServers({ peers, reportedInFlight: server => fleetView.inFlightElsewhere(server) + health.inFlight(server), clock, logger, random })
    const recordStatements = ({ brittle, limits, leavingServers }: Pick<InstanceReport, 'brittle' | 'limits' | 'leavingServers'>): void => {
      brittleServices.recordFromPeer(brittle)
      serverLimits.recordFromPeer(limits)
      leavingServers.forEach(process => list.recordLeaving(process, 'peer'))
    }
    const fleetView = createFleetView({
      peers,
      clock,
      isLinked: peers.isConnected,
      leader: () => LEADER,
      own: () => reportOf({ inFlight: health.inFlightByModel(), leavingServers: list.leaving(), limits: serverLimits.stated(), brittle: brittleServices.stated() }),
      spendingWithDownstream: () => [],
      leading: () => id === LEADER ? leadingOf(LEADER) : undefined,
      latestClaim: () => 0,
      beforeSummary: () => {},
      summary: () => ({ configVersion: 1, storeAgeMs: 0, storeSteadyMs: Infinity, spent: [], limits: serverLimits.stated(), brittle: brittleServices.stated(), evacuation: NO_EVACUATION, listDigest: '', membersDigest: '' }),
      onReport: (_member, report) => recordStatements(report),
      onSummary: (_member, summary) => recordStatements(summary)
    })
    const connections: Connections = { exchange: (req, handler) => exchange(id, req, handler), isAccepting: routes.dialer.isAccepting, probe: routes.dialer.probe, forget: () => {}, close: () => {} }
    const streamVersions = createVersionKeeping({ peers, servers: list, cfg: activeConfig, store: { ...store, era: () => 0 }, recordStore: store, isFirstStart: true, random, fetchReport: async () => Err({ kind: 'unanswered', message: 'no reports' }), isListCurrent: () => true, clock, logger })
    streamVersions.start(stop.signal)
    const { serve } = createRequestHandler({
      cfg: activeConfig,
      protocol: platformProtocol,
      servers: list,
      health,
      serverLimits,
      limitedServers,
      serverBackoffs: createServerBackoffs({ clock, logger }),
      brittleServices,
      brittleServers,
      fleetView,
      placement: createPlacementClient({ peers, servers: list, leader: () => LEADER, isServerResponding: process => !health.isSilent(process), isIsolated: () => false, clock, logger }),
      allowance: createAllowanceLimiter({ peers, findTeam: () => undefined, windowMs: 8000, isFirstStart: true, store, era: () => 0, tolerance: { ratio: 0, slack: 0 }, clock, logger }),
      connections,
      streamVersions,
      coldStarts: { isCold: () => false, admit: async () => true },
      crashes: createCrashAttribution({ peers, clock, logger, hasCrashed: async () => false }),
      retryBudget: () => createRetryBudget({ retriesPerRequest: 1, burst: () => 1000 }),
      recordDemand: () => {},
      onModelUseChanged: () => {},
      recordWakeup: () => {},
      isClosingFor: () => false,
      metrics: createServingMetrics(createWakeupCounter()),
      clock,
      logger,
      failureDomain: 'a',
      random: () => 0,
      pause: ms => new Promise(resolve => clock.schedule(ms, resolve))
    })
    fleetView.start(stop.signal)
    const entry: SimulatedEntry = {
      id,
      servers: list,
      send: (path, headers = {}) => {
        attempts += 1
        const { inbound, response } = createCall(path, { host: 'site.example', 'x-magnoliabay-attempt-id': `try-${attempts}`, 'x-magnoliabay-deadline-ms': '4000', ...headers }, clock.monotonic)
        serve(inbound)
        return response
      },
      stop: () => stop.abort()
    }
    entries.set(id, entry)
    return entry
  }
  Array.from({ length: size }, (_, index) => start(index))

  return {
    clock,
    network,
    entries,
    servers,
    start,
    kill: id => {
      entries.get(id)?.stop()
      entries.delete(id)
      network.kill(id)
    },
    leave: id => {
      records.get(id)!.leaving = true
      network.setRegistered(id, true)
    },
    partition: (id, how) => {
      partitions.set(id, how)
      if (how === 'reset') [...idleConnections.keys()].filter(key => key.startsWith(`${id} `)).forEach(key => idleConnections.set(key, []))
    },
    heal: id => { partitions.delete(id) },
    connectionCount: id => connectionCounts.get(id) ?? 0,
    addServer: (server, answer) => {
      const simulated = { server, answer, arrivals: [] }
      servers.set(server.id, simulated)
      listEverywhere()
      return simulated
    }
  }
}

/** Keeps the list of members until it changes, as a process does: what is derived from it is cached by its identity. */
function withCachedMembers (peers: Peers): Peers {
  let members: readonly MemberRecord[] | undefined
  const read = (): readonly MemberRecord[] => {
    members ??= peers.members()
    return members
  }
  peers.onMembersChanged(() => { members = undefined })
  return { ...peers, members: read }
}

/** Returns the highest number of arrivals within any span of this length that begins at `fromMs` or later. */
export function maxArrivalsWithin (arrivals: readonly Arrival[], spanMs: number, fromMs: number): number {
  const times = arrivals.map(({ atMs }) => atMs).filter(atMs => atMs >= fromMs)
  return Math.max(0, ...times.map(from => times.filter(atMs => atMs >= from && atMs < from + spanMs).length))
}
