/** Decides at which software versions a request may run: a stream goes on only at the version that sent its first event. */
import { inBackground } from '../../background'
import type { Logger } from '../../logger'
import type { RequestRun } from '../requestRun'
import type { Refusal } from '../refusal'
import type { ServerList } from '../serverList'
import { serverProcessId } from '../types'
import type { BackendServer, Service } from '../types'
import type { ProcessIdentity } from './processIdentity'
import { UNSTATED_VERSION, keepMsOf, versionOf } from './softwareVersions'
import type { SoftwareVersions } from './softwareVersions'
import { streamKey } from './streamOrigins'
import type { StoredLookup, StoredOrigins } from './storedOrigins'
import type { FoundOrigin, StreamOrigin, StreamOrigins } from './streamOrigins'
import type { VersionHistory } from './versionHistory'

/** A record that is still on its way to other instances arrives within this time, milliseconds. */
const RECORD_DELAY_MS = 150
/** After a restart of all, other instances start and are linked within this time of this one, milliseconds. */
const START_MS = 3000
/** Interval at which an instance that has just started asks others again that it does not reach yet, and how often, milliseconds. */
const ASK_AGAIN_INTERVAL_MS = 200
const MAX_ASKED_AGAIN = 5
/** Servers that a request asks at a time which process they are, those that have its model first. */
const MAX_VERIFIED = 3
/** Stated where a server of the version may be back soon, milliseconds. */
const VERSION_ABSENT_RETRY_AFTER_MS = 1000
/** Stated where the instances that may know the version were not reached, milliseconds: another instance may reach them. */
const UNREACHED_RETRY_AFTER_MS = 500

/**
 * How an instance knows where a stream began that its caller resumes. `record`: it has a record. `peer`: another instance has one.
 * `store`: the platform's store has one. `only-version`: all servers have had the same version. `prior-version`: nobody has a
 * record, so the stream began before a further version was listed. `none`: it does not know.
 */
export type OriginSource = 'record' | 'peer' | 'store' | 'only-version' | 'prior-version' | 'none'

export interface StreamVersions {
  /** Finds out where the stream began that the request resumes; returns a refusal if that stays unknown. */
  resolve (run: RequestRun): Promise<Refusal | undefined>
  /** Whether the request may run at the server. */
  mayServe (run: RequestRun, server: BackendServer): boolean
  /** Returns a refusal if no server of the stream's version takes requests. */
  refusalOf (run: RequestRun): Refusal | undefined
  /** Whether the memory of the request's run at one server may move to the other. */
  mayMove (run: RequestRun, source: BackendServer, target: BackendServer): boolean
  /** Whether the server that was chosen to continue a stream is the listed process; beside other versions it is asked. */
  isListedProcess (run: RequestRun, server: BackendServer): Promise<boolean>
  /** Asks servers of the stream's version that are not verified which process they are. */
  verifyServers (run: RequestRun): void
  /** Records the server that sent the first event of an attempt. */
  recordFirstEvent (run: RequestRun, server: BackendServer): void
  /** Records that a connection to the server broke, or was refused. */
  recordBreak (server: BackendServer): void
  /** Records that the server took a connection right after one broke. */
  recordAccepting (server: BackendServer): void
}

export interface StreamVersionsOptions {
  versions: SoftwareVersions
  history: Pick<VersionHistory, 'whenRead' | 'coversAll' | 'mayBegin' | 'priorOf'>
  origins: StreamOrigins
  /** Asked where neither this instance nor others have a record. */
  storedOrigins: Pick<StoredOrigins, 'find'>
  identity: ProcessIdentity
  servers: Pick<ServerList, 'usable'>
  /** Whether changes of the list of servers reach this instance. */
  isListCurrent: () => boolean
  /** Whether there are other instances. */
  hasPeers: () => boolean
  findService: (name: string) => Service | undefined
  pause: (ms: number) => Promise<void>
  logger: Logger
}

interface Resolution {
  origin: StreamOrigin | undefined
  source: OriginSource
  asked: number
  replied: number
}

export function createStreamVersions (options: StreamVersionsOptions): StreamVersions {
  const { versions, history, origins, storedOrigins, identity, servers, isListCurrent, hasPeers, findService, pause, logger } = options
  const usable = ({ admitted }: RequestRun): readonly BackendServer[] => servers.usable(admitted.service.name)

  const keepMs = ({ admitted }: RequestRun): number => keepMsOf(admitted.route)
  const keyOf = ({ admitted, caller }: RequestRun, attemptId: string): string => streamKey(admitted.team?.name, attemptId)
  const currentProcessOf = ({ server }: RequestRun): string | undefined => server === undefined ? undefined : serverProcessId(server)
  const servicesOf = ({ admitted }: RequestRun): string[] => admitted.route.services.map(({ service }) => service)
  /** Versions that servers have had, for each service of the route. */
  const seenBy = (run: RequestRun): Array<ReadonlySet<string>> => servicesOf(run).map(service => versions.seenWithin(service, keepMs(run)))
  const hasOneVersionEach = (seen: ReadonlyArray<ReadonlySet<string>>): boolean => seen.every(({ size }) => size <= 1)
  /** The version of the service's servers, where no service of the route has had more than one. */
  const onlyVersionOf = (run: RequestRun, seen: ReadonlyArray<ReadonlySet<string>>): StreamOrigin | undefined => {
    const service = run.admitted.service.name
    const [softwareVersion] = seen[servicesOf(run).indexOf(service)] ?? []
    return softwareVersion !== undefined && hasOneVersionEach(seen) ? { service, softwareVersion } : undefined
  }
  /** Whether this instance has seen all versions that servers had while a stream may have begun that is resumed now. */
  const hasSeenAll = (run: RequestRun): boolean => hasPeers() ? versions.observedMs() >= keepMs(run) && isListCurrent() : history.coversAll(keepMs(run))

  const resolveLocally = (run: RequestRun, key: string | undefined): Resolution | undefined => {
    const record = key === undefined ? undefined : origins.find(key)
    if (record !== undefined) return { origin: record, source: 'record', asked: 0, replied: 0 }
    const only = hasSeenAll(run) ? onlyVersionOf(run, seenBy(run)) : undefined
    return only === undefined ? undefined : { origin: only, source: 'only-version', asked: 0, replied: 0 }
  }
  /**
   * The version that the stream's service had before others, where all instances that may know of streams that began since have
   * replied, and none states another.
   */
  const priorVersionOf = (run: RequestRun, { asked, replied, priors }: FoundOrigin, seen: ReadonlyArray<ReadonlySet<string>>): StreamOrigin | undefined => {
    if (replied < asked || !isListCurrent()) return undefined
    const stated = servicesOf(run).map((service, index): ReadonlySet<string | null> => {
      if (seen[index]!.size <= 1) return seen[index]!
      const own = history.priorOf(service)
      if (own.kind === 'none') return priors[index]!
      return new Set([...priors[index]!, own.kind === 'lost' ? null : own.softwareVersion])
    })
    const service = run.admitted.service.name
    const [softwareVersion] = stated[servicesOf(run).indexOf(service)] ?? []
    const areCertain = stated.every(each => each.size === 1 && !each.has(null))
    return areCertain && softwareVersion !== undefined && softwareVersion !== null ? { service, softwareVersion } : undefined
  }
  const resolveWithPeers = async (run: RequestRun, key: string | undefined, findStored: () => Promise<StoredLookup>): Promise<Resolution> => {
    const found = await origins.ask({ key: key ?? '', services: servicesOf(run), withinMs: keepMs(run) })
    const { origin, asked, replied, isComplete } = found
    if (origin !== undefined) return { origin, source: 'peer', asked, replied }
    const seen = seenBy(run).map((each, index) => new Set([...each, ...found.versions[index] ?? []]))
    // An instance that is cut off may have missed versions, and one that has just started knows earlier ones by the history only.
    const mayConclude = (replied > 0 || isListCurrent()) && (isComplete || history.coversAll(keepMs(run)))
    const only = mayConclude ? onlyVersionOf(run, seen) : undefined
    if (only !== undefined) return { origin: only, source: 'only-version', asked, replied }
    if (key === undefined) return { origin: undefined, source: 'none', asked, replied }
    const stored = await findStored()
    if (stored.kind === 'found') return { origin: stored.origin, source: 'store', asked, replied }
    const prior = stored.kind === 'absent' ? priorVersionOf(run, found, seen) : undefined
    return { origin: prior, source: prior === undefined ? 'none' : 'prior-version', asked, replied }
  }
  /** Whether instances that do not reply yet may do so soon. */
  const mayReplySoon = ({ asked, replied }: Resolution): boolean => replied < asked && versions.observedMs() < START_MS
  const findOrigin = async (run: RequestRun, key: string | undefined): Promise<Resolution> => {
    if (!hasSeenAll(run)) await history.whenRead()
    let stored: Promise<StoredLookup> | undefined
    // Reads of the store are limited, so that each further one would make the caller wait.
    const findStored = (): Promise<StoredLookup> => {
      stored ??= storedOrigins.find(key ?? '')
      return stored
    }
    const resolve = async (): Promise<Resolution> => resolveLocally(run, key) ?? await resolveWithPeers(run, key, findStored)
    let resolution = await resolve()
    for (let asked = 0; asked < MAX_ASKED_AGAIN; asked += 1) {
      const isOver = resolution.origin !== undefined || key === undefined || resolution.asked === 0
      if (isOver || (asked > 0 && !mayReplySoon(resolution))) break
      await pause(asked === 0 ? RECORD_DELAY_MS : ASK_AGAIN_INTERVAL_MS)
      resolution = await resolve()
    }
    return resolution
  }
  const isUnstated = ({ softwareVersion }: StreamOrigin): boolean => softwareVersion === UNSTATED_VERSION
  /** The stream began at a version that is not known, so it may go on only where there has been no other. */
  const isSafeWithoutVersion = (run: RequestRun): boolean => hasOneVersionEach(seenBy(run))
  /** A stream stays at its service while its route leads there. */
  const setOrigin = (run: RequestRun, origin: StreamOrigin): void => {
    run.origin = origin
    const service = servicesOf(run).includes(origin.service) ? findService(origin.service) : undefined
    if (service !== undefined) run.admitted = { ...run.admitted, service }
  }
  /**
   * Whether the server may have another version than the list says. Where all have had one version, a list that is out of
   * date does not make each of them uncertain: streams could not go on while the store is away.
   */
  const isUncertain = (run: RequestRun, server: BackendServer): boolean =>
    isSafeWithoutVersion(run) ? !isListCurrent() && identity.hasBrokenLately(server) : identity.isUnverified(server)
  const mayServe: StreamVersions['mayServe'] = (run, server) => {
    const { origin } = run
    if (origin === undefined) return !run.admitted.route.isResumable || history.mayBegin(server)
    if (isUnstated(origin)) return isSafeWithoutVersion(run)
    return versionOf(server) === origin.softwareVersion && !isUncertain(run, server)
  }
  const recordOrigin = (run: RequestRun, origin: StreamOrigin): void => {
    const { attemptId, resumption } = run.caller
    const firstAttemptId = resumption === undefined ? attemptId : resumption.firstAttemptId
    if (run.admitted.route.isResumable && firstAttemptId !== undefined && firstAttemptId !== '') origins.record({ key: keyOf(run, firstAttemptId), ...origin, keepMs: keepMs(run), services: servicesOf(run) })
  }
  /** Beside other versions an entry that is late would name a wrong one, so the server itself says which process it is. */
  const isListedProcess = async (run: RequestRun, server: BackendServer): Promise<boolean> => {
    // Plain services have no reports.
    const answer = run.admitted.service.engine === undefined ? 'unanswered' : await identity.verify(server)
    return answer === 'same' || (answer === 'unanswered' && !identity.isUnverified(server))
  }
  const recordOnceVerified = async (run: RequestRun, server: BackendServer): Promise<void> => {
    const isListed = await isListedProcess(run, server)
    // While the stream's connection is open, the process that answers now is the one that began it.
    const isOpen = currentProcessOf(run) === serverProcessId(server) && run.attempt !== undefined
    if (!isListed || !isOpen) return
    run.origin = { service: server.service, softwareVersion: versionOf(server) }
    recordOrigin(run, run.origin)
  }

  return {
    mayServe,
    resolve: async run => {
      const { resumption } = run.caller
      if (resumption === undefined || run.events === undefined) return undefined
      const key = resumption.firstAttemptId === undefined ? undefined : keyOf(run, resumption.firstAttemptId)
      const { origin, source, asked, replied } = await findOrigin(run, key)
      logger.info('stream-version-resolved', {
        request: run.caller.attemptId,
        stream: resumption.firstAttemptId,
        lastEvent: resumption.lastEventId,
        softwareVersion: origin?.softwareVersion,
        source,
        versions: [...new Set(seenBy(run).flatMap(seen => [...seen]))],
        asked,
        replied
      })
      if (origin !== undefined) {
        setOrigin(run, origin)
        return undefined
      }
      const mayBeKnownElsewhere = replied < asked || asked === 0
      return { reason: 'stream-version-unknown', retryAfterMs: mayBeKnownElsewhere ? UNREACHED_RETRY_AFTER_MS : undefined }
    },
    refusalOf: run => {
      const { origin } = run
      if (origin === undefined) return undefined
      if (isUnstated(origin)) return isSafeWithoutVersion(run) ? undefined : { reason: 'stream-version-unknown' }
      const availability = versions.availabilityOf(run.admitted.service.name, origin.softwareVersion)
      if (availability === 'usable') return undefined
      // A list that is out of date may lack servers of the version.
      return availability === 'gone' && isListCurrent() ? { reason: 'stream-version-gone' } : { reason: 'stream-version-absent', retryAfterMs: VERSION_ABSENT_RETRY_AFTER_MS }
    },
    mayMove: (run, source, target) => versionOf(source) === versionOf(target) && !isUncertain(run, source) && !isUncertain(run, target),
    recordFirstEvent: (run, server) => {
      if (run.origin !== undefined && !isUnstated(run.origin)) return recordOrigin(run, run.origin)
      if (run.origin !== undefined || versionOf(server) === UNSTATED_VERSION) {
        run.origin ??= { service: server.service, softwareVersion: UNSTATED_VERSION }
        return
      }
      const isCertain = isSafeWithoutVersion(run) && !isUncertain(run, server)
      run.origin = { service: server.service, softwareVersion: isCertain ? versionOf(server) : UNSTATED_VERSION }
      if (isCertain) recordOrigin(run, run.origin)
      else if (!isSafeWithoutVersion(run)) inBackground('record-once-verified', recordOnceVerified(run, server))
    },
    isListedProcess: async (run, server) => run.origin === undefined || isSafeWithoutVersion(run) || await isListedProcess(run, server),
    verifyServers: run => {
      const { origin } = run
      if (origin === undefined || isUnstated(origin)) return
      const unverified = usable(run).filter(server => versionOf(server) === origin.softwareVersion && identity.isUnverified(server))
      const hasModel = (server: BackendServer): boolean => server.models.some(({ name }) => name === run.caller.model)
      ;[...unverified.filter(hasModel), ...unverified.filter(server => !hasModel(server))].slice(0, MAX_VERIFIED).forEach(server => inBackground('verify-identity', identity.verify(server)))
    },
    recordBreak: identity.recordBreak,
    recordAccepting: identity.recordAccepting
  }
}
