/**
 * Keeps where streams began, so that any instance can continue one that it never saw. The instance that relays a stream
 * records it with the first event. While the service's servers have several software versions, it also sends replicas of the
 * record to some other instances; the one at which the stream is resumed asks these. With one version nothing is sent.
 */
import * as v from 'valibot'
import { inBackground } from '../../background'
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import { NO_BODY, definePeerCall, rankHomeInstances } from '../../members'
import type { Peers } from '../../members'
import { stableHash } from '../../utils'
import type { PriorVersion } from './priorVersions'
import type { SoftwareVersions } from './softwareVersions'
import { NO_STORED_ORIGINS } from './storedOrigins'
import type { StoredOrigins } from './storedOrigins'
import type { VersionHistory } from './versionHistory'

/** Instances that get a record beside the one that relays the stream: three of nine may be killed at once, and it with them. */
const REPLICAS = 4
/** Instances that are asked, more than have a record: those ranked first may have joined since. */
const ASKED = 6
/** Streams with the same bucket have the same replica holders, which bounds the links of an instance in a fleet of hundreds. */
const BUCKETS = 32
/** Another instance replies within a round trip. */
const CALL_TIMEOUT_MS = 300
/** Records that an instance keeps, its own and those of others; the oldest are dropped first. */
const MAX_RECORDS = 20_000
/** Records after which those that have expired are dropped. */
const SWEEP_INTERVAL = 500
/** Records in one message: some tens of kilobytes. */
const MAX_RECORDS_PER_CALL = 500

/** The service and the software version of the server that sent a stream's first event. */
export interface StreamOrigin {
  service: string
  softwareVersion: string
}

export interface OriginRecord extends StreamOrigin {
  /** Names the stream, see {@link streamKey}. */
  key: string
  /** Time for which its caller may still resume the stream, milliseconds. */
  keepMs: number
}

/** A record of this instance's own. */
export interface OwnOriginRecord extends OriginRecord {
  /** Services of the stream's route, any of which may be asked to continue it. */
  services: readonly string[]
}

interface OriginQuery {
  key: string
  services: readonly string[]
  /** Versions of servers that were listed within this time are asked for, milliseconds. */
  withinMs: number
}

interface OriginReply {
  origin?: StreamOrigin
  /** Versions that the replying instance has seen, by service in the order of the query. */
  versions: ReadonlyArray<readonly string[]>
  /** Whether these are all versions that servers had within the time asked for. Instances of older programs do not state it. */
  isComplete?: boolean
  /** The version of each service before a further one was listed; empty if there is none, null if another instance has been lost since. */
  priors?: ReadonlyArray<string | null>
}

export interface FoundOrigin {
  /** Undefined if no instance that replied has a record. */
  origin: StreamOrigin | undefined
  /** Versions that the instances that replied have seen, by service in the order of the query. */
  versions: ReadonlyArray<ReadonlySet<string>>
  asked: number
  replied: number
  /** Whether an instance that replied knows all versions that servers had within the time asked for. */
  isComplete: boolean
  /** The prior versions that instances state, by service in the order of the query; null where one objects or does not say. */
  priors: ReadonlyArray<ReadonlySet<string | null>>
}

const recordCall = definePeerCall<{ records: readonly OriginRecord[] }, object>('serving.record-stream-origins', { req: v.object({ records: v.array(v.object({ service: v.string(), softwareVersion: v.string(), key: v.string(), keepMs: v.number() })) }), res: NO_BODY })
const findCall = definePeerCall<OriginQuery, OriginReply>('serving.find-stream-origin', {
  req: v.object({ key: v.string(), services: v.array(v.string()), withinMs: v.number() }),
  res: v.object({ origin: v.optional(v.object({ service: v.string(), softwareVersion: v.string() })), versions: v.array(v.array(v.string())), isComplete: v.optional(v.boolean()), priors: v.optional(v.array(v.nullable(v.string()))) })
})

/** Names a stream by its team and the client attempt that brought its first event: another team's streams cannot be named. */
export function streamKey (team: string | undefined, attemptId: string): string {
  return `${team ?? ''} ${attemptId}`
}

const NO_PRIOR = ''

function toStatedPrior (prior: PriorVersion): string | null {
  if (prior.kind === 'lost') return null
  return prior.kind === 'known' ? prior.softwareVersion : NO_PRIOR
}

export interface StreamOrigins {
  /** Records where a stream began that this instance relays. */
  record (record: OwnOriginRecord): void
  /** Returns the record of a stream if this instance has it. */
  find (key: string): StreamOrigin | undefined
  /** Asks the instances that may have a replica of the record. */
  ask (query: OriginQuery): Promise<FoundOrigin>
}

export interface StreamOriginsOptions {
  peers: Peers
  versions: Pick<SoftwareVersions, 'seenWithin' | 'onAdded'>
  history: Pick<VersionHistory, 'coversAll' | 'priorOf'>
  /** Where records outlive all instances. @default they are kept in memory only */
  stored?: Pick<StoredOrigins, 'add'>
  clock: Clock
  logger: Logger
}

interface KeptRecord extends StreamOrigin {
  /** Monotonic milliseconds. */
  untilMs: number
  /** Services of the stream's route if this instance relays the stream, and so sends the record to others. */
  services: readonly string[] | undefined
}

export function createStreamOrigins ({ peers, versions, history, stored = NO_STORED_ORIGINS, clock, logger }: StreamOriginsOptions): StreamOrigins {
  const self = peers.self.id
  const records = new Map<string, KeptRecord>()
  /** Other members in the order in which they hold replicas, by bucket, until members change. */
  const rankings = new Map<number, readonly string[]>()
  peers.onMembersChanged(() => rankings.clear())

  const bucketOf = (key: string): number => stableHash(key) % BUCKETS
  const rankingOf = (key: string): readonly string[] => {
    const bucket = bucketOf(key)
    const ranking = rankings.get(bucket) ?? spreadOverDomains(rankHomeInstances(peers, `stream-origins ${bucket}`).filter(member => member !== self))
    rankings.set(bucket, ranking)
    return ranking
  }
  /** Puts the first member of each failure domain first, so that the loss of one leaves others. */
  const spreadOverDomains = (ranking: readonly string[]): string[] => {
    const domains = new Map(peers.members().map(member => [member.id, member.failureDomain]))
    const isFirstOfDomain = (member: string, index: number): boolean => ranking.findIndex(other => domains.get(other) === domains.get(member)) === index
    return [...ranking.filter(isFirstOfDomain), ...ranking.filter((member, index) => !isFirstOfDomain(member, index))].slice(0, ASKED)
  }
  const replicaHoldersOf = (key: string): string[] => rankingOf(key).filter(peers.isConnected).slice(0, REPLICAS)

  const dropExpired = (): void => {
    const now = clock.monotonic()
    records.forEach(({ untilMs }, key) => { if (untilMs <= now) records.delete(key) })
    while (records.size >= MAX_RECORDS) records.delete(records.keys().next().value!)
  }
  let keptSinceSweep = 0
  const keep = ({ key, service, softwareVersion, keepMs }: OriginRecord, services: KeptRecord['services']): void => {
    keptSinceSweep += 1
    if (keptSinceSweep >= SWEEP_INTERVAL || records.size >= MAX_RECORDS) {
      keptSinceSweep = 0
      dropExpired()
    }
    records.set(key, { service, softwareVersion, untilMs: clock.monotonic() + keepMs, services })
  }
  const find = (key: string): StreamOrigin | undefined => {
    const found = records.get(key)
    if (found === undefined || found.untilMs <= clock.monotonic()) return undefined
    return { service: found.service, softwareVersion: found.softwareVersion }
  }
  const send = async (member: string, sent: readonly OriginRecord[]): Promise<void> => {
    const reply = await peers.call(member, recordCall, { records: sent }, { timeoutMs: CALL_TIMEOUT_MS })
    if (reply.err) logger.debug('stream-origins-not-kept', { member, records: sent.length, reason: reply.val.kind })
  }
  const sendAll = (member: string, sent: readonly OriginRecord[]): void => {
    for (let from = 0; from < sent.length; from += MAX_RECORDS_PER_CALL) inBackground('send-stream-origins', send(member, sent.slice(from, from + MAX_RECORDS_PER_CALL)))
  }
  const haveSeveralVersions = (services: readonly string[], withinMs: number): boolean => services.some(service => versions.seenWithin(service, withinMs).size > 1)
  /** Returns the records of streams that this instance relays or has relayed, that may still be resumed, and whose version matters. */
  const ownRecords = (): OwnOriginRecord[] => {
    const now = clock.monotonic()
    return [...records].flatMap(([key, { service, softwareVersion, untilMs, services }]) => {
      const keepMs = Math.round(untilMs - now)
      return services !== undefined && keepMs > 0 && haveSeveralVersions(services, keepMs) ? [{ key, service, softwareVersion, keepMs, services }] : []
    })
  }
  const toRecord = ({ key, service, softwareVersion, keepMs }: OwnOriginRecord): OriginRecord => ({ key, service, softwareVersion, keepMs })
  /** Sends own records to those of their replica holders that `receivers` selects. */
  const sendOwn = (receivers: (record: OwnOriginRecord, holders: readonly string[]) => readonly string[]): void => {
    const byMember = new Map<string, OriginRecord[]>()
    ownRecords().forEach(record => receivers(record, replicaHoldersOf(record.key)).forEach(member => {
      const sent = byMember.get(member) ?? []
      byMember.set(member, sent)
      sent.push(toRecord(record))
    }))
    byMember.forEach((sent, member) => sendAll(member, sent))
  }

  peers.serve(recordCall, ({ records: received }) => {
    received.forEach(record => keep(record, records.get(record.key)?.services))
    return {}
  })
  peers.serve(findCall, ({ key, services, withinMs }) => ({
    origin: find(key),
    versions: services.map(service => [...versions.seenWithin(service, withinMs)]),
    isComplete: history.coversAll(withinMs),
    priors: services.map(service => toStatedPrior(history.priorOf(service)))
  }))
  // Streams that began while there was one version: nobody else knows where.
  versions.onAdded(service => {
    sendOwn(({ services }, holders) => services.includes(service) ? holders : [])
    stored.add(ownRecords().filter(({ services }) => services.includes(service)).map(toRecord), { isUrgent: true })
  })
  // An instance that has restarted has lost its replicas, and one that was cut off has missed some.
  peers.onConnected(({ id }) => sendOwn((_record, holders) => holders.filter(holder => holder === id)))

  return {
    find,
    record: record => {
      keep(record, record.services)
      if (!haveSeveralVersions(record.services, record.keepMs)) return
      replicaHoldersOf(record.key).forEach(member => inBackground('send-origin', send(member, [toRecord(record)])))
      stored.add([toRecord(record)], { isUrgent: false })
    },
    ask: query => new Promise(resolve => {
      const members = rankingOf(query.key).filter(peers.isConnected)
      const seen = query.services.map(() => new Set<string>())
      const priors = query.services.map(() => new Set<string | null>())
      let replied = 0
      let isComplete = false
      let pending = members.length
      const settle = (origin: StreamOrigin | undefined): void => resolve({ origin, versions: seen, asked: members.length, replied, isComplete, priors })
      if (pending === 0) settle(undefined)
      const askMember = async (member: string): Promise<void> => {
        const reply = await peers.call(member, findCall, query, { timeoutMs: CALL_TIMEOUT_MS })
        pending -= 1
        if (reply.ok) {
          replied += 1
          isComplete ||= reply.val.isComplete === true
          priors.forEach((each, index) => {
            const prior = reply.val.priors?.[index] ?? null
            if (prior !== NO_PRIOR) each.add(prior)
          })
          reply.val.versions.forEach((each, index) => each.forEach(version => seen[index]?.add(version)))
          if (reply.val.origin !== undefined) settle(reply.val.origin)
        }
        if (pending === 0) settle(undefined)
      }
      members.forEach(member => inBackground('ask-member', askMember(member)))
    })
  }
}
