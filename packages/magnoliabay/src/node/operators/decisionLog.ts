/**
 * The last decisions of this instance with their reasons, kept in memory for `explain`. It is fed by the
 * logger: whatever subsystem logs an event about a request, a model, a team or an order is explained.
 */
import type { Clock } from '../clock'
import type { LogFields, LogLevel, Logger } from '../logger'

export type SubjectKind = 'request' | 'model' | 'team' | 'order'
export const SUBJECT_KINDS: readonly SubjectKind[] = ['request', 'model', 'team', 'order']

export interface DecisionEvent {
  atMs: number
  instance: string
  event: string
  fields: LogFields
}

export interface DecisionLog {
  /** The same logger, with its events kept here as well, those below its level too. */
  wrapLogger (logger: Logger): Logger
  /** What is known about a subject, the oldest first. */
  about (kind: SubjectKind, id: string): DecisionEvent[]
}

export interface DecisionLogOptions {
  instance: string
  clock: Clock
  /** Events kept; some 300 bytes each. @default 5000 */
  capacity?: number
}

const DEFAULT_CAPACITY = 5000
/** An answer goes over a peer link: no more than this many, the newest ones. */
const MAX_EVENTS_TOLD = 200

export function createDecisionLog (options: DecisionLogOptions): DecisionLog {
  const capacity = options.capacity ?? DEFAULT_CAPACITY
  const ring: DecisionEvent[] = []
  let next = 0

  const keep = (event: string, fields: LogFields): void => {
    if (!SUBJECT_KINDS.some(kind => fields[kind] !== undefined)) return
    ring[next % capacity] = { atMs: options.clock.now(), instance: options.instance, event, fields }
    next += 1
  }
  const inOrder = (): DecisionEvent[] => next <= capacity ? ring : [...ring.slice(next % capacity), ...ring.slice(0, next % capacity)]
  const wrap = (logger: Logger, bound: LogFields): Logger => {
    const both = (level: LogLevel) => (event: string, fields: LogFields = {}): void => {
      keep(event, { ...bound, ...fields })
      logger[level](event, fields)
    }
    return {
      debug: both('debug'),
      info: both('info'),
      warn: both('warn'),
      error: both('error'),
      with: fields => wrap(logger.with(fields), { ...bound, ...fields })
    }
  }
  return {
    wrapLogger: logger => wrap(logger, {}),
    about: (kind, id) => {
      const own = inOrder().filter(({ fields }) => fields[kind] === id)
      return own.slice(-MAX_EVENTS_TOLD)
    }
  }
}
