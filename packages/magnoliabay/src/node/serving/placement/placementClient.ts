/** Requests from the leader that a model, or an adapter of it, is loaded for requests of this instance. */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { Logger } from '../../logger'
import type { Peers } from '../../members'
import { addCount } from '../../utils'
import type { ServerList } from '../serverList'
import { serverProcessId } from '../types'
import type { BackendServer } from '../types'
import { placementCall } from './messages'
import type { PlacementReply, PlacementRequest } from './messages'
import { groupWaiting } from './schedule/waitingGroups'
import type { WaitingRequest } from './schedule/waitingGroups'

/**
 * Interval at which a placement request is repeated while requests wait; the leader drops requests that are not
 * repeated.
 */
const REQUEST_INTERVAL_MS = 400
const REQUEST_TIMEOUT_MS = 400
/**
 * A handover to another leader takes three to six seconds, and most callers time out sooner. A caller that is refused
 * early can retry after the handover, while one that waits in vain keeps its connection in use.
 */
const MAX_WAIT_WITHOUT_LEADER_MS = 1000

export type ModelWaitResult =
  | { kind: 'ready', servers: readonly BackendServer[] }
  | { kind: 'not-in-time', inMs: number }
  | { kind: 'no-orderer' }
  | { kind: 'stopped' }
  | { kind: 'closing' }

export interface ModelWaitOptions {
  model: string
  adapter: string | undefined
  service: string
  /** Longest wait, milliseconds. */
  maxWaitMs: number
  /**
   * Remaining time until the latency objective, milliseconds; negative if it has passed.
   *
   * @default undefined: the leader is not told
   */
  latencyObjectiveMs?: number
  signal: AbortSignal
  /** Whether this process will end too soon to run a request that begins now. */
  isShuttingDown: () => boolean
  /** The request continues a stream of this software version. @default any version */
  softwareVersion?: string
  /** Whether the request may run at the server. @default at any */
  mayServe?: (server: BackendServer) => boolean
  /** Processes of servers that must not serve the request. */
  excludedProcesses: ReadonlySet<string>
  /** Returns the processes of servers that have the model and take no requests now: the leader places the model elsewhere. */
  unavailableProcesses: () => ReadonlySet<string>
}

export interface PlacementClient {
  /** Returns the servers of the service that have the model, and the adapter if one is given. */
  serversWithModel (service: string, model: string, adapter: string | undefined): readonly BackendServer[]
  /** Waits until a server has the model, or returns the expected time if that is too long. */
  waitForModel (options: ModelWaitOptions): Promise<ModelWaitResult>
  /** Number of requests that wait at this instance for each model. */
  waitingByModel (): ReadonlyMap<string, number>
}

export interface PlacementClientOptions {
  peers: Peers
  servers: ServerList
  /** Id of the leader, if known. */
  leader: () => string | undefined
  /** Whether this instance is cut off from most others, so that it has no leader that can give orders. */
  isIsolated: () => boolean
  /** Whether a server responds, as observed by this instance. */
  isServerResponding: (process: string) => boolean
  clock: Clock
  logger: Logger
}

export function createPlacementClient (options: PlacementClientOptions): PlacementClient {
  const { peers, servers, leader, clock, logger } = options
  const waiting = new Map<string, number>()
  const wakers = new Set<() => void>()
  /** Waiting requests of each model whose latency objective is known. */
  const requestsByModel = new Map<string, Set<WaitingRequest>>()

  servers.onChanged(() => [...wakers].forEach(wake => wake()))

  const serversWithModel: PlacementClient['serversWithModel'] = (service, model, adapter) => servers.usable(service).filter(server =>
    options.isServerResponding(serverProcessId(server)) && server.models.some(loaded => loaded.name === model && (adapter === undefined || loaded.adapters.includes(adapter))))
  const sendRequest = async (req: PlacementRequest): Promise<PlacementReply> => {
    const id = leader()
    if (id === undefined) return { kind: 'unavailable' }
    const reply = await peers.call(id, placementCall, req, { timeoutMs: REQUEST_TIMEOUT_MS })
    if (reply.ok) return reply.val
    logger.debug('orderer-unreached', { orderer: id, model: req.model, reason: reply.val.kind })
    return { kind: 'unavailable' }
  }
  const waitingGroupsOf = (model: string): Pick<PlacementRequest, 'waiting'> => {
    const requests = requestsByModel.get(model)
    return requests === undefined ? {} : { waiting: groupWaiting([...requests], clock.monotonic()) }
  }
  /** Counts the request as waiting until the returned function is called. */
  const addWaiting = ({ model, maxWaitMs, latencyObjectiveMs }: ModelWaitOptions): (() => void) => {
    addCount(waiting, model, 1)
    const requests = requestsByModel.get(model) ?? new Set<WaitingRequest>()
    const request = { inTimeUntilMs: clock.monotonic() + (latencyObjectiveMs ?? 0), giveUpAtMs: clock.monotonic() + maxWaitMs }
    if (latencyObjectiveMs !== undefined) requestsByModel.set(model, requests.add(request))
    return () => {
      addCount(waiting, model, -1)
      requests.delete(request)
      if (requests.size === 0) requestsByModel.delete(model)
    }
  }
  const waitForChange = (delayMs: number, signal: AbortSignal): Promise<void> => {
    const woken = new AbortController()
    const wake = (): void => woken.abort()
    wakers.add(wake)
    return sleep(clock, delayMs, signal, woken.signal).finally(() => wakers.delete(wake))
  }
  const waitUntilReady = async ({ model, adapter, service, maxWaitMs, signal, isShuttingDown, softwareVersion, mayServe: isAllowed = () => true, excludedProcesses, unavailableProcesses }: ModelWaitOptions): Promise<ModelWaitResult> => {
    const mayServe = (server: BackendServer): boolean => {
      const process = serverProcessId(server)
      return !excludedProcesses.has(process) && !unavailableProcesses().has(process) && isAllowed(server)
    }
    const sinceMs = clock.monotonic()
    let lastRequestMs = -Infinity
    let hasLeader = false
    for (;;) {
      // When the process ends, a request that begins now would be cut off, and one that is still waiting would get no
      // response at all.
      if (isShuttingDown()) return { kind: 'closing' }
      const usableServers = serversWithModel(service, model, adapter).filter(mayServe)
      if (usableServers.length > 0) return { kind: 'ready', servers: usableServers }
      if (signal.aborted) return { kind: 'stopped' }
      const waitedMs = clock.monotonic() - sinceMs
      if (waitedMs >= maxWaitMs) return hasLeader ? { kind: 'not-in-time', inMs: REQUEST_INTERVAL_MS } : { kind: 'no-orderer' }
      if (clock.monotonic() - lastRequestMs >= REQUEST_INTERVAL_MS) {
        lastRequestMs = clock.monotonic()
        const reply = await sendRequest({ model, adapter, waitedMs, patienceMs: maxWaitMs - waitedMs, unavailable: [...unavailableProcesses()], ...(softwareVersion === undefined ? {} : { softwareVersion }), ...waitingGroupsOf(model) })
        if (reply.kind === 'ready') {
          // The server may leave, which the leader does not know yet.
          const server = servers.usable(service).find(({ id }) => id === reply.server)
          if (server !== undefined && mayServe(server)) return { kind: 'ready', servers: [server] }
        }
        if (reply.kind === 'unavailable' && (options.isIsolated() || waitedMs > MAX_WAIT_WITHOUT_LEADER_MS)) return { kind: 'no-orderer' }
        hasLeader ||= reply.kind === 'coming'
        if (reply.kind === 'coming' && waitedMs + reply.inMs > maxWaitMs) return { kind: 'not-in-time', inMs: reply.inMs }
        continue
      }
      await waitForChange(Math.min(REQUEST_INTERVAL_MS - (clock.monotonic() - lastRequestMs), maxWaitMs - waitedMs) + 1, signal)
    }
  }
  return {
    serversWithModel,
    waitingByModel: () => waiting,
    waitForModel: async waitOptions => {
      const stopWaiting = addWaiting(waitOptions)
      try {
        return await waitUntilReady(waitOptions)
      } finally {
        stopWaiting()
      }
    }
  }
}
