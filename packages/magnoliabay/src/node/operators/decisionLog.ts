/**
 * Keeps the latest decisions of this instance and their reasons in memory for `explain`. It records the events of the
 * logger that have a field `request`, `model`, `team`, `order`, `suspect` or `server`, whichever subsystem logs them.
 */
import type { Clock } from '../clock'
import type { LogFields, LogLevel, Logger } from '../logger'

export type SubjectKind = 'request' | 'model' | 'team' | 'order' | 'suspect' | 'server'
export const SUBJECT_KINDS: readonly SubjectKind[] = ['request', 'model', 'team', 'order', 'suspect', 'server']

export interface DecisionEvent {
  atMs: number
  instance: string
  event: string
  fields: LogFields
}

export interface DecisionLog {
  /** Returns a logger that also records its events here, including those below its level. */
  wrapLogger (logger: Logger): Logger
  /** Returns the events about a subject, oldest first. */
  eventsAbout (kind: SubjectKind, id: string): DecisionEvent[]
}

export interface DecisionLogOptions {
  instance: string
  clock: Clock
  /** Maximum number of events kept; each takes some 300 bytes. @default 5000 */
  capacity?: number
}

const DEFAULT_CAPACITY = 5000
/** Maximum number of events in a reply over a peer link; the newest ones are returned. */
const MAX_EVENTS_RETURNED = 200

/** Whether a crash may be due to the suspect, among others. */
const isListed = (suspects: LogFields[string], id: string): boolean => Array.isArray(suspects) && suspects.includes(id)

export function createDecisionLog (options: DecisionLogOptions): DecisionLog {
  const capacity = options.capacity ?? DEFAULT_CAPACITY
  const ringBuffer: DecisionEvent[] = []
  let next = 0

  const recordEvent = (event: string, fields: LogFields): void => {
    if (!SUBJECT_KINDS.some(kind => fields[kind] !== undefined) && fields.suspects === undefined) return
    ringBuffer[next % capacity] = { atMs: options.clock.now(), instance: options.instance, event, fields }
    next += 1
  }
  const eventsInOrder = (): DecisionEvent[] => next <= capacity ? ringBuffer : [...ringBuffer.slice(next % capacity), ...ringBuffer.slice(0, next % capacity)]
  const wrap = (logger: Logger, bound: LogFields): Logger => {
    const logAndRecord = (level: LogLevel) => (event: string, fields: LogFields = {}): void => {
      recordEvent(event, { ...bound, ...fields })
      logger[level](event, fields)
    }
    return {
      debug: logAndRecord('debug'),
      info: logAndRecord('info'),
      warn: logAndRecord('warn'),
      error: logAndRecord('error'),
      with: fields => wrap(logger.with(fields), { ...bound, ...fields })
    }
  }
  return {
    wrapLogger: logger => wrap(logger, {}),
    eventsAbout: (kind, id) => {
      const matching = eventsInOrder().filter(({ fields }) => fields[kind] === id || (kind === 'suspect' && isListed(fields.suspects, id)))
      return matching.slice(-MAX_EVENTS_RETURNED)
    }
  }
}
