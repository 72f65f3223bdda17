/**
 * Keeps this instance's record in the store under one lease, and the network's members up to date.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { repeat } from '../clock'
import { createListeners } from './dispatch'
import type { Logger } from '../logger'
import type { KeyValue, Store } from '../store'
import type { PeerNetwork } from './network'
import { checkInput } from '../inputs'
import type { InputMonitor, InputSource } from '../inputs'
import { MEMBERS_PREFIX, memberKey, reachableMemberSchema } from './record'
import type { MemberRecord } from './record'
import { NO_BODY, definePeerNotice } from './peers'
import { parseJson, stableHash } from '../utils'

/** Seconds after which the store deletes the keys of a lease that is not renewed. */
const LEASE_TTL_SECONDS = 10
const RENEW_INTERVAL_MS = 3000

/**
 * How long a member whose record has expired counts as running, if no link is maintained to it. A maintained link shows
 * whether it runs.
 */
const EXPIRED_RECORD_RETENTION_MS = 15_000

/**
 * Sent by a member that shuts down. The store holds the same in its record, but may not answer just then: the others would
 * send callers to the member, and connections through it, until its process has gone.
 */
const leavingNotice = definePeerNotice<unknown>('members.leaving', NO_BODY)

interface ExpiredRecord {
  record: MemberRecord
  /** Monotonic milliseconds. */
  sinceMs: number
}

export interface MembershipOptions {
  /** Counts values that cannot be read. @default they are logged only */
  inputs?: Pick<InputMonitor, 'countRefused'>
  store: Store
  network: PeerNetwork
  clock: Clock
  logger: Logger
}

/** Changes of the members since the previous call of {@link MemberList.takeChanges}. */
export interface MemberChanges {
  put: readonly MemberRecord[]
  gone: readonly string[]
}

/** The members' records as known to an instance that watches the store; other instances follow this list. */
export interface MemberList {
  records (): readonly MemberRecord[]
  /** The same for two instances exactly when both know the same records. */
  digest (): string
  /** Replaces the records by the whole list of a peer. */
  replaceAll (list: readonly MemberRecord[]): void
  /** Applies the changes of a peer's list. */
  applyChanges (changes: MemberChanges): void
  takeChanges (): MemberChanges | undefined
  onChanged (listener: () => void): void
}

export interface Membership extends MemberList {
  /** The only lease of the process, or undefined while it has none. */
  leaseId (): string | undefined
  /** Whether the store holds the record of this process, as far as is known. */
  isRegistered (incarnation: string): boolean
  /** Registers and keeps registering until `signal` aborts. */
  start (signal: AbortSignal): void
  /** Marks this instance as leaving, so that no new callers are sent to it. */
  announceLeaving (): Promise<void>
  /** Revokes the lease, which deletes the record. */
  deregister (): Promise<void>
}

export function createMembership (options: MembershipOptions): Membership {
  const { store, network, clock, logger } = options
  const self = network.self
  const records = new Map<string, MemberRecord>()
  /** Records that are missing from the store, of members that may still be running. */
  const expiredRecords = new Map<string, ExpiredRecord>()
  const changed = createListeners<[]>()
  const changedIds = new Set<string>()
  /** Processes that have announced their end to this instance. */
  const leavingIncarnations = new Set<string>()
  let digest: string | undefined
  let leaseId: string | undefined

  const register = async (): Promise<void> => {
    const lease = await store.grantLease(LEASE_TTL_SECONDS)
    if (lease.err) return logger.warn('lease-not-granted', { reason: lease.val.message })
    const put = await putRecord(lease.val)
    if (put.err) return logger.warn('member-not-registered', { reason: put.val.message })
    leaseId = lease.val
    logger.info('member-registered', { lease: leaseId })
  }
  const putRecord = async (lease: string): ReturnType<Store['transact']> =>
    await store.transact({
      compares: [],
      writes: [{ kind: 'put', key: memberKey(self.id), value: JSON.stringify(self), leaseId: lease }]
    }, { priority: 'ownership' })
  const renewOrRegister = async (): Promise<void> => {
    if (leaseId === undefined) return await register()
    const renewed = await store.renewLease(leaseId)
    if (renewed.ok || renewed.val.kind !== 'lease-lost') return
    logger.warn('lease-lapsed', { lease: leaseId })
    leaseId = undefined
    await register()
  }
  /**
   * After a long outage of the store all leases have expired, and all records disappear until each member has registered
   * again. Members with a link stay members, so that no instance closes the links that all peer traffic uses.
   */
  const isPresumedRunning = ({ record, sinceMs }: ExpiredRecord): boolean => {
    const linkState = network.linkStateOf(record.id)
    if (linkState !== 'none') return linkState === 'linked'
    return clock.monotonic() - sinceMs < EXPIRED_RECORD_RETENTION_MS
  }
  const updateMembers = (): void => {
    expiredRecords.forEach((expired, id) => { if (records.has(id) || !isPresumedRunning(expired)) expiredRecords.delete(id) })
    const known = [...records.values(), ...[...expiredRecords.values()].map(expired => expired.record)]
    dropAnnouncementsExcept(new Set(known.map(record => record.incarnation)))
    network.setMembers(known.map(record => isLeaving(record) ? { ...record, leaving: true } : record))
    changed.emit()
  }
  const isLeaving = (record: MemberRecord): boolean => record.leaving || leavingIncarnations.has(record.incarnation)
  const dropAnnouncementsExcept = (incarnations: ReadonlySet<string>): void =>
    leavingIncarnations.forEach(incarnation => { if (!incarnations.has(incarnation)) leavingIncarnations.delete(incarnation) })
  const recordAnnouncement = ({ incarnation }: MemberRecord): void => {
    leavingIncarnations.add(incarnation)
    updateMembers()
  }
  const markChanged = (id: string): void => {
    changedIds.add(id)
    digest = undefined
  }
  const dropRecord = (id: string): void => {
    const record = records.get(id)
    if (record === undefined) return
    records.delete(id)
    markChanged(id)
    if (!isLeaving(record)) expiredRecords.set(id, { record, sinceMs: clock.monotonic() })
  }
  /** Applies one record. A damaged one must not prevent the others from being applied. */
  const applyRecord = (value: unknown, source: InputSource, sender: { key?: string, member?: string }): void => {
    const record = checkInput(reachableMemberSchema, value)
    if (record.ok) return updateRecord(record.val)
    options.inputs?.countRefused(source)
    logger.warn('member-record-refused', { ...sender, reason: record.val.message })
  }
  const applyEntry = ({ key, value }: Pick<KeyValue, 'key' | 'value'>): void => applyRecord(parseJson(value), 'store-value', { key })
  const applyFromPeer = (record: MemberRecord): void => applyRecord(record, 'peer-message', { member: record.id })
  const updateRecord = (record: MemberRecord): void => {
    const known = records.get(record.id)
    if (known !== undefined && identityOf(known) === identityOf(record)) return
    records.set(record.id, record)
    markChanged(record.id)
  }
  /** Drops the records that a complete list does not contain. */
  const dropMissing = (ids: ReadonlySet<string>): void => {
    const missing = [...records.keys()].filter(id => !ids.has(id))
    missing.forEach(dropRecord)
  }

  return {
    leaseId: () => leaseId,
    records: () => [...records.values()],
    digest: () => {
      digest ??= stableHash([...records.values()].map(identityOf).sort().join('\n')).toString(36)
      return digest
    },
    replaceAll: list => {
      dropMissing(new Set(list.map(record => record.id)))
      list.forEach(applyFromPeer)
      updateMembers()
    },
    applyChanges: ({ put, gone }) => {
      gone.forEach(dropRecord)
      put.forEach(applyFromPeer)
      updateMembers()
    },
    takeChanges: () => {
      if (changedIds.size === 0) return undefined
      const ids = [...changedIds]
      changedIds.clear()
      return { put: ids.flatMap(id => records.get(id) ?? []), gone: ids.filter(id => !records.has(id)) }
    },
    onChanged: changed.add,
    isRegistered: incarnation => [...records.values()].some(record => record.incarnation === incarnation),
    start: signal => {
      network.listen(leavingNotice, (_body, from) => recordAnnouncement(from))
      store.watch(MEMBERS_PREFIX, {
        onSnapshot: snapshot => {
          dropMissing(new Set(snapshot.entries.map(entry => entry.key.slice(MEMBERS_PREFIX.length))))
          snapshot.entries.forEach(applyEntry)
          updateMembers()
        },
        onEvent: event => {
          if (event.kind === 'put') applyEntry(event)
          else dropRecord(event.key.slice(MEMBERS_PREFIX.length))
          updateMembers()
        }
      }, signal)
      inBackground('membership-loop', repeat(clock, RENEW_INTERVAL_MS, signal, renewOrRegister))
      inBackground('membership-loop', repeat(clock, RENEW_INTERVAL_MS, signal, () => { if (expiredRecords.size > 0) updateMembers() }))
    },
    announceLeaving: async () => {
      self.leaving = true
      network.notifyAll(leavingNotice, {})
      if (leaseId !== undefined) await putRecord(leaseId)
    },
    deregister: async () => {
      if (leaseId !== undefined) await store.revokeLease(leaseId)
      leaseId = undefined
    }
  }
}

/** The fields of a record whose changes matter to other members. */
function identityOf ({ id, incarnation, leaving }: MemberRecord): string {
  return `${id} ${incarnation} ${leaving}`
}
