/**
 * Watches the exchanges that use direct connections: when a server sends nothing for a while, the path to it is checked,
 * and exchanges on a broken path are told, since their answers cannot arrive.
 */
import { delayToNextPeriod } from '../clock'
import type { Clock } from '../clock'
import type { ServerPaths } from './serverPaths'

/** A server with requests in flight that sends nothing for this long has its path checked, milliseconds. */
const CHECK_AFTER_SILENCE_MS = 1000
/** Interval at which silence is looked for while there are exchanges, milliseconds. */
const CHECK_INTERVAL_MS = 250

export interface WatchedExchange {
  /** Records that the request goes out on a connection, direct or not. */
  recordSent (isDirect: boolean): void
  recordActivity (): void
  end (): void
}

export interface PathMonitor {
  /** `onPathBroken`: called when the path of the exchange's direct connection has been found broken and silent. */
  watch (address: string, onPathBroken: () => void): WatchedExchange
}

export interface PathMonitorOptions {
  paths: Pick<ServerPaths, 'onChanged'>
  /** Checks the path to a server. */
  check: (address: string) => void
  clock: Clock
}

interface DirectExchange {
  address: string
  sentMs: number
  onPathBroken: () => void
}

export function createPathMonitor ({ paths, check, clock }: PathMonitorOptions): PathMonitor {
  const direct = new Set<DirectExchange>()
  /** Last activity on direct connections, by address. */
  const lastActivityMs = new Map<string, number>()
  let isChecking = false

  paths.onChanged(({ address, isBroken, failure }) => {
    // Connections that are open live on while new ones are refused.
    if (!isBroken || failure !== 'silent') return
    const affected = [...direct].filter(exchange => address === undefined || exchange.address === address)
    affected.forEach(exchange => {
      direct.delete(exchange)
      exchange.onPathBroken()
    })
  })
  const isSilent = ({ address, sentMs }: DirectExchange): boolean =>
    clock.monotonic() - Math.max(sentMs, lastActivityMs.get(address) ?? -Infinity) >= CHECK_AFTER_SILENCE_MS
  /** Without exchanges in flight nothing runs. */
  const scheduleCheck = (): void => {
    if (isChecking || direct.size === 0) return
    isChecking = true
    clock.schedule(delayToNextPeriod(clock, CHECK_INTERVAL_MS), () => {
      isChecking = false
      new Set([...direct].filter(isSilent).map(({ address }) => address)).forEach(check)
      scheduleCheck()
    })
  }
  const isInUse = (address: string): boolean => [...direct].some(exchange => exchange.address === address)

  return {
    watch: (address, onPathBroken) => {
      const exchange: DirectExchange = { address, sentMs: clock.monotonic(), onPathBroken }
      return {
        recordSent: isDirect => {
          if (!isDirect) return
          exchange.sentMs = clock.monotonic()
          direct.add(exchange)
          scheduleCheck()
        },
        recordActivity: () => { if (direct.has(exchange)) lastActivityMs.set(address, clock.monotonic()) },
        end: () => {
          direct.delete(exchange)
          if (!isInUse(address)) lastActivityMs.delete(address)
        }
      }
    }
  }
}
