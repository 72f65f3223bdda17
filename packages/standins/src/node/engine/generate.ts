/**
 * Answers that follow from the request alone, so that a check can tell the whole answer to its own request.
 */
import { createHash } from 'node:crypto'

export interface AnswerRequest {
  /** Base model that answers. */
  model: string
  adapter?: string
  /** All message contents joined by newlines, or the prompt itself. */
  prompt: string
  /** @default the natural length */
  maxTokens?: number
}

export type FinishReason = 'stop' | 'length'

export interface Answer {
  tokens: readonly string[]
  finishReason: FinishReason
  promptTokens: number
}

const MIN_TOKENS = 16
const TOKENS_SPREAD = 32
const TOKEN_LENGTH = 5
const CHARACTERS_PER_TOKEN = 4
/** A prompt may set the natural length of its answer: `[tokens=40]`. */
const LENGTH_MARK = /\[tokens=(\d+)\]/

/** The whole answer to `request`. */
export function createAnswer (request: AnswerRequest): Answer {
  const seed = hash([request.model, request.adapter ?? '', request.prompt].join('\u0000'))
  const natural = naturalLength(request.prompt, seed)
  const length = Math.min(natural, request.maxTokens ?? natural)
  return {
    tokens: Array.from({ length }, (_unused, index) => tokenAt(seed, index)),
    finishReason: length < natural ? 'length' : 'stop',
    promptTokens: countTokens(request.prompt)
  }
}

/** The whole answer as one text. */
export function expectedText (request: AnswerRequest): string {
  return createAnswer(request).tokens.join('')
}

export function countTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

function naturalLength (prompt: string, seed: string): number {
  const mark = LENGTH_MARK.exec(prompt)
  if (mark !== null) return Number(mark[1])
  return MIN_TOKENS + parseInt(seed.slice(0, 4), 16) % TOKENS_SPREAD
}

function tokenAt (seed: string, index: number): string {
  return `${hash(`${seed}:${index}`).slice(0, TOKEN_LENGTH)} `
}

function hash (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
