/** Splits a byte stream into server-sent events. */
import { StringDecoder } from 'node:string_decoder'

export interface ServerSentEvent {
  id?: string
  data: string
}

export interface EventSplitter {
  /** Events completed by `chunk`. */
  push (chunk: Buffer): ServerSentEvent[]
}

const EVENT_END = '\n\n'

export function createEventSplitter (): EventSplitter {
  const decoder = new StringDecoder('utf8')
  let pending = ''
  return {
    push: chunk => {
      const blocks = (pending + decoder.write(chunk)).split(EVENT_END)
      pending = blocks.pop() ?? ''
      return blocks.map(parseEvent)
    }
  }
}

function parseEvent (block: string): ServerSentEvent {
  const lines = block.split('\n')
  const valueOf = (field: string): string | undefined =>
    lines.find(line => line.startsWith(`${field}: `))?.slice(field.length + 2)
  return { id: valueOf('id'), data: valueOf('data') ?? '' }
}
