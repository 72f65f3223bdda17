/** Instances and engines of several software versions without a network, and callers that resume streams, in virtual time. */
import { createRandom } from '@magnoliabay/standins'
import type { VirtualClock } from '../../../../clock/virtual'
import { createStreamRig } from '../../../streams/__tests__/support/streamRig'
import type { StreamRig, StreamRigOptions } from '../../../streams/__tests__/support/streamRig'
import type { FakeCaller } from '../../../streams/__tests__/support/fakeResponse'

/** Tries of one caller, the first one included. */
const MAX_TRIES = 4
/** Time until a caller whose connection broke is back, milliseconds. */
const RETURN_DELAY_MS = 5
const TICK_MS = 5
/** Start of engines' processes, Unix milliseconds: that of the virtual clock. */
const BORN_MS = 1_700_000_000_000
const FAILURE_DOMAINS = ['a', 'b', 'c']

/** One stream over all tries of its caller. */
export interface CallerStream {
  readonly startedMs: number
  readonly tries: ReadonlyArray<FakeCaller & { id: string, at: string }>
  softwareVersions (): ReadonlySet<string>
  /** Ids of the events that the caller has, over all tries. */
  eventIds (): number[]
  /** Whether the caller has resumed it after at least one event. */
  isResumed (): boolean
  /** Whether it has gone on after its caller resumed it: another event has come, or its end. */
  hasContinued (): boolean
  isComplete (): boolean
  /** The caller's connection breaks, and it comes back elsewhere. */
  breakConnection (): void
}

export interface VersionedFleet {
  clock: VirtualClock
  rig (instance: string): StreamRig
  live (): readonly string[]
  streams: CallerStream[]
  /** Starts a stream at an instance; its caller resumes it at the instances in `next`, in order, then at random ones. */
  open (instance: string, next?: readonly string[], headers?: Record<string, string>): CallerStream
  /** Lets time pass while callers act. */
  advance (ms: number): Promise<void>
  kill (instance: string): void
  /** All instances are killed, one after the other with `gapMs` between, and start again after `downMs`. */
  restartAll (options: { downMs: number, gapMs?: number }): void
  start (instance: string): void
  /** An engine crashes; instances hear of it after up to `lagMs`, at random. */
  crashEngine (name: string, lagMs?: number): void
  /** Another process starts in the place of a crashed engine, under the same id; instances hear of it after up to `lagMs`. */
  startEngine (name: string, softwareVersion: string, lagMs?: number): void
  forEachRig (act: (rig: StreamRig) => void): void
}

export interface VersionedFleetOptions {
  /** Software versions of engines, by name; the first letter of a name is the failure domain. */
  engines: Readonly<Record<string, string>>
  /** Engines that do not run at the start. @default none */
  down?: readonly string[]
  /** @default 6 */
  instances?: number
  /** @default 1 */
  seed?: number
  /** @default '/resumable/1' */
  path?: string
  /** Whether no two requests have the same path. @default false */
  hasDistinctPaths?: boolean
  rig?: Partial<StreamRigOptions>
}

export const instanceAt = (index: number): string => `i${index}`

export function createVersionedFleet ({ engines, down: initiallyDown = [], instances = 6, seed = 1, path = '/resumable/1', hasDistinctPaths = false, rig: rigOptions = {} }: VersionedFleetOptions): VersionedFleet {
  const random = createRandom(seed)
  const rigs = new Map<string, StreamRig>()
  const streams: Array<CallerStream & { act: () => void }> = []
  /** Engines that have crashed and not been started again. */
  const down = new Set<string>(initiallyDown)
  let first: StreamRig | undefined

  const start = (instance: string): void => {
    const failureDomain = FAILURE_DOMAINS[Number(instance.slice(1)) % FAILURE_DOMAINS.length]!
    const rig = createStreamRig({
      engines: Object.fromEntries(Object.entries(engines).map(([name, softwareVersion]) => [name, { softwareVersion, bornMs: BORN_MS }])),
      retries: 100,
      random,
      ...rigOptions,
      beside: first,
      unlisted: down,
      instance,
      failureDomain
    })
    first ??= rig
    rigs.set(instance, rig)
  }
  Array.from({ length: instances }, (_, index) => start(instanceAt(index)))
  const { clock } = first!
  const live = (): string[] => [...rigs.keys()]
  const pickInstance = (): string => live()[Math.floor(random() * live().length)]!

  const open = (instance: string, next: readonly string[] = [], headers: Record<string, string> = {}): CallerStream => {
    const tries: Array<FakeCaller & { id: string, at: string }> = []
    const ownPath = hasDistinctPaths ? `${path}/${streams.length}` : path
    const followers = [...next]
    let backAtMs = Infinity
    const eventIds = (): number[] => tries.flatMap(each => each.eventIds())
    const send = (at: string): void => {
      const began = tries.find(each => each.eventIds().length > 0)
      const resumption: Record<string, string> = began === undefined ? {} : { resumes: began.id, 'last-event-id': String(eventIds().at(-1)) }
      tries.push({ ...rigs.get(at)!.call(ownPath, { ...headers, ...resumption }), at })
    }
    const isOver = (): boolean => {
      const last = tries.at(-1)!
      return last.end() === 'cut' || (last.end() === 'complete' && last.status() !== 200)
    }
    const stream: CallerStream & { act: () => void } = {
      startedMs: clock.monotonic(),
      tries,
      eventIds,
      softwareVersions: () => new Set(tries.flatMap(each => [...each.softwareVersions()])),
      isResumed: () => tries.length > 1 && tries.slice(0, -1).some(each => each.eventIds().length > 0),
      hasContinued: () => stream.isResumed() && tries.slice(tries.findIndex(each => each.eventIds().length > 0) + 1).some(each => each.status() === 200),
      isComplete: () => tries.at(-1)!.end() === 'complete' && tries.at(-1)!.status() === 200,
      breakConnection: () => tries.at(-1)!.leave(),
      act: () => {
        if (!isOver() || tries.length >= MAX_TRIES) return
        if (backAtMs === Infinity) backAtMs = clock.monotonic() + RETURN_DELAY_MS
        if (clock.monotonic() < backAtMs || live().length === 0) return
        backAtMs = Infinity
        const wanted = followers.shift()
        send(wanted !== undefined && rigs.has(wanted) ? wanted : pickInstance())
      }
    }
    streams.push(stream)
    send(instance)
    return stream
  }
  const tellAll = (lagMs: number, tell: (rig: StreamRig) => void): void => rigs.forEach(rig => { clock.schedule(Math.floor(random() * lagMs), () => tell(rig)) })
  const kill = (instance: string): void => {
    rigs.get(instance)?.stop()
    rigs.delete(instance)
    first!.network.kill(instance)
    streams.filter(stream => stream.tries.at(-1)!.at === instance && stream.tries.at(-1)!.end() === 'open').forEach(stream => stream.breakConnection())
  }
  const restartAll: VersionedFleet['restartAll'] = ({ downMs, gapMs = 0 }) => live().forEach((instance, index) => {
    clock.schedule(index * gapMs, () => kill(instance))
    clock.schedule(index * gapMs + downMs, () => start(instance))
  })
  const forEachRig = (act: (rig: StreamRig) => void): void => rigs.forEach(act)

  return {
    clock,
    streams,
    open,
    live,
    start,
    forEachRig,
    rig: instance => rigs.get(instance)!,
    advance: async ms => {
      for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
        await clock.advance(TICK_MS)
        streams.forEach(stream => stream.act())
      }
    },
    kill,
    restartAll,
    crashEngine: (name, lagMs = 0) => {
      down.add(name)
      first!.engine(name).crash()
      tellAll(lagMs, rig => { if (down.has(name)) rig.unlist(name) })
    },
    startEngine: (name, softwareVersion, lagMs = 0) => {
      if (!down.delete(name)) return
      first!.engine(name).restart(softwareVersion)
      tellAll(lagMs, rig => { if (!down.has(name)) rig.list(name) })
    }
  }
}
