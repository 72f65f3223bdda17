/**
 * Where log lines go without ever holding up a request: bounded in rate and in what waits to be written.
 *
 * Node writes to a pipe synchronously: a reader that stops would stop the whole process in the middle of a request.
 * Lines are therefore written through the thread pool, one write at a time. What comes while too much waits is left
 * out and counted, and the count is written as soon as there is room.
 */
import { write as writeFile } from 'node:fs'
import { delayToNextPeriod } from './clock'
import type { Clock } from './clock'
import type { LogLevel } from './logger'

export interface LogSinkOptions {
  clock: Clock
  /** Writes and calls back when done. @default to standard output */
  write?: (text: string, done: () => void) => void
  /** Lines a second on average; refusals, failures and warnings may use three times as many. @default 200 */
  linesPerSecond?: number
  /** Characters that may wait to be written. @default 262144 */
  maxWaiting?: number
}

export interface LogSink {
  write (line: string, level: LogLevel): void
  /** Lines left out so far. */
  dropped (): number
  /** Resolves when all that waits is written, or after `limitMs`. */
  flush (limitMs: number): Promise<void>
}

/** A line for each request and decision on a day of many callers is some 30 a second for an instance. */
const LINES_PER_SECOND = 200
const MAX_WAITING = 262_144
/** Lines that tell of trouble may use this many times the rate: they are what somebody will look for. */
const TROUBLE_FACTOR = 3
const BURST_SECONDS = 2
const STANDARD_OUTPUT = 1
const MS_PER_SECOND = 1000
const FLUSH_POLL_MS = 10
/** Lines wait for this long at most, milliseconds, or until there are so many characters: each write wakes the process twice. */
const GATHER_MS = 250
const GATHER_CHARACTERS = 16_384

export function createLogSink (options: LogSinkOptions): LogSink {
  const { clock, linesPerSecond = LINES_PER_SECOND, maxWaiting = MAX_WAITING } = options
  const write = options.write ?? writeStandardOutput
  const most = linesPerSecond * BURST_SECONDS * TROUBLE_FACTOR
  /** Below this much of the budget only lines of trouble are written. */
  const reserve = most - linesPerSecond * BURST_SECONDS
  let left = most
  let refilledMs = clock.monotonic()
  let waiting = ''
  let isWriting = false
  let isDue = false
  let dropped = 0
  let untold = 0

  const refill = (): void => {
    const now = clock.monotonic()
    left = Math.min(most, left + (now - refilledMs) / MS_PER_SECOND * linesPerSecond * TROUBLE_FACTOR)
    refilledMs = now
  }
  const admits = (level: LogLevel, line: string): boolean => {
    refill()
    const isTrouble = level === 'warn' || level === 'error'
    return left >= (isTrouble ? 1 : reserve + 1) && waiting.length + line.length <= maxWaiting
  }
  const pump = (): void => {
    if (isWriting || waiting === '') return
    const text = waiting
    waiting = ''
    isWriting = true
    write(text, () => {
      isWriting = false
      const isAnyLeftOut = untold > 0
      tellDropped()
      if (isAnyLeftOut || waiting.length >= GATHER_CHARACTERS) pump()
      else if (waiting !== '') pumpSoon()
    })
  }
  const pumpSoon = (): void => {
    if (isDue) return
    isDue = true
    clock.schedule(delayToNextPeriod(clock, GATHER_MS), () => {
      isDue = false
      pump()
    })
  }
  const tellDropped = (): void => {
    if (untold === 0) return
    waiting += `time=${new Date(clock.now()).toISOString()} level=warn event=log-lines-left-out count=${untold} total=${dropped}\n`
    untold = 0
  }
  const isIdle = (): boolean => !isWriting && waiting === ''
  return {
    write: (line, level) => {
      if (!admits(level, line)) {
        dropped += 1
        untold += 1
        return
      }
      left -= 1
      waiting += `${line}\n`
      if (waiting.length >= GATHER_CHARACTERS) pump()
      else pumpSoon()
    },
    dropped: () => dropped,
    flush: async limitMs => {
      const endMs = clock.monotonic() + limitMs
      pump()
      while (!isIdle() && clock.monotonic() < endMs) {
        await new Promise<void>(resolve => { clock.schedule(FLUSH_POLL_MS, resolve) })
        pump()
      }
    }
  }
}

/** Writes the whole text, through the thread pool. A reader that has gone away ends nothing but the log. */
function writeStandardOutput (text: string, done: () => void): void {
  const bytes = Buffer.from(text)
  const writeFrom = (offset: number): void => writeFile(STANDARD_OUTPUT, bytes, offset, (err, written) => {
    if (err !== null || offset + written >= bytes.length) return done()
    writeFrom(offset + written)
  })
  writeFrom(0)
}
