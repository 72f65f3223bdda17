/** Instances and engines in virtual time, with callers whose prompts share parts; some parts crash each engine that answers them. */
import { createRandom } from '@magnoliabay/standins'
import type { Clock } from '../../../clock'
import { createVirtualClock } from '../../../clock/virtual'
import { createVersionedFleet } from '../../versions/__tests__/support/versionedFleet'
import type { CallerStream, VersionedFleet, VersionedFleetOptions } from '../../versions/__tests__/support/versionedFleet'

/** Callers with the same parts, except for a last part of their own for each request. */
export interface CallerGroup {
  parts: readonly string[]
  /** Requests a second. */
  rate: number
  /** Key of the callers' team. @default none */
  key?: string
  /** Instances that they call. @default all */
  at?: readonly string[]
  /** Milliseconds. @default from the start */
  fromMs?: number
  /** Milliseconds. @default to the end */
  untilMs?: number
}

export interface PromptPartFleetOptions {
  /** @default six engines in three failure domains */
  engines?: VersionedFleetOptions['engines']
  /** @default 6 */
  instances?: number
  /** @default 1 */
  seed?: number
  /** @default '/resumable/1' */
  path?: string
  rig?: VersionedFleetOptions['rig']
  /** Options that need the clock. @default none */
  rigOf?: (clock: Clock) => NonNullable<VersionedFleetOptions['rig']>
}

interface Crash {
  atMs: number
  part: string | undefined
}

interface Arrival {
  atMs: number
  parts: readonly string[]
}

interface SentRequest {
  atMs: number
  parts: readonly string[]
  stream: CallerStream
}

export interface PromptPartFleet {
  fleet: VersionedFleet
  /** Each engine crashes as it begins to answer a prompt with one of these parts, from now on. */
  setCrashingParts (parts: readonly string[]): void
  /** Engines crash at the same moment, and are back after a while. */
  crash (...names: string[]): void
  /** Time from a request to its first event, from now on. */
  setFirstEventMs (ms: number): void
  /** All engines are replaced by others with this software version. */
  replaceEngines (softwareVersion: string): Promise<void>
  /** Sends requests of the groups, and lets time pass. */
  run (groups: readonly CallerGroup[], ms: number): Promise<void>
  /** When engines crashed on the part; on any if none is given. */
  crashTimesMs (part?: string): readonly number[]
  requests: readonly SentRequest[]
  /** Requests with the part that reached engines later than this time. */
  arrivalsAfter (part: string, ms: number): number
  /** Part of the requests with exactly these shared parts, sent within the time, that began at the first try; NaN without any. */
  beganShare (parts: readonly string[], fromMs: number, untilMs?: number): number
}

/** Time in which instances learn what others know, by the platform's rules, milliseconds. */
export const CONTACT_TIMEOUT_MS = 3000
const RESTART_MS = 2500
const LIST_LAG_MS = 300
const TICK_MS = 10
const MS_PER_SECOND = 1000
const ENGINES: VersionedFleetOptions['engines'] = { a1: 'v1', a2: 'v1', b1: 'v1', b2: 'v1', c1: 'v1', c2: 'v1' }

export function createPromptPartFleet ({ engines = ENGINES, instances, seed = 1, path, rig, rigOf }: PromptPartFleetOptions = {}): PromptPartFleet {
  const clock = createVirtualClock()
  const fleet = createVersionedFleet({ engines, instances, seed, path, hasDistinctPaths: true, rig: { retries: 10_000, clock, ...rig, ...rigOf?.(clock) } })
  const random = createRandom(seed + 1)
  const names = Object.keys(engines)
  const engineOf = (name: string): ReturnType<ReturnType<VersionedFleet['rig']>['engine']> => fleet.rig(fleet.live()[0]!).engine(name)
  const crashes: Crash[] = []
  const arrivals: Arrival[] = []
  const requests: SentRequest[] = []
  const { fakes } = fleet.rig(fleet.live()[0]!)
  let seenArrivals = 0
  let ownParts = 0

  names.forEach(name => {
    engineOf(name).onCrashed = part => {
      crashes.push({ atMs: clock.monotonic(), part })
      fleet.crashEngine(name, LIST_LAG_MS)
      clock.schedule(RESTART_MS, () => fleet.startEngine(name, softwareVersion ?? engines[name]!, LIST_LAG_MS))
    }
  })
  const recordArrivals = (): void => {
    fakes.reached.slice(seenArrivals).forEach(({ headers }) => arrivals.push({ atMs: clock.monotonic(), parts: (headers['x-magnoliabay-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0]!) }))
    seenArrivals = fakes.reached.length
  }
  let softwareVersion: string | undefined
  const send = ({ parts, key, at }: CallerGroup): void => {
    ownParts += 1
    const prefix = [...parts, `own${ownParts}`].map(part => `${part}:100`).join(',')
    const live = at ?? fleet.live()
    const stream = fleet.open(live[Math.floor(random() * live.length)]!, [], { 'x-magnoliabay-prompt-prefix': prefix, ...(key === undefined ? {} : { authorization: `Token ${key}` }) })
    requests.push({ atMs: clock.monotonic(), parts, stream })
  }
  return {
    fleet,
    crashTimesMs: part => crashes.filter(crash => part === undefined || crash.part === part).map(({ atMs }) => atMs),
    requests,
    setCrashingParts: parts => names.forEach(name => { engineOf(name).crashesOn = new Set(parts) }),
    crash: (...crashed) => crashed.forEach(name => engineOf(name).crash()),
    setFirstEventMs: ms => names.forEach(name => { engineOf(name).firstMs = ms }),
    replaceEngines: async version => {
      softwareVersion = version
      for (const name of names) {
        engineOf(name).crash()
        await fleet.advance(RESTART_MS + LIST_LAG_MS)
      }
    },
    run: async (groups, ms) => {
      for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
        groups
          .filter(({ fromMs = 0, untilMs = Infinity }) => passedMs >= fromMs && passedMs < untilMs)
          .filter(({ rate }) => random() < rate * TICK_MS / MS_PER_SECOND)
          .forEach(send)
        await fleet.advance(TICK_MS)
        recordArrivals()
      }
    },
    arrivalsAfter: (part, ms) => arrivals.filter(arrival => arrival.atMs > ms && arrival.parts.includes(part)).length,
    beganShare: (parts, fromMs, untilMs = Infinity) => {
      const sent = requests.filter(each => each.atMs >= fromMs && each.atMs < untilMs && each.parts.join() === parts.join())
      return sent.filter(({ stream }) => stream.tries[0]!.eventIds().length > 0).length / sent.length
    }
  }
}
