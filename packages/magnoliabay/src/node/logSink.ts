/**
 * Writes log lines without blocking requests, limited in rate and in buffered characters.
 *
 * Node writes to a pipe synchronously: a reader that stops would block the whole process in the middle of a request.
 * Lines are therefore written through the thread pool, one write at a time. Lines that arrive while the buffer is full
 * are dropped and counted; the count is logged once a write has completed.
 */
import { write as writeFile } from 'node:fs'
import { delayToNextPeriod } from './clock'
import type { Clock } from './clock'
import type { LogLevel } from './logger'

export interface LogSinkOptions {
  clock: Clock
  /** Writes `text` and calls `done` when finished. @default to standard output */
  write?: (text: string, done: () => void) => void
  /** Lines per second on average; warnings and errors may use three times as many. @default 200 */
  linesPerSecond?: number
  /** Maximum number of characters buffered for writing. @default 262144 */
  maxBufferedCharacters?: number
}

export interface LogSink {
  write (line: string, level: LogLevel): void
  /** Returns the number of lines dropped so far. */
  dropped (): number
  /** Resolves when the buffer is written, or after `timeoutMs`; returns whether it is written. */
  flush (timeoutMs: number): Promise<boolean>
}

/** One line for each request and decision is some 30 lines per second for an instance under heavy load. */
const DEFAULT_LINES_PER_SECOND = 200
const DEFAULT_MAX_BUFFERED_CHARACTERS = 262_144
/** Factor by which the rate is higher for warnings and errors, which matter most when a fault is investigated. */
const WARNING_RATE_FACTOR = 3
const BURST_SECONDS = 2
const STANDARD_OUTPUT = 1
const MS_PER_SECOND = 1000
const FLUSH_POLL_INTERVAL_MS = 10
/** Longest time that lines are buffered before a write, milliseconds: each write wakes the process twice. */
const WRITE_INTERVAL_MS = 250
/** Buffered characters at which a write starts at once. */
const WRITE_THRESHOLD_CHARACTERS = 16_384

export function createLogSink (options: LogSinkOptions): LogSink {
  const { clock, linesPerSecond = DEFAULT_LINES_PER_SECOND, maxBufferedCharacters = DEFAULT_MAX_BUFFERED_CHARACTERS } = options
  const write = options.write ?? writeStandardOutput
  const maxBudget = linesPerSecond * BURST_SECONDS * WARNING_RATE_FACTOR
  /** Below this budget only warnings and errors are written. */
  const warningReserve = maxBudget - linesPerSecond * BURST_SECONDS
  let budget = maxBudget
  let refilledMs = clock.monotonic()
  let buffer = ''
  let isWriting = false
  let isScheduled = false
  let dropped = 0
  let unreportedDrops = 0

  const refill = (): void => {
    const now = clock.monotonic()
    budget = Math.min(maxBudget, budget + (now - refilledMs) / MS_PER_SECOND * linesPerSecond * WARNING_RATE_FACTOR)
    refilledMs = now
  }
  const isWithinLimits = (level: LogLevel, line: string): boolean => {
    refill()
    const isWarning = level === 'warn' || level === 'error'
    return budget >= (isWarning ? 1 : warningReserve + 1) && buffer.length + line.length <= maxBufferedCharacters
  }
  const writeBuffer = (): void => {
    if (isWriting || buffer === '') return
    const text = buffer
    buffer = ''
    isWriting = true
    write(text, () => {
      isWriting = false
      const hasDropNotice = unreportedDrops > 0
      appendDropNotice()
      if (hasDropNotice || buffer.length >= WRITE_THRESHOLD_CHARACTERS) writeBuffer()
      else if (buffer !== '') scheduleWrite()
    })
  }
  const scheduleWrite = (): void => {
    if (isScheduled) return
    isScheduled = true
    clock.schedule(delayToNextPeriod(clock, WRITE_INTERVAL_MS), () => {
      isScheduled = false
      writeBuffer()
    })
  }
  const appendDropNotice = (): void => {
    if (unreportedDrops === 0) return
    buffer += `time=${new Date(clock.now()).toISOString()} level=warn event=log-lines-left-out count=${unreportedDrops} total=${dropped}\n`
    unreportedDrops = 0
  }
  const isIdle = (): boolean => !isWriting && buffer === ''
  return {
    write: (line, level) => {
      if (!isWithinLimits(level, line)) {
        dropped += 1
        unreportedDrops += 1
        return
      }
      budget -= 1
      buffer += `${line}\n`
      if (buffer.length >= WRITE_THRESHOLD_CHARACTERS) writeBuffer()
      else scheduleWrite()
    },
    dropped: () => dropped,
    flush: async timeoutMs => {
      const endMs = clock.monotonic() + timeoutMs
      writeBuffer()
      while (!isIdle() && clock.monotonic() < endMs) {
        await new Promise<void>(resolve => { clock.schedule(FLUSH_POLL_INTERVAL_MS, resolve) })
        writeBuffer()
      }
      return isIdle()
    }
  }
}

/** Writes the whole text through the thread pool. A write error, as when the reader has closed the pipe, loses only log lines. */
function writeStandardOutput (text: string, done: () => void): void {
  const bytes = Buffer.from(text)
  const writeFrom = (offset: number): void => writeFile(STANDARD_OUTPUT, bytes, offset, (err, written) => {
    if (err !== null || offset + written >= bytes.length) return done()
    writeFrom(offset + written)
  })
  writeFrom(0)
}
