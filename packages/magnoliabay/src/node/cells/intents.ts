/**
 * Intents: each order is recorded before it is sent, in the store or, while that is dark, on peers in two
 * other failure domains. Whoever becomes steward next reads them, and charges what may still arrive.
 */
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import type { Store } from '../store'
import { dropIntentsNotice, heldIntentsCall, holdIntentCall, intentKey, intentsPrefix, cellLeaderKey } from './records'
import type { Intent } from './records'

/** `superseded`: another steward holds the cell now. `nowhere`: neither store nor enough peers took it. */
export type RecordOutcome = 'stored' | 'on-peers' | 'superseded' | 'nowhere'

export interface IntentsOptions {
  cell: string
  fence: number
  store: Store
  peers: Peers
  logger: Logger
}

export interface Intents {
  record (intent: Intent): Promise<RecordOutcome>
  /** The order of the intent was answered. */
  forget (orderId: string): void
  /** Carries out what `forget` could not do yet. */
  flushDeletes (): Promise<void>
  /** Intents of earlier stewards, or undefined while too few members have answered to know all. */
  readInherited (): Promise<readonly Intent[] | undefined>
  /** Recorded and not forgotten. */
  openIntents (): readonly Intent[]
}

/** Failure domains, other than the steward's own, that must hold an intent while the store is dark. */
const MIN_PEER_COPIES = 2
/** A copy is in two domains, so one whole domain may be silent and every intent is still seen. */
const MAX_SILENT_DOMAINS = 1
/** Members of one domain that are asked before it counts as silent. */
const MAX_ATTEMPTS_PER_DOMAIN = 3
const MAX_DELETES_PER_BATCH = 64

export function createIntents (options: IntentsOptions): Intents {
  const { cell, fence, store, peers, logger } = options
  const recorded = new Map<string, Intent>()
  const pendingDeletes = new Set<string>()

  const recordInStore = async (intent: Intent): Promise<RecordOutcome> => {
    const answer = await store.transact({
      compares: [{ key: cellLeaderKey(cell), target: 'mod', equals: fence }],
      writes: [{ kind: 'put', key: intentKey(cell, intent.orderId), value: JSON.stringify(intent) }]
    }, { priority: 'ownership' })
    if (answer.ok) return answer.val.succeeded ? 'stored' : 'superseded'
    if (answer.val.kind !== 'unknown') return 'nowhere'
    // The answer was lost. What a read shows is certain: the key is written by this steward alone.
    const found = await store.get(intentKey(cell, intent.orderId), { priority: 'ownership' })
    return found.ok && found.val !== undefined ? 'stored' : 'nowhere'
  }
  const recordOnPeers = async (intent: Intent): Promise<RecordOutcome> => {
    const domains = groupByDomain(peers.members().filter(member => member.failureDomain !== peers.self.failureDomain))
    const copies = await Promise.all([...domains.values()].map(members => holdInDomain(intent, members)))
    return copies.filter(held => held).length >= MIN_PEER_COPIES ? 'on-peers' : 'nowhere'
  }
  /** Asks the domain's members one after another until one holds it. */
  const holdInDomain = async (intent: Intent, members: readonly MemberRecord[]): Promise<boolean> => {
    for (const member of members.filter(candidate => peers.isConnected(candidate.id)).slice(0, MAX_ATTEMPTS_PER_DOMAIN)) {
      const reply = await peers.call(member.id, holdIntentCall, intent)
      if (reply.ok && reply.val.held) return true
    }
    return false
  }

  return {
    record: async intent => {
      recorded.set(intent.orderId, intent)
      const stored = await recordInStore(intent)
      const outcome = stored === 'nowhere' ? await recordOnPeers(intent) : stored
      if (outcome === 'nowhere' || outcome === 'superseded') {
        recorded.delete(intent.orderId)
        pendingDeletes.add(intent.orderId)
        logger.warn('intent-not-recorded', { order: intent.orderId, model: intent.model, reason: outcome })
      }
      return outcome
    },
    forget: orderId => {
      recorded.delete(orderId)
      pendingDeletes.add(orderId)
    },
    flushDeletes: async () => {
      const orderIds = [...pendingDeletes].slice(0, MAX_DELETES_PER_BATCH)
      if (orderIds.length === 0) return
      const answer = await store.transact({
        compares: [],
        writes: orderIds.map(orderId => ({ kind: 'delete', key: intentKey(cell, orderId) }))
      })
      if (answer.err) return
      peers.notifyAll(dropIntentsNotice, orderIds)
      orderIds.forEach(orderId => pendingDeletes.delete(orderId))
    },
    readInherited: async () => {
      const range = await store.range(intentsPrefix(cell), { priority: 'ownership' })
      if (range.err) return undefined
      const others = peers.members().filter(member => member.id !== peers.self.id)
      const answers = await Promise.all(others.map(async member => ({ member, reply: await peers.call(member.id, heldIntentsCall, cell) })))
      const silentDomains = new Set(answers.filter(({ reply }) => reply.err).map(({ member }) => member.failureDomain))
      if (silentDomains.size > MAX_SILENT_DOMAINS) return undefined
      const stored = range.val.entries.map(entry => JSON.parse(entry.value) as Intent)
      const held = answers.flatMap(({ reply }) => reply.ok ? reply.val : [])
      const byOrder = new Map([...held, ...stored].map(intent => [intent.orderId, intent]))
      return [...byOrder.values()].filter(intent => intent.fence < fence)
    },
    openIntents: () => [...recorded.values()]
  }
}

function groupByDomain (members: readonly MemberRecord[]): Map<string, MemberRecord[]> {
  const domains = new Map<string, MemberRecord[]>()
  members.forEach(member => domains.set(member.failureDomain, [...domains.get(member.failureDomain) ?? [], member]))
  return domains
}

/** Most intents held for others; far above what two thousand engines could have open. */
const MAX_HELD_INTENTS = 10_000

export interface HeldIntents {
  /** Fence of the newest steward known of a cell; older ones are refused. */
  recordFence (cell: string, fence: number): void
}

/** Holds intents of other stewards while the store is dark. */
export function createHeldIntents (peers: Peers): HeldIntents {
  const held = new Map<string, Intent>()
  const fences = new Map<string, number>()
  const hold = (intent: Intent): boolean => {
    if (intent.fence < (fences.get(intent.cell) ?? 0) || held.size >= MAX_HELD_INTENTS) return false
    held.set(intent.orderId, intent)
    return true
  }
  peers.serve(holdIntentCall, intent => ({ held: hold(intent) }))
  peers.serve(heldIntentsCall, cell => [...held.values()].filter(intent => intent.cell === cell))
  peers.listen(dropIntentsNotice, orderIds => orderIds.forEach(orderId => held.delete(orderId)))
  return {
    recordFence: (cell, fence) => { fences.set(cell, Math.max(fence, fences.get(cell) ?? 0)) }
  }
}
