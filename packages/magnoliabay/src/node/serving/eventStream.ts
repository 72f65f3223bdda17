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

export interface Followed {
  /** Whole events to pass on. */
  events: Buffer
  problem?: StreamProblem
}

export interface EventStream {
  push (chunk: Buffer): Followed
  /** Id of the last event passed on, or undefined before the first. */
  lastId (): number | undefined
  /** Whether a part of an event is held: a stream that ends so was cut. */
  isInEvent (): boolean
  /** Another server goes on after the last event; what is held of the next is forgotten. */
  resume (): void
}

export function createEventStream (): EventStream {
  let pending: Buffer = Buffer.alloc(0)
  let last: number | undefined
  let isResuming = false

  const check = (event: Buffer): StreamProblem | undefined => {
    const text = event.toString('latin1')
    const id = ID_LINE.exec(text)?.[1]
    // A comment carries no id and says nothing of the order.
    if (id === undefined) return text.startsWith(':') ? undefined : 'malformed'
    const number = Number(id)
    if (last !== undefined && number <= last) return 'doubled'
    if (isResuming && number !== (last ?? 0) + 1) return 'gap'
    last = number
    isResuming = false
    return undefined
  }
  return {
    push: chunk => {
      const bytes = pending.length === 0 ? chunk : Buffer.concat([pending, chunk])
      let start = 0
      for (let end = bytes.indexOf(EVENT_END); end >= 0; end = bytes.indexOf(EVENT_END, start)) {
        const problem = check(bytes.subarray(start, end))
        if (problem !== undefined) {
          pending = Buffer.alloc(0)
          return { events: bytes.subarray(0, start), problem }
        }
        start = end + EVENT_END.length
      }
      pending = bytes.subarray(start)
      const isTooLong = pending.length > MAX_EVENT_BYTES
      return { events: bytes.subarray(0, start), ...(isTooLong ? { problem: 'malformed' as const } : {}) }
    },
    lastId: () => last,
    isInEvent: () => pending.length > 0,
    resume: () => {
      pending = Buffer.alloc(0)
      isResuming = true
    }
  }
}
