/**
 * From the id of a request to its cause, over the log lines of any number of processes: its own lines, and those that
 * tell what the deciding process believed at the time.
 */
import { REFUSAL_REASON_DESCRIPTIONS } from './serving/refusalReasons'

export interface LogEntry {
  /** ISO 8601, as written by the process's time of day. */
  time: string
  event: string
  instance: string | undefined
  fields: ReadonlyMap<string, string>
  line: string
}

export interface Trace {
  /** Lines that name the request, in order of time. */
  requestEntries: readonly LogEntry[]
  /** Lines about its model, servers, team and instance shortly before its end. */
  relatedEntries: readonly LogEntry[]
  /** What the reason of its end means; undefined where it was answered or no line tells. */
  cause: string | undefined
  /** What the logs do not tell, and why. */
  gaps: readonly string[]
}

/** Believed things that are older than this at the request's start rarely decide it, milliseconds. */
const LOOK_BACK_MS = 10_000
const FIELD = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g

/** Events that tell what an instance or the fleet believed, by what ties them to a request. */
const TIES: Readonly<Record<string, readonly string[]>> = {
  'config-in-force': ['instance'],
  'store-lost': ['instance'],
  'store-reached': ['instance'],
  'log-lines-left-out': ['instance'],
  'instance-started': ['instance'],
  'instance-shutdown': ['instance'],
  'allowance-home': ['team'],
  'allowance-set': ['team'],
  'allowance-home-unreached': ['team'],
  'placement-step': ['model'],
  'order-sent': ['model'],
  'order-done': ['model'],
  'server-listed': ['server'],
  'server-gone': ['server'],
  'server-lapsed': ['server'],
  'server-leaving': ['server']
}
/** Events about who gives orders concern every request that waits for a model. */
const ORDERER_EVENTS = new Set(['orderer-won', 'orderer-begins', 'orderer-lost', 'orderer-resigned'])

/** Reads one line; undefined for one that is none of ours. */
export function parseLogLine (line: string): LogEntry | undefined {
  const fields = new Map([...line.matchAll(FIELD)].map(match => [match[1]!, unquote(match[2]!)]))
  const [time, event] = [fields.get('time'), fields.get('event')]
  if (time === undefined || event === undefined) return undefined
  return { time, event, instance: fields.get('instance'), fields, line }
}

function unquote (value: string): string {
  if (!value.startsWith('"')) return value
  try {
    return JSON.parse(value) as string
  } catch {
    return value.slice(1, -1)
  }
}

/** Traces the request `id`. */
export function traceRequest (lines: readonly string[], id: string): Trace {
  const entries = lines.flatMap(line => parseLogLine(line) ?? []).sort((left, right) => left.time < right.time ? -1 : 1)
  const own = entries.filter(entry => entry.fields.get('request') === id)
  const last = own.at(-1)
  const reason = last?.fields.get('reason')
  return {
    requestEntries: own,
    relatedEntries: own.length === 0 ? [] : entries.filter(entry => isAround(entry, own)),
    cause: reason === undefined ? undefined : (REFUSAL_REASON_DESCRIPTIONS as Readonly<Record<string, string>>)[reason],
    gaps: missingOf(entries, own, id)
  }
}

function isAround (entry: LogEntry, own: readonly LogEntry[]): boolean {
  const last = own.at(-1)!
  const tookMs = Number(last.fields.get('tookMs') ?? 0)
  const ageMs = Date.parse(last.time) - Date.parse(entry.time)
  if (ageMs < 0 || ageMs > tookMs + LOOK_BACK_MS) return false
  if (ORDERER_EVENTS.has(entry.event)) return last.fields.has('model')
  const values = (field: string): Array<string | undefined> => own.map(each => each.fields.get(field))
  return (TIES[entry.event] ?? []).some(field => values(field).includes(entry.fields.get(field) ?? '\0'))
}

function missingOf (entries: readonly LogEntry[], own: readonly LogEntry[], id: string): string[] {
  if (own.length === 0) return [`No line names request ${id}: it reached no instance whose log is here, or its lines were left out.`]
  const ended = own.some(entry => entry.event === 'request-ended' || entry.event === 'request-refused')
  const instances = new Set(own.map(entry => entry.instance))
  const died = entries.filter(entry => entry.event === 'instance-started' && instances.has(entry.instance) && entry.time > own.at(-1)!.time)
  const leftOut = entries.some(entry => entry.event === 'log-lines-left-out')
  return [
    ...(ended ? [] : ['No line tells how the request ended.']),
    ...(!ended && died.length > 0 ? [`Instance ${died[0]!.instance} started anew at ${died[0]!.time}: the process that had the request died.`] : []),
    ...(leftOut ? ['Some lines were left out to keep the log within its bounds.'] : [])
  ]
}
