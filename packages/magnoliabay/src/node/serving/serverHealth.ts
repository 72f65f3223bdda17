/** What this instance has seen of each backend server: what it has there, what failed, how long it has been silent. */
import type { Clock } from '../clock'
import { createDecayingRate } from '../decayingRate'
import type { DecayingRate } from '../decayingRate'
import { addCount } from '../utils'

/** Failures fade within a few seconds, so that a server that recovered is used again. */
const FADE_MS = 4000
/** A server that has brought nothing for this long, though it has requests, is not given more. */
const SILENT_MS = 1500
/** A server to which no connection could be made, or that fell silent, is left alone for this long. */
const LEFT_ALONE_MS = 2500

export interface ServerHealth {
  noteStart (server: string, model: string): void
  noteEnd (server: string, model: string): void
  /** Anything came from the server. */
  noteHeard (server: string): void
  noteFailure (server: string): void
  noteUnreached (server: string): void
  inFlight (server: string): number
  inFlightOf (server: string, model: string): number
  inFlightByModel (): ReadonlyArray<{ server: string, model: string, count: number }>
  /** Failures a second, faded; 0 for a sound server. */
  failureRate (server: string): number
  isSilent (server: string): boolean
  forget (server: string): void
}

interface Seen {
  models: Map<string, number>
  failures: DecayingRate
  heardMs: number
  unreachedUntilMs: number
}

export function createServerHealth (clock: Clock): ServerHealth {
  const seen = new Map<string, Seen>()
  const of = (server: string): Seen => {
    const found = seen.get(server) ?? { models: new Map(), failures: createDecayingRate(FADE_MS), heardMs: clock.monotonic(), unreachedUntilMs: 0 }
    seen.set(server, found)
    return found
  }
  const count = (server: string): number => [...seen.get(server)?.models.values() ?? []].reduce((sum, each) => sum + each, 0)
  const add = (server: string, model: string, change: number): void => addCount(of(server).models, model, change)
  return {
    noteStart: (server, model) => {
      // Silence counts from the first request on: an idle server has nothing to say.
      if (count(server) === 0) of(server).heardMs = clock.monotonic()
      add(server, model, 1)
    },
    noteEnd: (server, model) => add(server, model, -1),
    noteHeard: server => {
      of(server).heardMs = clock.monotonic()
      of(server).unreachedUntilMs = 0
    },
    noteFailure: server => of(server).failures.add(1, clock.monotonic()),
    noteUnreached: server => { of(server).unreachedUntilMs = clock.monotonic() + LEFT_ALONE_MS },
    inFlight: count,
    inFlightOf: (server, model) => seen.get(server)?.models.get(model) ?? 0,
    inFlightByModel: () => [...seen].flatMap(([server, { models }]) => [...models].map(([model, each]) => ({ server, model, count: each }))),
    failureRate: server => seen.get(server)?.failures.read(clock.monotonic()) ?? 0,
    isSilent: server => {
      const found = seen.get(server)
      if (found === undefined) return false
      const now = clock.monotonic()
      if (count(server) > 0 && now - found.heardMs > SILENT_MS) found.unreachedUntilMs = now + LEFT_ALONE_MS
      return found.unreachedUntilMs > now
    },
    forget: server => { seen.delete(server) }
  }
}
