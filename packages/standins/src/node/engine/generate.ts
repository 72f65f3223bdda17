/**
 * Answers that are a function of the request alone, so that a check can compute the expected answer to its request.
 */
import { createHash } from 'node:crypto'

export interface AnswerRequest {
  /** The base model. */
  model: string
  adapter?: string
  /** All message contents joined by newlines, or the prompt itself. */
  prompt: string
  /** @default the length derived from the prompt */
  maxTokens?: number
}

export type FinishReason = 'stop' | 'length'

export interface Answer {
  tokens: readonly string[]
  finishReason: FinishReason
  promptTokens: number
}

const MIN_ANSWER_TOKENS = 16
const ANSWER_TOKENS_RANGE = 32
const TOKEN_CHARACTERS = 5
const CHARACTERS_PER_TOKEN = 4
/** A prompt may set the default length of its answer: `[tokens=40]`. */
const TOKEN_COUNT_PATTERN = /\[tokens=(\d+)\]/

/** Returns the complete answer to `request`. */
export function createAnswer (request: AnswerRequest): Answer {
  const seed = hash([request.model, request.adapter ?? '', request.prompt].join('\u0000'))
  const defaultLength = defaultTokenCount(request.prompt, seed)
  const length = Math.min(defaultLength, request.maxTokens ?? defaultLength)
  return {
    tokens: Array.from({ length }, (_unused, index) => tokenAt(seed, index)),
    finishReason: length < defaultLength ? 'length' : 'stop',
    promptTokens: countTokens(request.prompt)
  }
}

/** Returns the complete answer to `request` as text. */
export function expectedText (request: AnswerRequest): string {
  return createAnswer(request).tokens.join('')
}

export function countTokens (text: string): number {
  return Math.ceil(text.length / CHARACTERS_PER_TOKEN)
}

function defaultTokenCount (prompt: string, seed: string): number {
  const match = TOKEN_COUNT_PATTERN.exec(prompt)
  if (match !== null) return Number(match[1])
  return MIN_ANSWER_TOKENS + parseInt(seed.slice(0, 4), 16) % ANSWER_TOKENS_RANGE
}

function tokenAt (seed: string, index: number): string {
  return `${hash(`${seed}:${index}`).slice(0, TOKEN_CHARACTERS)} `
}

function hash (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}
