/**
 * What happens to instances, engines and the store while all instances are killed: fixed cases, and plans drawn from a seed.
 * Times are milliseconds since the first stream began.
 */
import type { Random } from './random'

export type StoreTrouble = 'refuses' | 'silent' | 'slow' | 'rejects'

export type Step = { atMs: number } & (
  /** SIGKILL; the instances start again after `downMs`. */
  | { kind: 'kill', instances: readonly number[], downMs: number }
  /** Two engines start under new ids. */
  | { kind: 'add', version: string }
  /** Entries of all engines of the version are removed, or written again; the processes serve on. */
  | { kind: 'unlist' | 'relist', version: string }
  /** Engines of the version leave as announced. */
  | { kind: 'leave', version: string }
  /** Engines of the version crash, and come back under their ids at another version; their entries follow after `entryDelayMs`. */
  | { kind: 'return', version: string, as: string, entryDelayMs: number }
  /** The store fails the calls of these instances for a time. */
  | { kind: 'trouble', trouble: StoreTrouble, instances: readonly number[], forMs: number }
  /** The store is restored from a copy that is `ageMs` old. */
  | { kind: 'restore', ageMs: number }
  /** The wall clock of an instance is stepped. */
  | { kind: 'step-clock', instance: number }
)

export interface RestartPlan {
  name: string
  /** Versions that serve from the start, by two engines each. */
  versions: readonly string[]
  steps: readonly Step[]
  events: number
  /** When streams begin. */
  streamsAtMs: readonly number[]
  /** Times until callers are back after a failed try; one is drawn for each caller. */
  returnDelaysMs: readonly number[]
}

const KILL_MS = 4000
const DOWN_MS = 1000
const CASE_EVENTS = 150
const OLD_STREAMS = 30
const NEW_STREAMS = 20
const timesFrom = (fromMs: number, intervalMs: number, count: number): number[] => Array.from({ length: count }, (_, index) => fromMs + index * intervalMs)
const CASE_STREAMS_AT_MS = [...timesFrom(0, 80, OLD_STREAMS), ...timesFrom(KILL_MS + DOWN_MS + 1500, 300, NEW_STREAMS)]

const killInTurn = (count: number, atMs: number, apartMs: number, downMs: number): Step[] =>
  Array.from({ length: count }, (_, index) => ({ kind: 'kill', atMs: atMs + index * apartMs, instances: [index], downMs }))

/** Returns the cases in which streams of one version were refused, or joined with another version's. */
export function createFixedCases (count: number): RestartPlan[] {
  const all = Array.from({ length: count }, (_, index) => index)
  const kill: Step = { kind: 'kill', atMs: KILL_MS, instances: all, downMs: DOWN_MS }
  const inTurn = killInTurn(count, KILL_MS, 400, DOWN_MS)
  const both = ['v1', 'v2']
  const add = (atMs: number): Step => ({ kind: 'add', version: 'v2', atMs })
  const unlist = (atMs: number): Step => ({ kind: 'unlist', version: 'v1', atMs })
  const cases: ReadonlyArray<[name: string, versions: readonly string[], steps: readonly Step[]]> = [
    ['both', both, [kill]],
    ['both-killed-twice', both, [kill, { ...kill, atMs: KILL_MS + 4000 }]],
    ['both-killed-in-turn', both, inTurn],
    ['v2-before-kill', ['v1'], [add(KILL_MS - 300), kill]],
    ['v2-while-down', ['v1'], [kill, add(KILL_MS + 500)]],
    ['v2-at-start', ['v1'], [kill, add(KILL_MS + DOWN_MS)]],
    ['v1-away-and-back', both, [unlist(KILL_MS), kill, { kind: 'relist', version: 'v1', atMs: KILL_MS + 5500 }]],
    ['v1-removed-3-s-before', both, [unlist(KILL_MS - 3000), kill]],
    ['v1-removed-just-before', both, [unlist(KILL_MS - 150), kill]],
    ['v1-removed-while-down', both, [kill, unlist(KILL_MS + 500)]],
    ['v1-removed-killed-in-turn', both, [unlist(KILL_MS - 150), ...inTurn]],
    ['v1-replaced', ['v1'], [kill, unlist(KILL_MS + 400), add(KILL_MS + 500)]],
    ['one-version', ['v1'], [kill]],
    ['one-killed', both, [{ ...kill, instances: [0] }]]
  ]
  return cases.map(([name, versions, steps]) => ({ name, versions, steps, events: CASE_EVENTS, streamsAtMs: CASE_STREAMS_AT_MS, returnDelaysMs: [1500] }))
}

const SEED_STREAMS = 130
const SEED_STREAM_INTERVAL_MS = 180
const SEED_EVENTS = [70, 100, 150]
const TROUBLES: readonly StoreTrouble[] = ['refuses', 'silent', 'slow', 'rejects']

function drawKills (random: Random, count: number, atMs: number): Step[] {
  const all = Array.from({ length: count }, (_, index) => index)
  const downMs = 1000 + random.below(2000)
  const atOnce: Step = { kind: 'kill', atMs, instances: all, downMs }
  const series: ReadonlyArray<() => Step[]> = [
    () => [atOnce],
    () => [atOnce],
    () => killInTurn(count, atMs, 200 + random.below(700), downMs),
    () => [atOnce, { ...atOnce, atMs: atMs + downMs + 1500 + random.below(5000) }],
    () => [{ ...atOnce, instances: [random.below(count)] }]
  ]
  return random.pick(series)()
}

/** Draws a change of the versions that serve; one version at least is listed after it. */
function drawChange (random: Random, atMs: number, listed: string[], next: () => string): Step[] {
  const version = random.pick(listed)
  const replace = (): void => { listed.splice(listed.indexOf(version), 1) }
  const isLast = listed.length === 1
  const addNext = (): Step => {
    const added = next()
    listed.push(added)
    return { kind: 'add', atMs: atMs + random.below(1000), version: added }
  }
  const changes: ReadonlyArray<() => Step[]> = [
    () => [addNext()],
    () => {
      replace()
      return [{ kind: 'leave', atMs, version }, ...isLast ? [addNext()] : []]
    },
    () => {
      replace()
      return [{ kind: 'unlist', atMs, version }, ...isLast ? [addNext()] : []]
    },
    () => [{ kind: 'unlist', atMs, version }, { kind: 'relist', atMs: atMs + 500 + random.below(6000), version }],
    () => {
      replace()
      const as = next()
      listed.push(as)
      return [{ kind: 'return', atMs, version, as, entryDelayMs: random.below(1000) }]
    }
  ]
  return random.pick(changes)()
}

/** Draws a plan: kills, changes of versions at times around them, and trouble of the store and of clocks in half of the plans. */
export function drawPlan (seed: number, random: Random, count: number): RestartPlan {
  const versions = random.pick([['v1'], ['v1', 'v2'], ['v1', 'v2']])
  const killMs = 5000 + random.below(4000)
  const listed = [...versions]
  let known = versions.length
  const next = (): string => `v${++known}`
  const changes = timesFrom(killMs - 3000, 2200, random.below(4)).flatMap(atMs => drawChange(random, atMs + random.below(2200), listed, next))
  const trouble = random.pick(TROUBLES)
  const affected = Array.from({ length: count }, (_, index) => index).filter(() => trouble !== 'rejects' || random.next() < 0.5)
  const extras: readonly Step[] = [
    { kind: 'trouble', trouble, instances: affected, atMs: killMs - 3000 + random.below(6000), forMs: 1000 + random.below(4000) },
    { kind: 'restore', atMs: killMs - 1000 + random.below(5000), ageMs: 1000 + random.below(3000) },
    { kind: 'step-clock', instance: random.below(count), atMs: killMs + random.below(8000) }
  ]
  const troubles = extras.filter(() => random.next() < 0.25)
  return {
    name: `seed-${seed}`,
    versions,
    steps: [...drawKills(random, count, killMs), ...changes, ...troubles],
    events: random.pick(SEED_EVENTS),
    streamsAtMs: timesFrom(0, SEED_STREAM_INTERVAL_MS, SEED_STREAMS),
    returnDelaysMs: [50, 1200, 2500, 4000]
  }
}
