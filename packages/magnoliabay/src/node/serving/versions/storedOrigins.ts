/**
 * Keeps where streams began in the platform's store, so that they outlive a restart of all instances. Few instances write, for
 * all: many records in one write. Used only while the servers of a service have several software versions.
 */
import * as v from 'valibot'
import type { Clock } from '../../clock'
import type { InputMonitor } from '../../inputs'
import type { Logger } from '../../logger'
import { definePeerCall, rankHomeInstances } from '../../members'
import type { Peers } from '../../members'
import { stableHash } from '../../utils'
import { fromGroups, groupsSchema, hashOfStream, toGroups } from './originSegments/encoding'
import type { HashedRecord, OriginGroup } from './originSegments/encoding'
import { createSegmentReader } from './originSegments/reader'
import { createRecordSender } from './originSegments/sender'
import { createSegmentWriter } from './originSegments/writer'
import type { SegmentStore, WriteOptions, WriteOutcome } from './originSegments/writer'
import type { StoredOriginMetrics } from './originSegments/metrics'
import type { OriginRecord, StreamOrigin } from './streamOrigins'

/** Members for which one instance writes: it bounds the writes a second of a large fleet. */
const MEMBERS_PER_WRITER = 64
/** Instances that are tried before an instance writes its records itself. */
const MAX_WRITERS_TRIED = 2
/** A writer answers after its interval and a call or two of the store, milliseconds. */
const WRITE_TIMEOUT_MS = 2500
/** The same for urgent records, which another instance writes as well if it takes longer. */
const URGENT_WRITE_TIMEOUT_MS = 700
/** Time for which another instance is asked that may reach the store, milliseconds. */
const FIND_TIMEOUT_MS = 500
/** Length of a writer's name in the keys of its segments. */
const NAME_RADIX = 36

/** `absent`: the store was read and names no such stream. `unreadable`: it could not be read. */
export type StoredLookup = { kind: 'found', origin: StreamOrigin } | { kind: 'absent' } | { kind: 'unreadable' }

export interface AddOptions {
  /** Whether the records are written at once and not with the next batch. */
  isUrgent: boolean
}

export interface StoredOrigins {
  /** Queues records to be written. */
  add (records: readonly OriginRecord[], options: AddOptions): void
  /** Looks a stream up in the store by its key, see `streamKey`. */
  find (key: string): Promise<StoredLookup>
}

export interface StoredOriginsOptions {
  store: SegmentStore
  peers: Peers
  /** Logs and counts values in the store that cannot be read. @default they are only skipped */
  inputs?: Pick<InputMonitor, 'recordRefused'>
  /** @default nothing is counted */
  metrics?: StoredOriginMetrics
  clock: Clock
  logger: Logger
}

/** Stands for a store that keeps no records. */
export const NO_STORED_ORIGINS: StoredOrigins = { add: () => {}, find: async () => ({ kind: 'unreadable' }) }

const writeCall = definePeerCall<{ groups: readonly OriginGroup[], isUrgent: boolean }, WriteOutcome>('serving.store-stream-origins', {
  req: v.object({ groups: groupsSchema, isUrgent: v.boolean() }),
  res: v.object({ isWritten: v.boolean(), era: v.number() })
})
const findCall = definePeerCall<{ hash: string }, StoredLookup>('serving.find-stored-stream-origin', {
  req: v.object({ hash: v.string() }),
  res: v.variant('kind', [
    v.object({ kind: v.literal('found'), origin: v.object({ service: v.string(), softwareVersion: v.string() }) }),
    v.object({ kind: v.literal('absent') }),
    v.object({ kind: v.literal('unreadable') })
  ])
})

export function createStoredOrigins ({ store, peers, inputs, metrics, clock, logger }: StoredOriginsOptions): StoredOrigins {
  const self = peers.self.id
  const writer = createSegmentWriter({ store, name: stableHash(peers.self.incarnation).toString(NAME_RADIX), clock, logger, onWrite: metrics?.recordWrite })
  const reader = createSegmentReader({ store, clock, logger, inputs })

  /** Members in the order in which they write for this instance, until members change. */
  let ranked: readonly string[] | undefined
  peers.onMembersChanged(() => { ranked = undefined })
  const rankMembers = (): readonly string[] => {
    const ranking = rankHomeInstances(peers, 'stream-origin-writers')
    const count = Math.max(1, Math.ceil(ranking.length / MEMBERS_PER_WRITER))
    const own = stableHash(self) % count
    const writing = ranking.slice(0, count)
    return [...writing.slice(own), ...writing.slice(0, own), ...ranking.slice(count)]
  }
  const rankWriters = (): string[] => {
    ranked ??= rankMembers()
    return ranked.filter(member => member === self || peers.isConnected(member))
  }
  const writersToTry = (): string[] => [...new Set([...rankWriters().slice(0, MAX_WRITERS_TRIED), self])]
  const writeAt = async (member: string, records: readonly HashedRecord[], options: WriteOptions): Promise<WriteOutcome | undefined> => {
    if (member === self) return await writer.write(records, options)
    const timeoutMs = options.isUrgent ? URGENT_WRITE_TIMEOUT_MS : WRITE_TIMEOUT_MS
    const reply = await peers.call(member, writeCall, { groups: toGroups(records, clock.monotonic()), ...options }, { timeoutMs })
    if (reply.ok) return reply.val
    logger.debug('stream-origins-writer-failed', { member, records: records.length, reason: reply.val.kind })
    return undefined
  }
  const sender = createRecordSender({ writers: writersToTry, writeAt, onDropped: metrics?.recordDropped, clock, logger })
  const findAtPeer = async (hash: string): Promise<StoredLookup> => {
    const member = rankWriters().find(each => each !== self)
    if (member === undefined) return { kind: 'unreadable' }
    const reply = await peers.call(member, findCall, { hash }, { timeoutMs: FIND_TIMEOUT_MS })
    return reply.ok ? reply.val : { kind: 'unreadable' }
  }

  peers.serve(writeCall, ({ groups, isUrgent }) => writer.write(fromGroups(groups, clock.monotonic()), { isUrgent }))
  peers.serve(findCall, ({ hash }) => reader.find(hash))

  return {
    add: (records, options) => {
      const now = clock.monotonic()
      sender.add(records.map(({ key, service, softwareVersion, keepMs }) => ({ hash: hashOfStream(key), origin: { service, softwareVersion }, untilMs: now + keepMs })), options)
    },
    find: async key => {
      const hash = hashOfStream(key)
      const found = await reader.find(hash)
      return found.kind === 'unreadable' ? await findAtPeer(hash) : found
    }
  }
}
