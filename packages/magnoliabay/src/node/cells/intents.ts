/**
 * Intents: each order is recorded before it is sent, in the store or, while that is unreachable, on peers in two
 * other failure domains. The next leader of the cell reads them, and charges the orders that may still arrive.
 */
import { checkInput } from '../inputs'
import { parseJson } from '../utils'
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import type { Store } from '../store'
import { dropIntentsNotice, heldIntentsCall, holdIntentCall, intentKey, intentSchema, intentsPrefix, cellLeaderKey } from './records'
import type { Intent } from './records'

/** `superseded`: another member leads the cell now. `nowhere`: neither the store nor enough peers recorded it. */
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
  /** Marks the intent as answered, to be deleted. */
  forget (orderId: string): void
  /** Deletes forgotten intents from the store and from peers. */
  flushDeletes (): Promise<void>
  /** Reads the intents of former leaders. Undefined while too few members answer to know all of them. */
  readInherited (): Promise<readonly Intent[] | undefined>
  /** Intents that are recorded and not forgotten. */
  openIntents (): readonly Intent[]
}

/** Failure domains, other than the leader's own, that must hold an intent while the store is unreachable. */
const MIN_PEER_COPIES = 2
/** Each intent is in two domains, so every intent is found even if one whole domain does not answer. */
const MAX_SILENT_DOMAINS = 1
/** Most members of one domain that are asked, in turn, before the domain counts as not holding the intent. */
const MAX_ATTEMPTS_PER_DOMAIN = 3
const MAX_DELETES_PER_BATCH = 64

export function createIntents (options: IntentsOptions): Intents {
  const { cell, fence, store, peers, logger } = options
  const recorded = new Map<string, Intent>()
  const pendingDeletes = new Set<string>()

  const recordInStore = async (intent: Intent): Promise<RecordOutcome> => {
    const written = await store.transact({
      compares: [{ key: cellLeaderKey(cell), target: 'mod', equals: fence }],
      writes: [{ kind: 'put', key: intentKey(cell, intent.orderId), value: JSON.stringify(intent) }]
    }, { priority: 'ownership' })
    if (written.ok) return written.val.succeeded ? 'stored' : 'superseded'
    if (written.val.kind !== 'unknown') return 'nowhere'
    // The response was lost. A read is conclusive, since only this leader writes the key.
    const found = await store.get(intentKey(cell, intent.orderId), { priority: 'ownership' })
    return found.ok && found.val !== undefined ? 'stored' : 'nowhere'
  }
  const recordOnPeers = async (intent: Intent): Promise<RecordOutcome> => {
    const domains = groupByDomain(peers.members().filter(member => member.failureDomain !== peers.self.failureDomain))
    const copies = await Promise.all([...domains.values()].map(members => holdInDomain(intent, members)))
    return copies.filter(held => held).length >= MIN_PEER_COPIES ? 'on-peers' : 'nowhere'
  }
  /** Asks the domain's members in turn until one holds the intent. */
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
      const deleted = await store.transact({
        compares: [],
        writes: orderIds.map(orderId => ({ kind: 'delete', key: intentKey(cell, orderId) }))
      })
      if (deleted.err) return
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
      const stored = range.val.entries.map(entry => checkInput(intentSchema, parseJson(entry.value)))
      // An order that cannot be read may have been sent: the cell is not taken over without it.
      if (stored.some(intent => intent.err)) return undefined
      const held = answers.flatMap(({ reply }) => reply.ok ? reply.val : [])
      const byOrder = new Map([...held, ...stored.flatMap(intent => intent.ok ? [intent.val] : [])].map(intent => [intent.orderId, intent]))
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

/** Maximum number of intents held for other leaders. Far above the open intents of two thousand engines. */
const MAX_HELD_INTENTS = 10_000

export interface HeldIntents {
  /** Records the fence of the newest known leader of a cell. Intents of older leaders are refused. */
  recordFence (cell: string, fence: number): void
}

/** Holds intents of leaders on other members while the store is unreachable. */
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
