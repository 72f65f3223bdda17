/**
 * Watches exchanges with servers. When a server sends nothing for a while on direct connections, the path to it is checked,
 * and exchanges on a broken path are told, since their answers cannot arrive. Exchanges through another instance that shuts
 * down are told while there is time for another path, where there is one.
 */
import { inBackground } from '../background'
import { delayToNextPeriod } from '../clock'
import type { Clock } from '../clock'
import type { Forwarders } from './forwarders'
import type { ServerPaths } from './serverPaths'

/** A server with requests in flight that sends nothing for this long has its path checked, milliseconds. */
const CHECK_AFTER_SILENCE_MS = 1000
/** Interval at which silence is looked for while there are exchanges, milliseconds. */
const CHECK_INTERVAL_MS = 250

/**
 * An answer of which a part arrived so lately shows that its connection lives on, milliseconds: a path is found broken by new
 * connections that have failed for longer than this, one after the other. Where only new connections hang, streams on open
 * ones would be ended while their events arrive.
 */
const LIVE_MS = 500
/**
 * The same where a part has arrived since the path was found broken, milliseconds: the connection lives on, and a sound
 * server may be silent for a second or so.
 */
const LIVE_SILENCE_MS = 1500

/**
 * Time for which an exchange whose answer has not begun goes on through an instance that shuts down, milliseconds. Most
 * answers come earlier; at its end the instance cuts its connections, when callers have little time left.
 */
const LEAVING_FORWARDER_MS = 2000

export interface WatchedExchange {
  /** Records that the request goes out on a connection: through the instance `forwarder`, or directly. */
  recordSent (forwarder: string | undefined): void
  recordActivity (): void
  /** Records that a part of the body has arrived. */
  recordBegun (): void
  end (): void
}

export interface PathMonitor {
  /**
   * `onPathBroken`: called when the path of the exchange's direct connection has been found broken and its answer is silent, or
   * when the instance through which the connection goes shuts down, the answer has not begun, and the server is reached on
   * another path.
   */
  watch (address: string, onPathBroken: () => void): WatchedExchange
}

export interface PathMonitorOptions {
  paths: Pick<ServerPaths, 'isBroken' | 'onChanged'>
  forwarders: Pick<Forwarders, 'onLeaving'>
  /** Checks the path to a server. */
  check: (address: string) => void
  /** Returns whether a connection to a server can be made now. */
  isAccepting: (address: string) => Promise<boolean>
  clock: Clock
}

interface Exchange {
  address: string
  sentMs: number
  /** When something of its answer last arrived on a direct connection. */
  receivedMs: number | undefined
  onPathBroken: () => void
}

export function createPathMonitor ({ paths, forwarders, check, isAccepting, clock }: PathMonitorOptions): PathMonitor {
  const direct = new Set<Exchange>()
  /** Exchanges whose answers have not begun, with the instances through which they go. */
  const forwarded = new Map<Exchange, string>()
  /** Last activity on direct connections, by address. */
  const lastActivityMs = new Map<string, number>()
  let isChecking = false

  /** Tells an exchange on a broken path, once nothing more of its answer arrives. */
  const notifyOnceSilent = (exchange: Exchange, brokenMs: number): void => {
    if (!direct.has(exchange) || !paths.isBroken(exchange.address)) return
    const { receivedMs = -Infinity } = exchange
    const leftMs = receivedMs + (receivedMs > brokenMs ? LIVE_SILENCE_MS : LIVE_MS) - clock.monotonic()
    if (leftMs > 0) {
      clock.schedule(leftMs, () => notifyOnceSilent(exchange, brokenMs))
      return
    }
    direct.delete(exchange)
    exchange.onPathBroken()
  }
  paths.onChanged(({ address, isBroken, failure }) => {
    // Connections that are open live on while new ones are refused.
    if (!isBroken || failure !== 'silent') return
    ;[...direct].filter(exchange => address === undefined || exchange.address === address).forEach(exchange => notifyOnceSilent(exchange, clock.monotonic()))
  })
  /** Without another path the request would be refused, while its answer may still come through the instance that leaves. */
  const notifyIfReachable = async (address: string, exchanges: readonly Exchange[]): Promise<void> => {
    if (!await isAccepting(address)) return
    exchanges
      .filter(exchange => exchange.address === address && forwarded.delete(exchange))
      .forEach(exchange => exchange.onPathBroken())
  }
  const notifyForwarded = (exchanges: readonly Exchange[]): void => {
    const waiting = exchanges.filter(exchange => forwarded.has(exchange))
    new Set(waiting.map(({ address }) => address)).forEach(address => { inBackground('leave-forwarder', notifyIfReachable(address, waiting)) })
  }
  forwarders.onLeaving(forwarder => {
    const affected = [...forwarded].filter(([, through]) => through === forwarder).map(([exchange]) => exchange)
    if (affected.length > 0) clock.schedule(LEAVING_FORWARDER_MS, () => notifyForwarded(affected))
  })
  const isSilent = ({ address, sentMs }: Exchange): boolean =>
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
      const exchange: Exchange = { address, sentMs: clock.monotonic(), receivedMs: undefined, onPathBroken }
      return {
        recordSent: forwarder => {
          if (forwarder !== undefined) {
            forwarded.set(exchange, forwarder)
            return
          }
          exchange.sentMs = clock.monotonic()
          direct.add(exchange)
          scheduleCheck()
        },
        recordActivity: () => {
          if (!direct.has(exchange)) return
          exchange.receivedMs = clock.monotonic()
          lastActivityMs.set(address, exchange.receivedMs)
        },
        recordBegun: () => { forwarded.delete(exchange) },
        end: () => {
          direct.delete(exchange)
          forwarded.delete(exchange)
          if (!isInUse(address)) lastActivityMs.delete(address)
        }
      }
    }
  }
}
