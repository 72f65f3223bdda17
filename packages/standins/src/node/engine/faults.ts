/**
 * Faults of the model engine stand-in.
 */
import { createFaultSwitches } from '../faults'
import type { FaultSwitches } from '../faults'
import { NO_STATEMENTS } from '../http/statements'
import type { Statements } from '../http/statements'

export type OrderAnswer = 'normal' | 'late' | 'twice' | 'never'

export interface EngineFaults extends Statements {
  /** True kills the process: connections drop and are refused, loaded models are lost. False restarts it. */
  crash: boolean
  /** A prompt that contains this text kills the process; '' for none. */
  crashOnPrompt: string
  /** Version of the software that the next process runs; each event names that of its process. */
  softwareVersion: string
  /** Time until a process killed by a prompt restarts, milliseconds; 0 for never. */
  restartAfterMs: number
  /** New requests are refused as not run. */
  refuse: boolean
  /** Headers are sent, but no more tokens. */
  stall: boolean
  /** Setting it silences the connections open at that moment permanently; later ones work. */
  silentConnections: boolean
  /** Delay of every answer to a request, milliseconds. */
  lateAnswerMs: number
  /** Answers carry the id and the tokens of another request. */
  crossedAnswers: boolean
  /** Every answer is sent twice on its connection. */
  doubleAnswer: boolean
  /** Connections break after the first token. */
  dieAfterFirstByte: boolean
  /** Connections break after the last token, before `[DONE]`. */
  dieBeforeEnd: boolean
  /** Delay before an order is executed, milliseconds. */
  orderDelayMs: number
  /** `late`: executed at once, answered after `orderAnswerDelayMs`. */
  orderAnswer: OrderAnswer
  /** Delay of the answer while `orderAnswer` is `late`, milliseconds. */
  orderAnswerDelayMs: number
  /** Factor by which loads on this engine take longer. */
  slowLoads: number
  /** Loads end with the outcome `failed`. */
  failLoads: boolean
}

export function createEngineFaults (): FaultSwitches<EngineFaults> {
  return createFaultSwitches<EngineFaults>({
    ...NO_STATEMENTS,
    crash: false,
    crashOnPrompt: '',
    softwareVersion: 'v1',
    restartAfterMs: 3000,
    refuse: false,
    stall: false,
    silentConnections: false,
    lateAnswerMs: 0,
    crossedAnswers: false,
    doubleAnswer: false,
    dieAfterFirstByte: false,
    dieBeforeEnd: false,
    orderDelayMs: 0,
    orderAnswer: 'normal',
    orderAnswerDelayMs: 3000,
    slowLoads: 1,
    failLoads: false
  })
}
