/**
 * A peer that watches the store for a leader that cannot reach it. Failure: the store rejects the leader's calls, or a
 * network partition separates them, while all others reach the store. The leader renews its lease through a peer, but its
 * followers would have to read and watch the store themselves until it is reachable again: hundreds of calls per second.
 * The leader therefore asks a peer that reaches the store to watch it, uses what that peer sends, and states the age of
 * that information in its summaries.
 */
import { inBackground, runStep } from '../background'
import * as v from 'valibot'
import type { Clock } from '../clock'
import { sleep, delayToNextPeriod } from '../clock'
import type { Logger } from '../logger'
import { NO_BODY, definePeerCall } from '../members'
import type { Peers } from '../members'
import { STORE_RECOVERY_MS } from './serverList'

/** An instance's contact to the store. */
export interface StoreContact {
  /** Time since the store last responded, milliseconds. */
  ageMs: number
  /** How long the store has responded without interruption, milliseconds; below 0 while it does not respond. */
  steadyMs: number
}

const watchCall = definePeerCall<Record<string, never>, StoreContact>('serving.watch-for-me', { req: NO_BODY, res: v.object({ ageMs: v.number(), steadyMs: v.number() }) })

/** Interval at which a proxy is asked for its contact to the store, milliseconds. */
const ASK_INTERVAL_MS = 250
const ASK_TIMEOUT_MS = 300
/** Interval at which an instance that is not the leader checks whether it is, milliseconds. */
const LEADERSHIP_CHECK_INTERVAL_MS = 1000
/** A leader without contact to the store for this long asks for a proxy, milliseconds: well before its followers stop following it. */
const MAX_OWN_STORE_AGE_MS = 800
/** A proxy without contact to the store for this long is replaced, milliseconds. */
const MAX_PROXY_STORE_AGE_MS = 1500
/** A proxy that was replaced is not asked again for this long, milliseconds. */
const PROXY_AVOIDANCE_MS = 3000
/** A proxy that is not asked any more stops watching after this long, milliseconds. */
const CLIENT_TTL_MS = 1500

export interface StoreProxyOptions {
  peers: Peers
  isLeading: () => boolean
  ownContact: () => StoreContact
  /** Peers that may reach the store, the most likely first. */
  candidates: () => readonly string[]
  /** Called when a proxy has responded: its information is to be fetched. */
  onProxyAnswered: (member: string) => void
  clock: Clock
  logger: Logger
}

export interface StoreProxy {
  /** Returns the contact to the store, of this instance itself or of its proxy. */
  contact (): StoreContact
  /** Returns the peer that watches for this instance. */
  current (): string | undefined
  /** Returns the peers for which this instance watches. */
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
  /** Adds the time since the proxy was asked. A proxy that has just begun to watch has a response within a call or two. */
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
    // The first reply may reflect the time before the proxy began to watch; a proxy whose own calls fail says so at once.
    const lacksStoreContact = reply.val.steadyMs < 0 || (!isNew && reply.val.ageMs > MAX_PROXY_STORE_AGE_MS)
    if (lacksStoreContact) return giveUp(member, 'no contact to the store')
    if (isNew) logger.info('store-proxy', { peer: member, itsAgeMs: Math.round(reply.val.ageMs), ownAgeMs: Math.round(ownContact().ageMs) })
    proxy = { member, contact: reply.val, askedAtMs: sentMs }
    onProxyAnswered(member)
  }

  const askRepeatedly = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await runStep('ask-proxy', ask)
      await sleep(clock, delayToNextPeriod(clock, isLeading() ? ASK_INTERVAL_MS : LEADERSHIP_CHECK_INTERVAL_MS), signal)
    }
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
    start: signal => { inBackground('ask-proxy', askRepeatedly(signal)) }
  }
}
