/**
 * Follows an engine's event stream without decoding it: finds whole events, and checks that each is the
 * next one of this very answer. What has been checked is passed on as the bytes that came.
 */

/** An event longer than this is no event of a completion. */
const MAX_EVENT_BYTES = 1_048_576
const NOTHING = Buffer.alloc(0)
const EVENT_END = Buffer.from('\n\n')
const DATA_FIELD = Buffer.from('data: ')
const DONE_BLOCK = Buffer.from('data: [DONE]')
const NEWLINE = 0x0a
const COLON = 0x3a
const DIGIT_ZERO = 0x30
const DIGIT_NINE = 0x39

/**
 * `foreign`: part of another answer. `doubled`: an event that came before. `gap`: one is missing.
 * `malformed`: no event as published.
 */
export type StreamProblem = 'foreign' | 'doubled' | 'gap' | 'malformed'

export interface Scanned {
  /** Whole events of this answer, in order; empty if none was completed. */
  events: Buffer
  /** The end mark is among `events`. */
  isDone: boolean
  /** What came after `events` must not be passed on. */
  problem?: StreamProblem
}

export interface EventScanner {
  push (chunk: Buffer): Scanned
  /** Index of the event to come. */
  next (): number
  /** Data of the last event before the end mark. */
  lastData (): string
  /** A new connection continues the stream at the event to come; half an event from the old one is forgotten. */
  restart (): void
}

/** Follows the answer to `requestId`. */
export function createEventScanner (requestId: string): EventScanner {
  const idField = Buffer.from(`id: ${requestId}:`)
  let pending: Buffer = NOTHING
  let next = 0
  let last: Buffer = NOTHING

  /** Checks the event at [start, end) and returns where its data begins, or what is wrong with it. */
  const dataStartOf = (bytes: Buffer, start: number, end: number): number | StreamProblem => {
    if (bytes.compare(idField, 0, idField.length, start, Math.min(start + idField.length, end)) !== 0) {
      return bytes.subarray(start, start + 4).equals(ID_START) ? 'foreign' : 'malformed'
    }
    let at = start + idField.length
    let index = 0
    while (at < end && bytes[at]! >= DIGIT_ZERO && bytes[at]! <= DIGIT_NINE) {
      index = index * 10 + bytes[at]! - DIGIT_ZERO
      at += 1
    }
    if (bytes[at] !== NEWLINE || at === start + idField.length) return 'malformed'
    if (bytes.compare(DATA_FIELD, 0, DATA_FIELD.length, at + 1, Math.min(at + 1 + DATA_FIELD.length, end)) !== 0) return 'malformed'
    if (index < next) return 'doubled'
    if (index > next) return 'gap'
    return at + 1
  }
  const isDoneAt = (bytes: Buffer, start: number, end: number): boolean =>
    end - start === DONE_BLOCK.length && bytes.compare(DONE_BLOCK, 0, DONE_BLOCK.length, start, end) === 0

  const scan = (bytes: Buffer): Scanned => {
    let start = 0
    while (true) {
      const end = bytes.indexOf(EVENT_END, start)
      if (end < 0) break
      const after = end + EVENT_END.length
      const isComment = bytes[start] === COLON
      const isBareDone = isDoneAt(bytes, start, end)
      if (!isComment && !isBareDone) {
        const dataStart = dataStartOf(bytes, start, end)
        if (typeof dataStart === 'string') return stopAt(bytes, start, dataStart)
        next += 1
        if (isDoneAt(bytes, dataStart, end)) return doneAt(bytes, after)
        last = bytes.subarray(dataStart + DATA_FIELD.length, end)
      }
      if (isBareDone) return doneAt(bytes, after)
      start = after
    }
    pending = bytes.subarray(start)
    if (pending.length > MAX_EVENT_BYTES) return stopAt(bytes, start, 'malformed')
    return { events: bytes.subarray(0, start), isDone: false }
  }
  const stopAt = (bytes: Buffer, start: number, problem: StreamProblem): Scanned => {
    pending = NOTHING
    return { events: bytes.subarray(0, start), isDone: false, problem }
  }
  const doneAt = (bytes: Buffer, after: number): Scanned => {
    pending = NOTHING
    const rest = bytes.length > after ? { problem: 'doubled' as const } : {}
    return { events: bytes.subarray(0, after), isDone: true, ...rest }
  }
  return {
    push: chunk => scan(pending.length === 0 ? chunk : Buffer.concat([pending, chunk])),
    next: () => next,
    lastData: () => last.toString('utf8'),
    restart: () => { pending = NOTHING }
  }
}

const ID_START = Buffer.from('id: ')
