/**
 * Keeps which software versions the servers of each service have had recently. What two versions write does not fit together,
 * so a stream goes on only at the version that began it; where all servers have had one version, any of them may take it.
 */
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import type { ServerList } from '../serverList'
import { serverProcessId } from '../types'
import type { BackendServer, Route } from '../types'

/** Versions of servers that are no longer listed are kept for this long, milliseconds: longer than any stream may be resumed. */
const RETENTION_MS = 600_000
/** A server that crashed is back within some seconds, mostly at its version; after this time without one it is not expected, milliseconds. */
export const RETURN_MS = 10_000
/** Time after its route's timeout for which a caller may resume a stream, milliseconds. */
const RESUME_MS = 30_000
/** Stands for the version of servers that state none. */
export const UNSTATED_VERSION = ''

/**
 * `usable`: a listed server of the version takes requests. `absent`: none does, and one may come back. `gone`: all that were
 * there have left as they had announced, or a while ago.
 */
export type VersionAvailability = 'usable' | 'absent' | 'gone'

export interface ServiceVersion {
  service: string
  softwareVersion: string
}

/** A version that servers have, or have had lately. */
export interface KnownVersion extends ServiceVersion {
  isListed: boolean
  /** Time since a server of the version was last listed, milliseconds; 0 while one is. */
  unlistedMs: number
}

export interface SoftwareVersions {
  /** Versions of servers of the service that are listed, or were within this time, milliseconds. */
  seenWithin (service: string, withinMs: number): ReadonlySet<string>
  /** All versions that are listed or have been lately. */
  all (): readonly KnownVersion[]
  /** Adds versions that servers had before this instance started, as if they had been listed until now. */
  addEarlier (earlier: readonly ServiceVersion[]): void
  /** Time for which this instance has known the list of servers, milliseconds. */
  observedMs (): number
  availabilityOf (service: string, version: string): VersionAvailability
  /** The listener is called with a service that has got a further version. */
  onAdded (listener: (service: string) => void): void
}

export interface SoftwareVersionsOptions {
  servers: Pick<ServerList, 'all' | 'usable' | 'leaving' | 'isKnown' | 'onChanged'>
  clock: Clock
  logger: Logger
}

interface SeenVersion {
  isListed: boolean
  /** When a server of the version was last listed, monotonic milliseconds. */
  lastListedMs: number
  /** Whether all servers of the version that were last listed were leaving. */
  wasLeaving: boolean
}

/** Time for which a stream of the route may be resumed after its first event, milliseconds. */
export const keepMsOf = ({ timeoutMs }: Pick<Route, 'timeoutMs'>): number => timeoutMs + RESUME_MS

export const versionOf = ({ softwareVersion }: Pick<BackendServer, 'softwareVersion'>): string => softwareVersion ?? UNSTATED_VERSION

export function createSoftwareVersions ({ servers, clock, logger }: SoftwareVersionsOptions): SoftwareVersions {
  const seenByService = new Map<string, Map<string, SeenVersion>>()
  const listeners: Array<(service: string) => void> = []
  let knownSinceMs: number | undefined

  const seenOf = (service: string): Map<string, SeenVersion> => {
    const found = seenByService.get(service) ?? new Map<string, SeenVersion>()
    seenByService.set(service, found)
    return found
  }
  const unlistAll = (): void => {
    const now = clock.monotonic()
    seenByService.forEach(seen => seen.forEach((each, version) => {
      if (each.isListed) seen.set(version, { ...each, isListed: false, lastListedMs: now })
      else if (now - each.lastListedMs > RETENTION_MS) seen.delete(version)
    }))
  }
  const list = (server: BackendServer, isLeaving: boolean): void => {
    const seen = seenOf(server.service)
    const known = seen.get(versionOf(server))
    seen.set(versionOf(server), { isListed: true, lastListedMs: clock.monotonic(), wasLeaving: isLeaving && (known?.isListed !== true || known.wasLeaving) })
  }
  const listedVersions = (): Map<string, ReadonlySet<string>> =>
    new Map([...seenByService].map(([service, seen]) => [service, new Set([...seen].filter(([, { isListed }]) => isListed).map(([version]) => version))]))
  const update = (): void => {
    if (!servers.isKnown()) return
    knownSinceMs ??= clock.monotonic()
    const before = listedVersions()
    const leaving = new Set(servers.leaving())
    unlistAll()
    servers.all().forEach(server => list(server, leaving.has(serverProcessId(server))))
    listedVersions().forEach((versions, service) => {
      if ([...versions].some(version => before.get(service)?.has(version) !== true)) notifyAdded(service)
    })
  }
  const notifyAdded = (service: string): void => {
    const seen = seenOf(service)
    if (seen.size < 2) return
    logger.info('software-versions', { service, versions: [...seen.keys()] })
    listeners.forEach(listener => listener(service))
  }
  const observedMs = (): number => knownSinceMs === undefined ? 0 : clock.monotonic() - knownSinceMs
  servers.onChanged(update)
  update()

  return {
    seenWithin: (service, withinMs) => {
      const now = clock.monotonic()
      const recent = [...seenByService.get(service) ?? []].filter(([, { isListed, lastListedMs }]) => isListed || now - lastListedMs < withinMs)
      return new Set(recent.map(([version]) => version))
    },
    all: () => [...seenByService].flatMap(([service, seen]) => [...seen].map(([softwareVersion, { isListed, lastListedMs }]) =>
      ({ service, softwareVersion, isListed, unlistedMs: isListed ? 0 : clock.monotonic() - lastListedMs }))),
    addEarlier: earlier => {
      const added = earlier.filter(({ service, softwareVersion }) => !seenOf(service).has(softwareVersion))
      added.forEach(({ service, softwareVersion }) => seenOf(service).set(softwareVersion, { isListed: false, lastListedMs: clock.monotonic(), wasLeaving: false }))
      new Set(added.map(({ service }) => service)).forEach(notifyAdded)
    },
    observedMs,
    availabilityOf: (service, version) => {
      if (servers.usable(service).some(server => versionOf(server) === version)) return 'usable'
      const seen = seenByService.get(service)?.get(version)
      // An instance that has just started has not seen what crashed before.
      if (seen === undefined) return observedMs() < RETURN_MS ? 'absent' : 'gone'
      if (seen.wasLeaving) return 'gone'
      return seen.isListed || clock.monotonic() - seen.lastListedMs < RETURN_MS ? 'absent' : 'gone'
    },
    onAdded: listener => { listeners.push(listener) }
  }
}
