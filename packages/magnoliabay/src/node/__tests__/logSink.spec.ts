import { expect } from 'chai'
import { createVirtualClock } from '../clock/virtual'
import type { VirtualClock } from '../clock/virtual'
import type { LogLevel } from '../logger'
import { createLogSink } from '../logSink'
import type { LogSink } from '../logSink'

interface LogSinkFixture {
  clock: VirtualClock
  sink: LogSink
  written: string[]
  /** Completes the pending write, as when the reader reads again. */
  finishWrite (): void
}

function createFixture (completesWrites: boolean): LogSinkFixture {
  const clock = createVirtualClock()
  const written: string[] = []
  let finish: (() => void) | undefined
  const fixture: LogSinkFixture = {
    clock,
    written,
    sink: createLogSink({
      clock,
      linesPerSecond: 10,
      maxBufferedCharacters: 100,
      write: (text, done) => {
        written.push(text)
        if (completesWrites) done()
        else finish = done
      }
    }),
    finishWrite: () => finish?.()
  }
  return fixture
}

/** Longest time that lines are buffered, milliseconds. */
const WRITE_INTERVAL_MS = 250
const fill = (sink: LogSink, lines: number, level: LogLevel): void => Array.from({ length: lines }).forEach(() => sink.write('x', level))

describe('log sink', () => {
  /** Guards against one write per line: each write wakes the process twice, which dominates the cost of idle instances. */
  it('writes the lines of a quarter of a second together', async () => {
    const { sink, clock, written } = createFixture(true)
    sink.write('one', 'info')
    await clock.advance(WRITE_INTERVAL_MS / 2)
    sink.write('two', 'info')
    await clock.advance(WRITE_INTERVAL_MS / 2)
    expect(written).to.deep.equal(['one\ntwo\n'])
  })

  /**
   * Guards against requests that block because the log is not read.
   * 1. The reader stops. 2. Lines are buffered up to a limit and further ones are dropped, without waiting. 3. The reader
   * continues, and the number of dropped lines is logged.
   */
  it('does not block when the reader stops, and logs the number of dropped lines', async () => {
    const { sink, clock, written, finishWrite } = createFixture(false)
    sink.write('first', 'info')
    await clock.advance(WRITE_INTERVAL_MS)
    sink.write('y'.repeat(80), 'info')
    sink.write('z'.repeat(80), 'info')
    expect(sink.dropped()).to.equal(1)
    finishWrite()
    await clock.advance(WRITE_INTERVAL_MS)
    expect(written.at(-1)).to.match(/^y{80}\n.*event=log-lines-left-out count=1 total=1\n$/)
  })

  it('drops info lines before warnings', async () => {
    const { sink } = createFixture(true)
    fill(sink, 25, 'info')
    expect(sink.dropped()).to.equal(5)
    await sink.flush(0)
    fill(sink, 40, 'warn')
    expect(sink.dropped()).to.equal(5)
    fill(sink, 1, 'warn')
    expect(sink.dropped()).to.equal(6)
  })

  it('accepts lines again after the budget is refilled', async () => {
    const { sink, clock } = createFixture(true)
    fill(sink, 21, 'info')
    await clock.advance(1000)
    fill(sink, 10, 'info')
    expect(sink.dropped()).to.equal(1)
  })

  it('stops flushing after the timeout', async () => {
    const { sink, clock } = createFixture(false)
    sink.write('last', 'info')
    const flushed = sink.flush(200)
    await clock.advance(250)
    await flushed
  })
})
