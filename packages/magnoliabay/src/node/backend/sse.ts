/**
 * Scans an engine's event stream without decoding it: finds whole events, and checks that each is the next one of
 * the expected response. Checked events are passed on byte for byte.
 */

/** A longer event is treated as malformed: no event of a completion is that long. */
const MAX_EVENT_BYTES = 1_048_576
const EMPTY = Buffer.alloc(0)
const EVENT_END = Buffer.from('\n\n')
const DATA_FIELD = Buffer.from('data: ')
const DONE_DATA_LINE = Buffer.from('data: [DONE]')
const NEWLINE = 0x0a
const COLON = 0x3a
const DIGIT_ZERO = 0x30
const DIGIT_NINE = 0x39

/**
 * `foreign`: an event of another response. `doubled`: an event that was received before. `gap`: an event is missing.
 * `malformed`: an event that does not follow the published protocol.
 */
export type StreamProblem = 'foreign' | 'doubled' | 'gap' | 'malformed'

export interface ScanResult {
  /** Whole events of this response, in order; empty if the chunk completed none. */
  events: Buffer
  /** `events` contains the end mark. */
  isDone: boolean
  /** Why the data after `events` must not be passed on. */
  problem?: StreamProblem
}

export interface EventScanner {
  push (chunk: Buffer): ScanResult
  /** Index of the next expected event. */
  nextIndex (): number
  /** Data of the last event before the end mark. */
  lastData (): string
  /** Forgets an incomplete event, before a new connection continues the stream at the next expected event. */
  discardPartialEvent (): void
}

/** Scans the response to the request `requestId`. */
export function createEventScanner (requestId: string): EventScanner {
  const idField = Buffer.from(`id: ${requestId}:`)
  let partialEvent: Buffer = EMPTY
  let nextIndex = 0
  let lastEventData: Buffer = EMPTY

  /** Checks the event at [start, end) and returns the offset of its data field, or the problem found. */
  const findDataStart = (bytes: Buffer, start: number, end: number): number | StreamProblem => {
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
    if (index < nextIndex) return 'doubled'
    if (index > nextIndex) return 'gap'
    return at + 1
  }
  const isDoneAt = (bytes: Buffer, start: number, end: number): boolean =>
    end - start === DONE_DATA_LINE.length && bytes.compare(DONE_DATA_LINE, 0, DONE_DATA_LINE.length, start, end) === 0

  const scan = (bytes: Buffer): ScanResult => {
    let start = 0
    while (true) {
      const end = bytes.indexOf(EVENT_END, start)
      if (end < 0) break
      const nextStart = end + EVENT_END.length
      const isComment = bytes[start] === COLON
      const isDoneWithoutId = isDoneAt(bytes, start, end)
      if (!isComment && !isDoneWithoutId) {
        const dataStart = findDataStart(bytes, start, end)
        if (typeof dataStart === 'string') return stopWithProblem(bytes, start, dataStart)
        nextIndex += 1
        if (isDoneAt(bytes, dataStart, end)) return finish(bytes, nextStart)
        lastEventData = bytes.subarray(dataStart + DATA_FIELD.length, end)
      }
      if (isDoneWithoutId) return finish(bytes, nextStart)
      start = nextStart
    }
    partialEvent = bytes.subarray(start)
    if (partialEvent.length > MAX_EVENT_BYTES) return stopWithProblem(bytes, start, 'malformed')
    return { events: bytes.subarray(0, start), isDone: false }
  }
  const stopWithProblem = (bytes: Buffer, start: number, problem: StreamProblem): ScanResult => {
    partialEvent = EMPTY
    return { events: bytes.subarray(0, start), isDone: false, problem }
  }
  const finish = (bytes: Buffer, after: number): ScanResult => {
    partialEvent = EMPTY
    const rest = bytes.length > after ? { problem: 'doubled' as const } : {}
    return { events: bytes.subarray(0, after), isDone: true, ...rest }
  }
  return {
    push: chunk => scan(partialEvent.length === 0 ? chunk : Buffer.concat([partialEvent, chunk])),
    nextIndex: () => nextIndex,
    lastData: () => lastEventData.toString('utf8'),
    discardPartialEvent: () => { partialEvent = EMPTY }
  }
}

const ID_START = Buffer.from('id: ')
