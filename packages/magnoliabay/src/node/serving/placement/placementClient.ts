/** Gets a model, or an adapter of it, made ready for requests of this instance: asks whoever gives orders. */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { Logger } from '../../logger'
import type { Peers } from '../../members'
import { addCount } from '../../utils'
import type { Servers } from '../servers'
import { processOf } from '../types'
import type { BackendServer } from '../types'
import { wantCall } from './messages'
import type { WantReply, WantRequest } from './messages'

/** How often a want is repeated while requests wait; the orderer forgets wants that are not. */
const REPEAT_MS = 400
const ASK_TIMEOUT_MS = 400
/**
 * A hand-over of orders takes three to six seconds. Most callers leave sooner; one told at once may come back when it
 * is over, and one that waits for nothing holds its connection.
 */
const MAX_WITHOUT_ORDERER_MS = 1000

export type Awaited =
  | { kind: 'ready', servers: readonly BackendServer[] }
  | { kind: 'not-in-time', inMs: number }
  | { kind: 'no-orderer' }
  | { kind: 'stopped' }
  | { kind: 'closing' }

export interface AwaitOptions {
  model: string
  adapter: string | undefined
  service: string
  /** Longest time that it makes sense to wait, milliseconds. */
  patienceMs: number
  signal: AbortSignal
  /** This process ends too soon for a request that begins now. */
  isClosing: () => boolean
  /** Processes of servers that are no use to the request. */
  except: ReadonlySet<string>
}

export interface PlacementClient {
  /** Servers of the service that have the model, and the adapter if one is named. */
  holders (service: string, model: string, adapter: string | undefined): readonly BackendServer[]
  /** Waits until a server has it, or says how long that will take if it is too long. */
  await (options: AwaitOptions): Promise<Awaited>
  /** Requests that wait here for each model. */
  waiting (): ReadonlyMap<string, number>
}

export interface PlacementClientOptions {
  peers: Peers
  servers: Servers
  /** The instance that gives orders, as far as known. */
  orderer: () => string | undefined
  /** Cut off from most other instances: nobody here will order anything. */
  isIsolated: () => boolean
  /** Whether a server answers at all, by what this instance sees. */
  isSound: (process: string) => boolean
  clock: Clock
  logger: Logger
}

export function createPlacementClient (options: PlacementClientOptions): PlacementClient {
  const { peers, servers, orderer, clock, logger } = options
  const waiting = new Map<string, number>()
  const wakers = new Set<() => void>()

  servers.onChanged(() => [...wakers].forEach(wake => wake()))

  const holders: PlacementClient['holders'] = (service, model, adapter) => servers.usable(service).filter(server =>
    options.isSound(processOf(server)) && server.models.some(held => held.name === model && (adapter === undefined || held.adapters.includes(adapter))))
  const ask = async (req: WantRequest): Promise<WantReply> => {
    const id = orderer()
    if (id === undefined) return { kind: 'unavailable' }
    const reply = await peers.call(id, wantCall, req, { timeoutMs: ASK_TIMEOUT_MS })
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
  const waitFor = async ({ model, adapter, service, patienceMs, signal, isClosing, except }: AwaitOptions): Promise<Awaited> => {
    const sinceMs = clock.monotonic()
    let askedMs = -Infinity
    let hasOrderer = false
    for (;;) {
      // Waiting on, or beginning now, a caller would be cut when the process ends, the one with no answer at all.
      if (isClosing()) return { kind: 'closing' }
      const found = holders(service, model, adapter).filter(server => !except.has(processOf(server)))
      if (found.length > 0) return { kind: 'ready', servers: found }
      if (signal.aborted) return { kind: 'stopped' }
      const waitedMs = clock.monotonic() - sinceMs
      if (waitedMs >= patienceMs) return hasOrderer ? { kind: 'not-in-time', inMs: REPEAT_MS } : { kind: 'no-orderer' }
      if (clock.monotonic() - askedMs >= REPEAT_MS) {
        askedMs = clock.monotonic()
        const reply = await ask({ model, adapter, waitedMs, patienceMs: patienceMs - waitedMs })
        if (reply.kind === 'ready') {
          const server = servers.get(reply.server)
          if (server !== undefined && !except.has(processOf(server))) return { kind: 'ready', servers: [server] }
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
    holders,
    waiting: () => waiting,
    await: async wanted => {
      addCount(waiting, wanted.model, 1)
      try {
        return await waitFor(wanted)
      } finally {
        addCount(waiting, wanted.model, -1)
      }
    }
  }
}
