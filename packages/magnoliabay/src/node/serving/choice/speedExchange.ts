/**
 * Exchanges observations of the speeds of engines: instances report theirs, relays add them up, and the leader states the
 * result in its summary. One instance of many sees an engine only every half minute, so that its own observations are few.
 */
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import type { ServerLoad } from '../fleetMessages'
import { areSpeedsUneven } from './conditions'
import { createDecayingMean } from './decayingMean'
import type { DecayingMean } from './decayingMean'
import type { EngineSpeeds, SpeedSample } from './engineSpeeds'

/** Servers in one report; the observations of others are kept for the next one. */
export const MAX_REPORTED_SERVERS = 64
/** Averaging times of the speed and of a slowdown, milliseconds; observations arrive every half second. */
const SPEED_AVERAGE_MS = 6000
const SLOWDOWN_AVERAGE_MS = 400
/** Samples as which the assumption counts that an engine has the mean speed. */
const PRIOR_WEIGHT = 5
/** Speeds of engines with fewer samples do not show that speeds are uneven. */
const MIN_WEIGHT = 10
const MIN_SLOWDOWN_LOG = Math.log(1.5)
/** A new leader begins with the speeds of the last summary, as if it had this many samples of them. */
const INHERITED_WEIGHT = 50
/** Time without being asked for speeds after which an instance has not been the leader, milliseconds. */
const LEADER_PAUSE_MS = 2500
/** Shortest time between two log lines, milliseconds. */
const MIN_LOG_INTERVAL_MS = 1000
const HUNDREDTHS = 100
const TENTHS = 10

/** `slowed`: slower than usual at this moment. */
export type SpeedClass = 'fast' | 'usual' | 'slow' | 'slowed'

/** Speeds below the first bound are fast, and from the second one on slow. */
const MAX_FAST = 0.8
const MIN_SLOW = 1.25

export interface SpeedExchange {
  /** Adds the observations in the report of another instance. */
  add (samples: readonly SpeedSample[]): void
  /** Returns the observations to report, and discards them here; undefined if there are none. */
  take (): readonly SpeedSample[] | undefined
  /** Adds the speeds to the loads of a summary; called by the leader. */
  withSpeeds (loads: readonly ServerLoad[]): readonly ServerLoad[]
  /** Sets the speeds that a summary states; they count for `validMs`. */
  apply (loads: readonly ServerLoad[], validMs: number): void
  /** The speed of a server now: 1 is the mean, 2 takes twice as long. */
  speedOf (server: string): number
}

export interface SpeedExchangeOptions {
  speeds: EngineSpeeds
  clock: Clock
  logger: Logger
  /** Called with the ratio of the highest to the lowest known speed. */
  onSpread?: (ratio: number) => void
}

interface FleetSpeed {
  slow: DecayingMean
  fast: DecayingMean
}

interface CurrentSpeed {
  server: string
  usual: number
  now: number
}

const classOf = ({ usual, now }: CurrentSpeed): SpeedClass => {
  if (now > usual) return 'slowed'
  if (usual < MAX_FAST) return 'fast'
  return usual >= MIN_SLOW ? 'slow' : 'usual'
}

export function createSpeedExchange ({ speeds, clock, logger, onSpread = () => {} }: SpeedExchangeOptions): SpeedExchange {
  const collected = new Map<string, SpeedSample>()
  const fleet = new Map<string, FleetSpeed>()
  const classes = new Map<string, SpeedClass>()
  let lastCombinedMs = -Infinity
  let lastLoggedMs = -Infinity
  let isUneven = false

  const add = (samples: readonly SpeedSample[]): void => samples.forEach(({ server, logSum, count }) => {
    const known = collected.get(server)
    collected.set(server, { server, logSum: logSum + (known?.logSum ?? 0), count: count + (known?.count ?? 0) })
  })
  const fleetSpeedOf = (server: string): FleetSpeed => {
    const found = fleet.get(server) ?? { slow: createDecayingMean(SPEED_AVERAGE_MS), fast: createDecayingMean(SLOWDOWN_AVERAGE_MS) }
    fleet.set(server, found)
    return found
  }
  const inherit = (): void => {
    fleet.clear()
    speeds.shared().forEach((speed, server) => fleetSpeedOf(server).slow.add(Math.log(speed), INHERITED_WEIGHT, clock.monotonic()))
  }
  const combine = (): void => {
    const now = clock.monotonic()
    if (now - lastCombinedMs > LEADER_PAUSE_MS) inherit()
    lastCombinedMs = now
    add(speeds.takeSamples())
    collected.forEach(({ server, logSum, count }) => {
      const { slow, fast } = fleetSpeedOf(server)
      slow.add(logSum / HUNDREDTHS / count, count, now)
      fast.add(logSum / HUNDREDTHS / count, count, now)
    })
    collected.clear()
    // Servers without observations for a while, such as those that have ended.
    fleet.forEach(({ slow }, server) => { if (slow.weight(now) < 1) fleet.delete(server) })
  }
  /** Returns the speeds relative to their mean. */
  const currentSpeeds = (): CurrentSpeed[] => {
    const now = clock.monotonic()
    const logs = [...fleet].map(([server, { slow, fast }]) => {
      const usual = slow.read(0, PRIOR_WEIGHT)
      fast.weight(now)
      return { server, usual, fast: fast.read(usual, PRIOR_WEIGHT) }
    })
    const mean = logs.reduce((sum, { usual }) => sum + usual, 0) / Math.max(1, logs.length)
    return logs.map(({ server, usual, fast }) => ({
      server,
      usual: Math.exp(usual - mean),
      now: Math.exp((fast - usual >= MIN_SLOWDOWN_LOG ? fast : usual) - mean)
    }))
  }
  /** Logs the servers whose class has changed since the last line. */
  const logChanges = (current: readonly CurrentSpeed[]): void => {
    if (clock.monotonic() - lastLoggedMs < MIN_LOG_INTERVAL_MS) return
    const changed = current.filter(each => (classes.get(each.server) ?? 'usual') !== classOf(each))
    classes.clear()
    current.forEach(each => classes.set(each.server, classOf(each)))
    const first = changed[0]
    if (first === undefined) return
    lastLoggedMs = clock.monotonic()
    logger.info('server-speed', { server: first.server, class: classOf(first), speed: first.now.toFixed(1), usual: first.usual.toFixed(1), changed: changed.length, known: current.length })
  }

  return {
    add,
    take: () => {
      add(speeds.takeSamples())
      if (collected.size === 0) return undefined
      const taken = [...collected.values()].sort((left, right) => right.count - left.count).slice(0, MAX_REPORTED_SERVERS)
      taken.forEach(({ server }) => collected.delete(server))
      return taken
    },
    withSpeeds: loads => {
      combine()
      const current = currentSpeeds()
      const known = current.filter(({ server }) => fleet.get(server)!.slow.weight(clock.monotonic()) >= MIN_WEIGHT).map(({ usual }) => usual)
      isUneven = areSpeedsUneven(known)
      onSpread(known.length === 0 ? 1 : Math.max(...known) / Math.min(...known))
      if (!isUneven) return loads
      logChanges(current)
      const tenths = new Map(current.map(({ server, now }) => [server, Math.max(1, Math.round(now * TENTHS))]))
      const counts = new Map(loads.map(({ server, count }) => [server, count]))
      const unused = [...tenths.keys()].filter(server => !counts.has(server)).map(server => ({ server, count: 0 }))
      return [...loads, ...unused].map(load => {
        const speed = tenths.get(load.server) ?? TENTHS
        return speed === TENTHS ? load : { ...load, speed }
      })
    },
    apply: (loads, validMs) => speeds.setShared(new Map(loads.filter(({ speed }) => speed !== undefined).map(({ server, speed }) => [server, speed! / TENTHS])), validMs),
    speedOf: speeds.speedOf
  }
}
