/** Gets a model, or an adapter of it, made ready for requests of this instance: asks whoever gives orders. */
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

/** How often a want is repeated while requests wait; the orderer forgets wants that are not. */
const REPEAT_MS = 400
const ASK_TIMEOUT_MS = 400
/**
 * A hand-over of orders takes three to six seconds. Most callers leave sooner; one told at once may come back when it
 * is over, and one that waits for nothing holds its connection.
 */
const MAX_WITHOUT_ORDERER_MS = 1000

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
  /** Longest time that it makes sense to wait, milliseconds. */
  maxWaitMs: number
  signal: AbortSignal
  /** This process ends too soon for a request that begins now. */
  isShuttingDown: () => boolean
  /** Processes of servers that are no use to the request. */
  excludedProcesses: ReadonlySet<string>
}

export interface PlacementClient {
  /** Servers of the service that have the model, and the adapter if one is named. */
  serversWithModel (service: string, model: string, adapter: string | undefined): readonly BackendServer[]
  /** Waits until a server has it, or says how long that will take if it is too long. */
  waitForModel (options: ModelWaitOptions): Promise<ModelWaitResult>
  /** Requests that wait here for each model. */
  waitingByModel (): ReadonlyMap<string, number>
}

export interface PlacementClientOptions {
  peers: Peers
  servers: ServerList
  /** The instance that gives orders, as far as known. */
  leader: () => string | undefined
  /** Cut off from most other instances: nobody here will order anything. */
  isIsolated: () => boolean
  /** Whether a server answers at all, by what this instance sees. */
  isServerResponding: (process: string) => boolean
  clock: Clock
  logger: Logger
}

export function createPlacementClient (options: PlacementClientOptions): PlacementClient {
  const { peers, servers, leader: orderer, clock, logger } = options
  const waiting = new Map<string, number>()
  const wakers = new Set<() => void>()

  servers.onChanged(() => [...wakers].forEach(wake => wake()))

  const holders: PlacementClient['serversWithModel'] = (service, model, adapter) => servers.usable(service).filter(server =>
    options.isServerResponding(serverProcessId(server)) && server.models.some(held => held.name === model && (adapter === undefined || held.adapters.includes(adapter))))
  const ask = async (req: PlacementRequest): Promise<PlacementReply> => {
    const id = orderer()
    if (id === undefined) return { kind: 'unavailable' }
    const reply = await peers.call(id, placementCall, req, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.ok) return reply.val
    logger.debug('orderer-unreached', { orderer: id, model: req.model, reason: reply.val.kind })
    return { kind: 'unavailable' }
  }
  const pause = (delayMs: number, signal: AbortSignal): Promise<void> => {
    const woken = new AbortController()
    const wake = (): void => woken.abort()
    wakers.add(wake)
    return sleep(clock, delayMs, AbortSignal.any([signal, woken.signal])).finally(() => wakers.delete(wake))
  }
  const waitFor = async ({ model, adapter, service, maxWaitMs: patienceMs, signal, isShuttingDown: isClosing, excludedProcesses: except }: ModelWaitOptions): Promise<ModelWaitResult> => {
    const sinceMs = clock.monotonic()
    let askedMs = -Infinity
    let hasOrderer = false
    for (;;) {
      // Waiting on, or beginning now, a caller would be cut when the process ends, the one with no answer at all.
      if (isClosing()) return { kind: 'closing' }
      const found = holders(service, model, adapter).filter(server => !except.has(serverProcessId(server)))
      if (found.length > 0) return { kind: 'ready', servers: found }
      if (signal.aborted) return { kind: 'stopped' }
      const waitedMs = clock.monotonic() - sinceMs
      if (waitedMs >= patienceMs) return hasOrderer ? { kind: 'not-in-time', inMs: REPEAT_MS } : { kind: 'no-orderer' }
      if (clock.monotonic() - askedMs >= REPEAT_MS) {
        askedMs = clock.monotonic()
        const reply = await ask({ model, adapter, waitedMs, patienceMs: patienceMs - waitedMs })
        if (reply.kind === 'ready') {
          const server = servers.get(reply.server)
          if (server !== undefined && !except.has(serverProcessId(server))) return { kind: 'ready', servers: [server] }
        }
        if (reply.kind === 'unavailable' && (options.isIsolated() || waitedMs > MAX_WITHOUT_ORDERER_MS)) return { kind: 'no-orderer' }
        hasOrderer ||= reply.kind === 'coming'
        if (reply.kind === 'coming' && waitedMs + reply.inMs > patienceMs) return { kind: 'not-in-time', inMs: reply.inMs }
        continue
      }
      await pause(Math.min(REPEAT_MS - (clock.monotonic() - askedMs), patienceMs - waitedMs) + 1, signal)
    }
  }
  return {
    serversWithModel: holders,
    waitingByModel: () => waiting,
    waitForModel: async wanted => {
      addCount(waiting, wanted.model, 1)
      try {
        return await waitFor(wanted)
      } finally {
        addCount(waiting, wanted.model, -1)
      }
    }
  }
}
