/**
 * Keeps the version that each service had before a further one was listed. Streams that no instance and no record names began
 * before that, so they began at that version.
 */
import type { Clock } from '../../clock'
import type { ServiceVersion, SoftwareVersions } from './softwareVersions'

/**
 * `known`: streams that nobody has a record of began at this version. `lost`: an instance has been lost since the further version
 * was listed, and may have begun streams there. `none`: there is no such version.
 */
export type PriorVersion = { kind: 'known', softwareVersion: string } | { kind: 'lost' } | { kind: 'none' }

export interface PriorVersions {
  /** Called once with the versions that the history had when it was first read, and when this instance started, monotonic milliseconds. */
  begin (earlier: readonly ServiceVersion[], startedMs: number): void
  /** Takes over changes of the versions that are listed. */
  update (): void
  of (service: string): PriorVersion
}

export interface PriorVersionsOptions {
  versions: Pick<SoftwareVersions, 'all' | 'seenWithin'>
  /** Longest time for which a stream may be resumed, milliseconds. */
  longestKeepMs: () => number
  /** Whether this instance knows all versions for that time, and nothing speaks against it. */
  isCertain: () => boolean
  /** Whether instances have been lost since this time, monotonic milliseconds. */
  lostSince: (sinceMs: number) => boolean
  clock: Clock
}

interface Prior {
  softwareVersion: string
  /** When a further version was first listed, monotonic milliseconds. */
  sinceMs: number
}

/** A history that is read later than this after the start names versions that were first listed since, milliseconds. */
const MAX_FIRST_READ_MS = 5000

export function createPriorVersions ({ versions, longestKeepMs, isCertain, lostSince, clock }: PriorVersionsOptions): PriorVersions {
  /** Versions at the last update, by service. */
  const known = new Map<string, ReadonlySet<string>>()
  const priors = new Map<string, Prior>()

  const updateService = (service: string, sinceMs: number): void => {
    const now = versions.seenWithin(service, longestKeepMs())
    const before = [...known.get(service) ?? []].filter(version => now.has(version))
    const hasAdded = now.size > before.length
    known.set(service, now)
    if (!hasAdded || before.length > 1) return
    const [softwareVersion] = before
    if (softwareVersion === undefined || !isCertain()) priors.delete(service)
    else priors.set(service, { softwareVersion, sinceMs })
  }
  const updateAll = (sinceMs: number): void => new Set(versions.all().map(({ service }) => service)).forEach(service => updateService(service, sinceMs))

  return {
    begin: (earlier, startedMs) => {
      const isPrompt = clock.monotonic() - startedMs <= MAX_FIRST_READ_MS
      if (isPrompt) earlier.forEach(({ service, softwareVersion }) => known.set(service, new Set([...known.get(service) ?? [], softwareVersion])))
      updateAll(startedMs)
      if (!isPrompt) priors.clear()
    },
    update: () => updateAll(clock.monotonic()),
    of: service => {
      const prior = priors.get(service)
      if (prior === undefined || clock.monotonic() - prior.sinceMs > longestKeepMs()) return { kind: 'none' }
      return lostSince(prior.sinceMs) ? { kind: 'lost' } : { kind: 'known', softwareVersion: prior.softwareVersion }
    }
  }
}
