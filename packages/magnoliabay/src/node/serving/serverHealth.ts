/** Tracks what this instance observes of each backend server: requests in flight, failures, and how long it has sent nothing. */
import type { Clock } from '../clock'
import type { PathChange } from '../paths'
import { createDecayingRate } from '../decayingRate'
import type { DecayingRate } from '../decayingRate'
import { addCount } from '../utils'
import { createEngineSpeeds } from './choice/engineSpeeds'
import type { EngineSpeeds } from './choice/engineSpeeds'
import { createServerRejections } from './choice/serverRejections'
import type { ServerRejections } from './choice/serverRejections'
import type { ServerList } from './serverList'
import { serverProcessId } from './types'

/** Failures decay within a few seconds, so that a server that has recovered is used again. */
const FAILURE_DECAY_MS = 4000
/** A server that has requests in flight but has sent nothing for this long gets no more requests. */
export const SILENCE_TIMEOUT_MS = 1500
/** A server that could not be connected to, or that stopped responding, is avoided for this long. */
const UNREACHABLE_AVOIDANCE_MS = 2500

export interface ServerHealth {
  /** Requests that servers rejected because they are full. */
  readonly rejections: ServerRejections
  /** Speeds of engines, as observed in the streams that this instance relays. */
  readonly speeds: EngineSpeeds
  recordStart (server: string, model: string): void
  recordEnd (server: string, model: string): void
  /** Records that the server has sent something. */
  recordActivity (server: string): void
  /** Records that this process pauses reading a response of the server, or ends that pause. */
  recordPause (server: string, isPaused: boolean): void
  recordFailure (server: string): void
  recordUnreachable (server: string): void
  inFlight (server: string): number
  inFlightOf (server: string, model: string): number
  inFlightByModel (): ReadonlyArray<{ server: string, model: string, count: number }>
  /** Failures per second, decayed; 0 for a server without failures. */
  failureRate (server: string): number
  isSilent (server: string): boolean
  /**
   * Whether the server is known to respond, or idle and not known otherwise. One that was silent may still be dead until it
   * sends something, and so may one that has sent nothing since it got the first of its requests in flight.
   */
  isResponding (server: string): boolean
  forget (server: string): void
}

interface ServerObservations {
  models: Map<string, number>
  /** Number of its responses that this process does not read for the moment. */
  paused: number
  failures: DecayingRate
  lastActivityMs: number
  avoidedUntilMs: number
  /** It was found silent or unreachable, and has sent nothing since. */
  isUnheard: boolean
  /** It has sent something since it was last without requests of this instance. */
  hasSentSinceIdle: boolean
}

export function createServerHealth (clock: Clock): ServerHealth {
  const observations = new Map<string, ServerObservations>()
  const observationsOf = (server: string): ServerObservations => {
    const found = observations.get(server) ?? { models: new Map(), paused: 0, failures: createDecayingRate(FAILURE_DECAY_MS), lastActivityMs: clock.monotonic(), avoidedUntilMs: 0, isUnheard: false, hasSentSinceIdle: false }
    observations.set(server, found)
    return found
  }
  const inFlightCount = (server: string): number => [...observations.get(server)?.models.values() ?? []].reduce((sum, each) => sum + each, 0)
  const addInFlight = (server: string, model: string, change: number): void => addCount(observationsOf(server).models, model, change)
  const avoid = (found: ServerObservations): void => {
    found.avoidedUntilMs = clock.monotonic() + UNREACHABLE_AVOIDANCE_MS
    found.isUnheard = true
  }
  const isSilent: ServerHealth['isSilent'] = server => {
    const found = observations.get(server)
    if (found === undefined) return false
    const now = clock.monotonic()
    if (inFlightCount(server) > 0 && found.paused === 0 && now - found.lastActivityMs > SILENCE_TIMEOUT_MS) avoid(found)
    return found.avoidedUntilMs > now
  }
  const rejections = createServerRejections({ clock })
  const speeds = createEngineSpeeds({ clock })
  return {
    rejections,
    speeds,
    recordStart: (server, model) => {
      // Silence is measured from the first request on: an idle server sends nothing.
      if (inFlightCount(server) === 0) {
        observationsOf(server).lastActivityMs = clock.monotonic()
        observationsOf(server).hasSentSinceIdle = false
      }
      addInFlight(server, model, 1)
    },
    recordEnd: (server, model) => addInFlight(server, model, -1),
    recordActivity: server => {
      Object.assign(observationsOf(server), { lastActivityMs: clock.monotonic(), avoidedUntilMs: 0, isUnheard: false, hasSentSinceIdle: true })
    },
    recordPause: (server, isPaused) => {
      const found = observationsOf(server)
      // The server may have been forgotten during the pause.
      found.paused = Math.max(0, found.paused + (isPaused ? 1 : -1))
      // Silence is measured anew: nothing showed during the pause whether the server sent anything.
      if (!isPaused) found.lastActivityMs = clock.monotonic()
    },
    recordFailure: server => observationsOf(server).failures.add(1, clock.monotonic()),
    recordUnreachable: server => avoid(observationsOf(server)),
    inFlight: inFlightCount,
    inFlightOf: (server, model) => observations.get(server)?.models.get(model) ?? 0,
    inFlightByModel: () => [...observations].flatMap(([server, { models }]) => [...models].map(([model, each]) => ({ server, model, count: each }))),
    failureRate: server => observations.get(server)?.failures.read(clock.monotonic()) ?? 0,
    isSilent,
    isResponding: server => {
      const found = observations.get(server)
      if (found === undefined) return true
      return !isSilent(server) && !found.isUnheard && (inFlightCount(server) === 0 || found.hasSentSinceIdle)
    },
    forget: server => {
      observations.delete(server)
      rejections.forget(server)
      speeds.forget(server)
    }
  }
}

/** A server whose path is broken answers other instances: that it was silent here does not count against it any more. */
export function recordReachedServers (servers: Pick<ServerList, 'all'>, health: Pick<ServerHealth, 'recordActivity'>, { address, isBroken }: PathChange): void {
  if (!isBroken) return
  servers.all()
    .filter(server => address === undefined || server.address === address)
    .forEach(server => health.recordActivity(serverProcessId(server)))
}
