import { expect } from 'chai'
import fc from 'fast-check'
import { createEventScanner } from '../sse'
import type { ScanResult } from '../sse'

const SEED = 20_261_202
const ID = 'req-1'

function eventsOf (id: string, texts: readonly string[]): string[] {
  const tokens = texts.map((text, index) => `id: ${id}:${index}\ndata: ${JSON.stringify({ text })}\n\n`)
  return [...tokens, `id: ${id}:${texts.length}\ndata: [DONE]\n\n`]
}

/** Scans `bytes` in chunks of the given sizes, in turn, until the scanner finds the end mark or a problem. */
function scanInChunks (bytes: Buffer, sizes: readonly number[]): { passed: string, isDone: boolean, problem?: string } {
  const scanner = createEventScanner(ID)
  const passed: Buffer[] = []
  let last: ScanResult = { events: Buffer.alloc(0), isDone: false }
  let offset = 0
  for (let turn = 0; offset < bytes.length && !last.isDone && last.problem === undefined; turn += 1) {
    const size = sizes[turn % sizes.length] ?? bytes.length
    last = scanner.push(bytes.subarray(offset, offset + size))
    passed.push(last.events)
    offset += size
  }
  return { passed: Buffer.concat(passed).toString('utf8'), isDone: last.isDone, problem: last.problem }
}

const texts = fc.array(fc.string({ unit: 'grapheme', maxLength: 12 }), { minLength: 1, maxLength: 12 })
const sizes = fc.array(fc.integer({ min: 1, max: 90 }), { minLength: 1, maxLength: 8 })

describe('event scanner', () => {
  it('passes on a whole response byte for byte, however it is split into chunks', () => {
    fc.assert(fc.property(texts, sizes, (content, chunkSizes) => {
      const whole = eventsOf(ID, content).join('')
      expect(scanInChunks(Buffer.from(whole), chunkSizes)).to.deep.equal({ passed: whole, isDone: true, problem: undefined })
    }), { seed: SEED, numRuns: 300 })
  })

  // Guards against passing on damaged streams: the engine's stream contains an event of another response, a repeated
  // event or a malformed one, or lacks one. Only the events before the damage are passed on, without an end mark.
  const DAMAGED_STREAMS: ReadonlyArray<{ problem: string, damage: (events: readonly string[], at: number) => readonly string[] }> = [
    { problem: 'foreign', damage: (events, at) => [...events.slice(0, at), `id: other:${at}\ndata: {}\n\n`, ...events.slice(at)] },
    { problem: 'foreign', damage: (events, at) => [...events.slice(0, at), `id: ${ID}0:${at}\ndata: {}\n\n`, ...events.slice(at)] },
    { problem: 'doubled', damage: (events, at) => [...events.slice(0, at + 1), ...events.slice(at)] },
    { problem: 'gap', damage: (events, at) => [...events.slice(0, at), ...events.slice(at + 1)] },
    { problem: 'malformed', damage: (events, at) => [...events.slice(0, at), 'data: {"text":"no id"}\n\n', ...events.slice(at)] }
  ]
  DAMAGED_STREAMS.forEach(({ problem, damage }) => it(`stops before a ${problem} event`, () => {
    fc.assert(fc.property(texts, sizes, fc.nat(), (content, chunkSizes, position) => {
      const events = eventsOf(ID, content)
      const at = position % content.length
      const passedCount = problem === 'doubled' ? at + 1 : at
      const result = scanInChunks(Buffer.from(damage(events, at).join('')), chunkSizes)
      expect(result).to.deep.equal({ passed: events.slice(0, passedCount).join(''), isDone: false, problem })
    }), { seed: SEED, numRuns: 100 })
  }))

  it('passes on only whole events, and no end mark, of a response cut anywhere', () => {
    fc.assert(fc.property(texts, sizes, fc.nat(), (content, chunkSizes, position) => {
      const events = eventsOf(ID, content)
      const whole = Buffer.from(events.join(''))
      const result = scanInChunks(whole.subarray(0, position % whole.length), chunkSizes)
      expect([result.isDone, events.join('').startsWith(result.passed)]).to.deep.equal([false, true])
    }), { seed: SEED, numRuns: 200 })
  })

  it('neither throws on arbitrary bytes nor passes any on', () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 400 }), sizes, (bytes, chunkSizes) => {
      fc.pre(!Buffer.from(bytes).includes('\n\n'))
      expect(scanInChunks(Buffer.from(bytes), chunkSizes).passed).to.equal('')
    }), { seed: SEED, numRuns: 300 })
  })

  it('continues with the next expected event on a new connection', () => {
    const events = eventsOf(ID, ['a', 'b', 'c'])
    const scanner = createEventScanner(ID)
    scanner.push(Buffer.from(`${events[0]}${events[1]!.slice(0, 9)}`))
    scanner.discardPartialEvent()
    expect(scanner.nextIndex()).to.equal(1)
    const rest = scanner.push(Buffer.from(events.slice(1).join('')))
    expect([rest.events.toString(), rest.isDone]).to.deep.equal([events.slice(1).join(''), true])
  })
})
