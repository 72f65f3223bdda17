/**
 * What happens to instances, engines and the store while all instances are killed.
 * Times are milliseconds since the first stream began.
 */
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
