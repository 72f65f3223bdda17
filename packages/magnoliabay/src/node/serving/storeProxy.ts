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
const ASK_INTERVAL_MS = 250
const ASK_TIMEOUT_MS = 300
/** How often one who does not lead looks whether it does, milliseconds. */
const LEADERSHIP_CHECK_INTERVAL_MS = 1000
/** A leader that has not heard the store for this long asks for a proxy, milliseconds: well before those who follow give it up. */
const MAX_OWN_STORE_AGE_MS = 800
/** A proxy that has heard nothing of the store for this long is of no use, milliseconds. */
const MAX_PROXY_STORE_AGE_MS = 1500
/** One that was of no use is not asked again for this long, milliseconds. */
const PROXY_AVOIDANCE_MS = 3000
/** Whoever is not asked any more watches no longer, milliseconds. */
const CLIENT_TTL_MS = 1500

export interface StoreProxyOptions {
  peers: Peers
  isLeading: () => boolean
  ownContact: () => StoreContact
  /** Peers that may reach the store, the likeliest first. */
  candidates: () => readonly string[]
  /** A proxy is there: what it knows is to be fetched. */
  onProxyAnswered: (member: string) => void
  clock: Clock
  logger: Logger
}

export interface StoreProxy {
  /** How the store is heard, by this instance itself or by its proxy. */
  contact (): StoreContact
  /** Who watches for this instance. */
  current (): string | undefined
  /** For whom this instance watches. */
  clients (): readonly string[]
  start (signal: AbortSignal): void
}

interface ActiveProxy {
  member: string
  contact: StoreContact
  askedAtMs: number
}

export function createStoreProxy ({ peers, isLeading, ownContact, candidates, onProxyAnswered, clock, logger }: StoreProxyOptions): StoreProxy {
  const clientAskedMs = new Map<string, number>()
  const avoidedUntilMs = new Map<string, number>()
  let proxy: ActiveProxy | undefined

  peers.serve(watchCall, (_req, from) => {
    clientAskedMs.set(from.id, clock.monotonic())
    return ownContact()
  })
  const clients = (): string[] => {
    clientAskedMs.forEach((atMs, member) => { if (clock.monotonic() - atMs > CLIENT_TTL_MS) clientAskedMs.delete(member) })
    return [...clientAskedMs.keys()]
  }
  /** One that has just begun to watch has an answer within a call or two. */
  const contactOf = ({ contact, askedAtMs }: ActiveProxy): StoreContact => {
    const passedMs = clock.monotonic() - askedAtMs
    return { ageMs: contact.ageMs + passedMs, steadyMs: contact.steadyMs + passedMs }
  }
  const needsProxy = (): boolean => isLeading() && (ownContact().ageMs > MAX_OWN_STORE_AGE_MS || ownContact().steadyMs < STORE_RECOVERY_MS)
  const giveUp = (member: string, reason: string): void => {
    avoidedUntilMs.set(member, clock.monotonic() + PROXY_AVOIDANCE_MS)
    if (proxy?.member !== member) return
    logger.info('store-proxy-lost', { peer: member, reason })
    proxy = undefined
  }
  const ask = async (): Promise<void> => {
    if (!needsProxy()) {
      proxy = undefined
      return
    }
    const member = proxy?.member ?? candidates().find(each => (avoidedUntilMs.get(each) ?? -Infinity) <= clock.monotonic())
    if (member === undefined) return
    const sentMs = clock.monotonic()
    const reply = await peers.call(member, watchCall, {}, { timeoutMs: ASK_TIMEOUT_MS })
    if (reply.err) return giveUp(member, reply.val.kind)
    const isNew = proxy === undefined
    // Its first answer may be of before it began to watch; one that knows itself turned away says so at once.
    const lacksStoreContact = reply.val.steadyMs < 0 || (!isNew && reply.val.ageMs > MAX_PROXY_STORE_AGE_MS)
    if (lacksStoreContact) return giveUp(member, 'does not hear the store')
    if (isNew) logger.info('store-proxy', { peer: member, itsAgeMs: Math.round(reply.val.ageMs), ownAgeMs: Math.round(ownContact().ageMs) })
    proxy = { member, contact: reply.val, askedAtMs: sentMs }
    onProxyAnswered(member)
  }

  return {
    contact: () => {
      const direct = ownContact()
      if (proxy === undefined || (direct.ageMs <= MAX_OWN_STORE_AGE_MS && direct.steadyMs >= STORE_RECOVERY_MS)) return direct
      const byProxy = contactOf(proxy)
      return byProxy.ageMs < direct.ageMs || direct.steadyMs < STORE_RECOVERY_MS ? byProxy : direct
    },
    current: () => proxy?.member,
    clients,
    start: async signal => {
      while (!signal.aborted) {
        await ask()
        await sleep(clock, delayToNextPeriod(clock, isLeading() ? ASK_INTERVAL_MS : LEADERSHIP_CHECK_INTERVAL_MS), signal)
      }
    }
  }
}
