/** A process that logs more than the pipe to its reader holds, and ends as an instance does after its shutdown. */
import { write } from 'node:fs'
import { createSystemClock } from '../../../clock'
import { createLogSink } from '../../../logSink'
import { endProcess } from '../../endProcess'

/** A pipe of its own: the loader of TypeScript makes standard output non-blocking, which the program does not. */
const LOG_FD = 3
const FLUSH_TIMEOUT_MS = 200
/** Within the rate of warnings, and each round within what the sink buffers. */
const ROUNDS = 6
const LINES_PER_ROUND = 150
const LINE = 'x'.repeat(1600)

const sink = createLogSink({ clock: createSystemClock(), write: (text, done) => write(LOG_FD, text, done) })

async function logAndEnd (): Promise<void> {
  let isWritten = true
  for (let round = 0; round < ROUNDS && isWritten; round += 1) {
    Array.from({ length: LINES_PER_ROUND }).forEach(() => sink.write(LINE, 'warn'))
    isWritten = await sink.flush(FLUSH_TIMEOUT_MS)
  }
  endProcess(isWritten)
}

logAndEnd()
