/**
 * Structured logs: one line of key=value pairs for each event, by `tslog`.
 */
import { Logger as TsLogger } from 'tslog'

export type LogLevel = 'debug' | 'info' | 'warn' | 'error'
export type LogValue = string | number | boolean | undefined | readonly string[]
export type LogFields = Readonly<Record<string, LogValue>>

export interface Logger {
  debug (event: string, fields?: LogFields): void
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
  /** Returns a logger that adds `fields` to every event. */
  with (fields: LogFields): Logger
}

export interface LoggerOptions {
  /** Lowest level written. @default 'info' */
  level?: LogLevel
  /** Writes one line. @default to standard output */
  write?: (line: string, level: LogLevel) => void
  /** Fields added to every event. @default {} */
  fields?: LogFields
}

interface LogRecord {
  level: LogLevel
  event: string
  fields: LogFields
}

const TSLOG_LEVELS: Record<LogLevel, number> = { debug: 2, info: 3, warn: 4, error: 5 }
const BARE_VALUE = /^[^\s"=]+$/

/** Formats one value: without quotes if unambiguous, otherwise as a JSON string. */
export function formatLogValue (value: Exclude<LogValue, undefined>): string {
  const text = Array.isArray(value) ? value.join(',') : String(value)
  return BARE_VALUE.test(text) ? text : JSON.stringify(text)
}

/** Formats fields as `key=value` pairs; undefined fields are left out. */
export function formatLogFields (fields: LogFields): string {
  return Object.entries(fields)
    .filter((entry): entry is [string, Exclude<LogValue, undefined>] => entry[1] !== undefined)
    .map(([key, value]) => `${key}=${formatLogValue(value)}`)
    .join(' ')
}

/** Creates a logger whose lines read `time=… level=… event=… key=value …`. */
export function createLogger (options: LoggerOptions = {}): Logger {
  const write = options.write ?? ((line: string) => { process.stdout.write(`${line}\n`) })
  // No line contains its position in the code: finding it needs a stack trace, which takes far longer than writing the line.
  const backend = new TsLogger<LogRecord>({ type: 'hidden', hideLogPositionForProduction: true, minLevel: TSLOG_LEVELS[options.level ?? 'info'] })
  backend.attachTransport(entry => {
    const record = entry as unknown as LogRecord & { _meta: { date: Date } }
    const head = { time: record._meta.date.toISOString(), level: record.level, event: record.event }
    write(formatLogFields({ ...head, ...record.fields }), record.level)
  })
  return bindFields(backend, options.fields ?? {})
}

function bindFields (backend: TsLogger<LogRecord>, bound: LogFields): Logger {
  const emit = (level: LogLevel) => (event: string, fields: LogFields = {}): void => {
    backend.log(TSLOG_LEVELS[level], level, { level, event, fields: { ...bound, ...fields } })
  }
  return {
    debug: emit('debug'),
    info: emit('info'),
    warn: emit('warn'),
    error: emit('error'),
    with: fields => bindFields(backend, { ...bound, ...fields })
  }
}

/** Creates a logger that writes nothing, for tests. */
export function createSilentLogger (): Logger {
  return createLogger({ level: 'error', write: () => {} })
}
