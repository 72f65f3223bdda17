/**
 * Traces a request through the log lines of any number of processes: finds the lines that name it, and those that show
 * the state known to the deciding process at that time.
 */
import { REFUSAL_REASON_DESCRIPTIONS } from './serving/refusalReasons'

export interface LogEntry {
  /** ISO 8601, by the wall clock of the process that wrote the line. */
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
  /** Description of the refusal reason; undefined for an answered request or if no line has a reason. */
  cause: string | undefined
  /** What is missing from the logs, and why. */
  gaps: readonly string[]
}

/** Age at the request's start above which an event is left out, milliseconds: older events rarely affect a request. */
const MAX_EVENT_AGE_MS = 10_000
const FIELD_PATTERN = /([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S+)/g

/** Events on the state of an instance or the fleet, with the fields by which they are related to a request. */
const RELATED_EVENT_FIELDS: Readonly<Record<string, readonly string[]>> = {
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
  'software-versions': ['instance'],
  'input-refused': ['server'],
  'task-fault': ['instance'],
  'server-listed': ['server'],
  'server-gone': ['server'],
  'server-lapsed': ['server'],
  'server-leaving': ['server']
}
/** Events on crashes and on what is blamed for them; they are related to a refusal for it, however long before. */
const CRASH_EVENTS: ReadonlySet<string> = new Set(['server-crashed', 'suspect-blamed', 'suspect-freed', 'suspect-trial'])
/** Events on the leader; they are related to every request that waits for a model. */
const LEADER_EVENTS = new Set(['orderer-won', 'orderer-begins', 'orderer-lost', 'orderer-resigned'])

/** Parses one line; returns undefined for a line in another format. */
export function parseLogLine (line: string): LogEntry | undefined {
  const fields = new Map([...line.matchAll(FIELD_PATTERN)].map(match => [match[1]!, unquote(match[2]!)]))
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

/** Finds the lines of the request `id`, the events related to it, and its cause. */
export function traceRequest (lines: readonly string[], id: string): Trace {
  const entries = lines.flatMap(line => parseLogLine(line) ?? []).sort((left, right) => left.time < right.time ? -1 : 1)
  const requestEntries = entries.filter(entry => entry.fields.get('request') === id)
  const streams = new Set(requestEntries.flatMap(entry => entry.fields.get('resumes') ?? entry.fields.get('stream') ?? []))
  const streamEntries = entries.filter(entry => entry.fields.get('request') !== id && isOfStream(entry, streams))
  const last = requestEntries.at(-1)
  const reason = last?.fields.get('reason')
  return {
    requestEntries,
    relatedEntries: requestEntries.length === 0 ? [] : entries.filter(entry => streamEntries.includes(entry) || isRelated(entry, requestEntries, streamEntries)),
    cause: reason === undefined ? undefined : (REFUSAL_REASON_DESCRIPTIONS as Readonly<Record<string, string>>)[reason],
    gaps: findGaps(entries, requestEntries, id)
  }
}

/** Whether a line belongs to the attempt that began the stream that the request resumes, or to another that resumed it. */
function isOfStream ({ fields }: LogEntry, streams: ReadonlySet<string>): boolean {
  return ['request', 'resumes', 'stream'].some(field => streams.has(fields.get(field) ?? ''))
}

/** `streamEntries`: lines of other attempts at the same stream; what happened to their instances and servers is related as well. */
function isRelated (entry: LogEntry, requestEntries: readonly LogEntry[], streamEntries: readonly LogEntry[]): boolean {
  const last = requestEntries.at(-1)!
  if (isCrashEvent(entry, last)) return true
  const tookMs = Number(last.fields.get('tookMs') ?? 0)
  const ageMs = Date.parse(last.time) - Date.parse(entry.time)
  if (ageMs < 0 || ageMs > tookMs + MAX_EVENT_AGE_MS) return false
  if (LEADER_EVENTS.has(entry.event)) return last.fields.has('model')
  const values = (field: string): Array<string | undefined> => [...requestEntries, ...streamEntries].map(each => each.fields.get(field))
  return (RELATED_EVENT_FIELDS[entry.event] ?? []).some(field => values(field).includes(entry.fields.get(field) ?? '\0'))
}

/** Whether the entry tells of a crash for which the request was refused, or of what was decided about its suspect. */
function isCrashEvent ({ event, fields, time }: LogEntry, last: LogEntry): boolean {
  const suspect = last.fields.get('suspect')
  if (suspect === undefined || !CRASH_EVENTS.has(event) || time > last.time) return false
  if (event !== 'server-crashed') return fields.get('suspect') === suspect
  const hasCrashed = (last.fields.get('crashed') ?? '').split(',').includes(fields.get('server') ?? '')
  return hasCrashed && (fields.get('suspects') ?? '').split(',').includes(suspect)
}

function findGaps (entries: readonly LogEntry[], requestEntries: readonly LogEntry[], id: string): string[] {
  if (requestEntries.length === 0) return [`No line names request ${id}: it reached no instance whose log was given, or its lines were left out.`]
  const ended = requestEntries.some(entry => entry.event === 'request-ended' || entry.event === 'request-refused')
  const instances = new Set(requestEntries.map(entry => entry.instance))
  const restarts = entries.filter(entry => entry.event === 'instance-started' && instances.has(entry.instance) && entry.time > requestEntries.at(-1)!.time)
  const leftOut = entries.some(entry => entry.event === 'log-lines-left-out')
  return [
    ...(ended ? [] : ['No line shows how the request ended.']),
    ...(!ended && restarts.length > 0 ? [`Instance ${restarts[0]!.instance} restarted at ${restarts[0]!.time}: the process that handled the request died.`] : []),
    ...(leftOut ? ['Some lines were left out to keep the log within its limits.'] : [])
  ]
}
