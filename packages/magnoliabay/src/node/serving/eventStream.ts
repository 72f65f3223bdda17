/**
 * Checks an event stream while it is relayed: forwards complete events only, and detects events out of order. A server
 * may break off within an event, or append bytes of another response. Part of an event that was already forwarded could
 * not be withdrawn when another server resumes the stream.
 */

/** Longest event that is not treated as malformed, bytes. */
const MAX_EVENT_BYTES = 1_048_576
const EVENT_END = Buffer.from('\n\n')
const ID_LINE = /^id: ?(\d+)$/m

/**
 * `doubled`: the event was forwarded before. `gap`: an event is missing after a resumption. `malformed`: the bytes are
 * not an event.
 */
export type StreamProblem = 'doubled' | 'gap' | 'malformed'

export interface ParsedChunk {
  /** Complete events to forward. */
  events: Buffer
  problem?: StreamProblem
}

export interface EventStream {
  push (chunk: Buffer): ParsedChunk
  /** Id of the last forwarded event, or undefined before the first. */
  lastId (): number | undefined
  /** Whether part of an event is buffered. A stream that ends in this state was cut. */
  isInEvent (): boolean
  /** Size of the buffered part of an event, bytes. */
  pendingBytes (): number
  /** Records the content type that the caller has been told. */
  start (contentType: string | undefined): void
  contentType (): string | undefined
  /** Prepares for another server that continues after the last event; discards the buffered part of the next one. */
  resume (): void
}

export function createEventStream (): EventStream {
  let partial: Buffer = Buffer.alloc(0)
  let previousId: number | undefined
  let isResuming = false
  let statedType: string | undefined

  const checkEvent = (event: Buffer): StreamProblem | undefined => {
    const text = event.toString('latin1')
    const idText = ID_LINE.exec(text)?.[1]
    // A comment has no id and does not affect the order.
    if (idText === undefined) return text.startsWith(':') ? undefined : 'malformed'
    const eventId = Number(idText)
    if (previousId !== undefined && eventId <= previousId) return 'doubled'
    if (isResuming && eventId !== (previousId ?? 0) + 1) return 'gap'
    previousId = eventId
    isResuming = false
    return undefined
  }
  return {
    push: chunk => {
      const bytes = partial.length === 0 ? chunk : Buffer.concat([partial, chunk])
      let start = 0
      for (let end = bytes.indexOf(EVENT_END); end >= 0; end = bytes.indexOf(EVENT_END, start)) {
        const problem = checkEvent(bytes.subarray(start, end))
        if (problem !== undefined) {
          partial = Buffer.alloc(0)
          return { events: bytes.subarray(0, start), problem }
        }
        start = end + EVENT_END.length
      }
      partial = bytes.subarray(start)
      const isTooLong = partial.length > MAX_EVENT_BYTES
      return { events: bytes.subarray(0, start), ...(isTooLong ? { problem: 'malformed' as const } : {}) }
    },
    lastId: () => previousId,
    isInEvent: () => partial.length > 0,
    pendingBytes: () => partial.length,
    start: contentType => { statedType = contentType },
    contentType: () => statedType,
    resume: () => {
      partial = Buffer.alloc(0)
      isResuming = true
    }
  }
}
