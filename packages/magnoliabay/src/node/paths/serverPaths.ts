/**
 * Keeps which backend servers this instance has no path to. A path is broken only by evidence from both sides: a
 * connection of this instance fails, another instance's succeeds, and this instance's fails again. What fails for
 * everybody says nothing about a path: the server is down, or silent for a moment.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { DialFailure } from './types'

/**
 * Connections have to succeed for this long before a partition counts as healed, milliseconds: requests of a link that
 * comes and goes would otherwise be sent into each of its gaps.
 */
const HEALED_AFTER_MS = 1000

/** `address`: undefined for the paths to all servers. */
export interface PathChange {
  address: string | undefined
  isBroken: boolean
  /** How connections fail; undefined for a path that works again. */
  failure: DialFailure | undefined
}

export interface ServerPaths {
  /** Whether this instance has no path to the server at this address, though others have. */
  isBroken (address: string): boolean
  /** Whether it has no path to any server. */
  isPartitioned (): boolean
  /** Addresses of servers whose broken paths were shown one by one. */
  broken (): readonly string[]
  /** Records that a direct connection was made. */
  recordConnected (address: string): void
  /** Records that direct connections fail while another instance reaches the server. */
  recordBroken (address: string, failure: DialFailure): void
  /** Records that beside a broken path no direct connection to any other server could be made. */
  recordPartition (failure: DialFailure): void
  /** Records that none of the servers that were tried in a partition could be reached. */
  recordNoneReached (): void
  forget (address: string): void
  onChanged (listener: (change: PathChange) => void): void
}

export interface ServerPathsOptions {
  clock: Clock
  logger: Logger
}

export function createServerPaths ({ clock, logger }: ServerPathsOptions): ServerPaths {
  const brokenPaths = new Set<string>()
  const listeners: Array<(change: PathChange) => void> = []
  let isPartitioned = false
  /** When direct connections began to succeed again in a partition. */
  let healingSinceMs: number | undefined

  const emit = (change: PathChange): void => listeners.forEach(listener => listener(change))
  const endPartition = (): void => {
    isPartitioned = false
    brokenPaths.clear()
    logger.warn('servers-reached-again', {})
    emit({ address: undefined, isBroken: false, failure: undefined })
  }
  const restore = (address: string): void => {
    if (!brokenPaths.delete(address)) return
    logger.info('path-restored', { address })
    emit({ address, isBroken: false, failure: undefined })
  }

  return {
    isBroken: address => isPartitioned || brokenPaths.has(address),
    isPartitioned: () => isPartitioned,
    broken: () => [...brokenPaths],
    recordConnected: address => {
      if (!isPartitioned) return restore(address)
      const now = clock.monotonic()
      healingSinceMs ??= now
      if (now - healingSinceMs >= HEALED_AFTER_MS) endPartition()
    },
    recordBroken: (address, failure) => {
      if (brokenPaths.has(address)) return
      brokenPaths.add(address)
      logger.info('path-broken', { address, failure })
      emit({ address, isBroken: true, failure })
    },
    recordPartition: failure => {
      if (isPartitioned) return
      isPartitioned = true
      healingSinceMs = undefined
      logger.warn('servers-unreached', { failure, brokenPaths: brokenPaths.size })
      emit({ address: undefined, isBroken: true, failure })
    },
    recordNoneReached: () => { healingSinceMs = undefined },
    forget: address => { brokenPaths.delete(address) },
    onChanged: listener => { listeners.push(listener) }
  }
}
