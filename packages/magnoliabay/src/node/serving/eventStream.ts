/**
 * Follows an event stream as it is relayed: passes whole events only, and notices those that are not the next ones.
 * A server may break off in the middle of an event, or append bytes of another answer; half an event, once passed on,
 * could not be taken back when the stream goes on at another server.
 */

/** An event longer than this is none. */
const MAX_EVENT_BYTES = 1_048_576
const EVENT_END = Buffer.from('\n\n')
const ID_LINE = /^id: ?(\d+)$/m

/** `doubled`: an event that came before. `gap`: one is missing after a resumption. `malformed`: no event. */
export type StreamProblem = 'doubled' | 'gap' | 'malformed'

export interface ParsedChunk {
  /** Whole events to pass on. */
  events: Buffer
  problem?: StreamProblem
}

export interface EventStream {
  push (chunk: Buffer): ParsedChunk
  /** Id of the last event passed on, or undefined before the first. */
  lastId (): number | undefined
  /** Whether a part of an event is held: a stream that ends so was cut. */
  isInEvent (): boolean
  /** Another server goes on after the last event; what is held of the next is forgotten. */
  resume (): void
}

export function createEventStream (): EventStream {
  let partial: Buffer = Buffer.alloc(0)
  let previousId: number | undefined
  let isResuming = false

  const checkEvent = (event: Buffer): StreamProblem | undefined => {
    const text = event.toString('latin1')
    const idText = ID_LINE.exec(text)?.[1]
    // A comment carries no id and says nothing of the order.
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
    resume: () => {
      partial = Buffer.alloc(0)
      isResuming = true
    }
  }
}
