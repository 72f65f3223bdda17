import { expect } from 'chai'
import fc from 'fast-check'
import { createEventStream } from '../eventStream'
import type { EventStream, StreamProblem } from '../eventStream'

const event = (id: number, data = 'x'): string => `id: ${id}\ndata: ${data}\n\n`
const push = (stream: EventStream, text: string): { text: string, problem: StreamProblem | undefined } => {
  const parsed = stream.push(Buffer.from(text))
  return { text: parsed.events.toString(), problem: parsed.problem }
}

describe('event stream', () => {
  it('forwards complete events and buffers the rest', () => {
    const stream = createEventStream()
    expect(push(stream, event(1) + 'id: 2\nda')).to.deep.equal({ text: event(1), problem: undefined })
    expect(stream.isInEvent()).to.equal(true)
    expect(push(stream, 'ta: x\n\n')).to.deep.equal({ text: event(2), problem: undefined })
    expect(stream.isInEvent()).to.equal(false)
    expect(stream.lastId()).to.equal(2)
  })

  const PROBLEMS: Array<[string, string[], string, StreamProblem]> = [
    ['a repeated event', [event(1), event(2)], event(2), 'doubled'],
    ['bytes that are not an event', [event(1)], 'HTTP/1.1 200 OK\n\n', 'malformed']
  ]
  PROBLEMS.forEach(([name, before, next, problem]) => it(`forwards nothing from ${name} on`, () => {
    const stream = createEventStream()
    before.forEach(text => push(stream, text))
    expect(push(stream, next + event(9))).to.deep.equal({ text: '', problem })
  }))

  /**
   * Failure: a caller gets a stream in which a part is missing or repeated.
   * 1. A server breaks off within an event. 2. Another server continues after the last complete event. 3. The partial
   * event must be discarded, and the first event of the other server must be the next one in order.
   */
  it('continues at another server only with the next event in order', () => {
    const stream = createEventStream()
    push(stream, event(1) + event(2) + 'id: 3\ndata: hal')
    stream.resume()
    expect(push(stream, event(3))).to.deep.equal({ text: event(3), problem: undefined })
    stream.resume()
    expect(push(stream, event(5)).problem).to.equal('gap')
    const again = createEventStream()
    push(again, event(1))
    again.resume()
    expect(push(again, event(1)).problem).to.equal('doubled')
  })

  it('forwards the same bytes regardless of chunk boundaries', () => {
    const whole = [1, 2, 3, 4].map(id => event(id, 'data'.repeat(id))).join('')
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: whole.length - 1 }), { maxLength: 12 }), cuts => {
      const at = [0, ...[...cuts].sort((left, right) => left - right), whole.length]
      const stream = createEventStream()
      const passed = at.slice(1).map((end, index) => push(stream, whole.slice(at[index], end)).text).join('')
      expect(passed).to.equal(whole)
    }), { seed: 13, numRuns: 100 })
  })
})
