/**
 * A peer that watches the store for a leader that is out of its reach. Failure: the store turns the leader away, or a cut
 * does, while it serves everybody else; the leader keeps its lease by way of a peer, but all who follow it would have to
 * read and watch for themselves until it is back, hundreds of calls a second. So it asks one that reaches the store to
 * watch for it, goes by what that one tells, and says in its summaries how old that is.
 */
import type { Clock } from '../clock'
import { sleep, delayToNextPeriod } from '../clock'
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { Peers } from '../members'
import { STORE_RECOVERY_MS } from './serverList'

/** How an instance hears the store. */
export interface StoreContact {
  /** Milliseconds since it last answered. */
  ageMs: number
  /** How long it has answered without a break, milliseconds; below 0 while it does not answer. */
  steadyMs: number
}

const watchCall = definePeerCall<Record<string, never>, StoreContact>('serving.watch-for-me')

/** How often a proxy is asked, and says how it hears the store, milliseconds. */
const ASK_PERIOD_MS = 250
const ASK_TIMEOUT_MS = 300
/** How often one who does not lead looks whether it does, milliseconds. */
const LOOK_PERIOD_MS = 1000
/** A leader that has not heard the store for this long asks for a proxy, milliseconds: well before those who follow give it up. */
const LOST_MS = 800
/** A proxy that has heard nothing of the store for this long is of no use, milliseconds. */
const MAX_PROXY_AGE_MS = 1500
/** One that was of no use is not asked again for this long, milliseconds. */
const AVOID_MS = 3000
/** Whoever is not asked any more watches no longer, milliseconds. */
const ASKED_KEPT_MS = 1500

export interface StoreProxyOptions {
  peers: Peers
  isLeading: () => boolean
  own: () => StoreContact
  /** Peers that may reach the store, the likeliest first. */
  candidates: () => readonly string[]
  /** A proxy is there: what it knows is to be fetched. */
  onProxied: (member: string) => void
  clock: Clock
  logger: Logger
}

export interface StoreProxy {
  /** How the store is heard, by this instance itself or by its proxy. */
  sight (): StoreContact
  /** Who watches for this instance. */
  current (): string | undefined
  /** For whom this instance watches. */
  clients (): readonly string[]
  start (signal: AbortSignal): void
}

interface Proxy {
  member: string
  sight: StoreContact
  atMs: number
}

export function createStoreProxy ({ peers, isLeading, own, candidates, onProxied, clock, logger }: StoreProxyOptions): StoreProxy {
  const askedMs = new Map<string, number>()
  const avoidedUntilMs = new Map<string, number>()
  let proxy: Proxy | undefined

  peers.serve(watchCall, (_req, from) => {
    askedMs.set(from.id, clock.monotonic())
    return own()
  })
  const clients = (): string[] => {
    askedMs.forEach((atMs, member) => { if (clock.monotonic() - atMs > ASKED_KEPT_MS) askedMs.delete(member) })
    return [...askedMs.keys()]
  }
  /** One that has just begun to watch has an answer within a call or two. */
  const sightOf = ({ sight, atMs }: Proxy): StoreContact => {
    const passedMs = clock.monotonic() - atMs
    return { ageMs: sight.ageMs + passedMs, steadyMs: sight.steadyMs + passedMs }
  }
  const isWanting = (): boolean => isLeading() && (own().ageMs > LOST_MS || own().steadyMs < STORE_RECOVERY_MS)
  const give = (member: string, reason: string): void => {
    avoidedUntilMs.set(member, clock.monotonic() + AVOID_MS)
    if (proxy?.member !== member) return
    logger.info('store-proxy-lost', { peer: member, reason })
    proxy = undefined
  }
  const ask = async (): Promise<void> => {
    if (!isWanting()) {
      proxy = undefined
      return
    }
    const member = proxy?.member ?? candidates().find(each => (avoidedUntilMs.get(each) ?? -Infinity) <= clock.monotonic())
    if (member === undefined) return
    const sentMs = clock.monotonic()
    const reply = await peers.call(member, watchCall, {}, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.err) return give(member, reply.val.kind)
    const isNew = proxy === undefined
    // Its first answer may be of before it began to watch; one that knows itself turned away says so at once.
    const isDeaf = reply.val.steadyMs < 0 || (!isNew && reply.val.ageMs > MAX_PROXY_AGE_MS)
    if (isDeaf) return give(member, 'does not hear the store')
    if (isNew) logger.info('store-proxy', { peer: member, itsAgeMs: Math.round(reply.val.ageMs), ownAgeMs: Math.round(own().ageMs) })
    proxy = { member, sight: reply.val, atMs: sentMs }
    onProxied(member)
  }

  return {
    sight: () => {
      const direct = own()
      if (proxy === undefined || (direct.ageMs <= LOST_MS && direct.steadyMs >= STORE_RECOVERY_MS)) return direct
      const byProxy = sightOf(proxy)
      return byProxy.ageMs < direct.ageMs || direct.steadyMs < STORE_RECOVERY_MS ? byProxy : direct
    },
    current: () => proxy?.member,
    clients,
    start: async signal => {
      while (!signal.aborted) {
        await ask()
        await sleep(clock, delayToNextPeriod(clock, isLeading() ? ASK_PERIOD_MS : LOOK_PERIOD_MS), signal)
      }
    }
  }
}
