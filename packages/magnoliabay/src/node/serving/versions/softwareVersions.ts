/**
 * Keeps which software versions the servers of each service have had recently. What two versions write does not fit together,
 * so a stream goes on only at the version that began it; where all servers have had one version, any of them may take it.
 */
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import type { ServerList } from '../serverList'
import { serverProcessId } from '../types'
import type { BackendServer } from '../types'

/** Versions of servers that are no longer listed are kept for this long, milliseconds: longer than any stream may be resumed. */
const RETENTION_MS = 600_000
/** A server that crashed is back within some seconds, mostly at its version; after this time without one it is not expected, milliseconds. */
const RETURN_MS = 10_000
/** Stands for the version of servers that state none. */
export const UNSTATED_VERSION = ''

/**
 * `usable`: a listed server of the version takes requests. `absent`: none does, and one may come back. `gone`: all that were
 * there have left as they had announced, or a while ago.
 */
export type VersionAvailability = 'usable' | 'absent' | 'gone'

export interface SoftwareVersions {
  /** Versions of servers of the service that are listed, or were within this time, milliseconds. */
  seenWithin (service: string, withinMs: number): ReadonlySet<string>
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
      const seen = seenOf(service)
      if (seen.size < 2 || [...versions].every(version => before.get(service)?.has(version))) return
      logger.info('software-versions', { service, versions: [...seen.keys()] })
      listeners.forEach(listener => listener(service))
    })
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
