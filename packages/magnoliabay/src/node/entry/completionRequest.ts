/** Reads an OpenAI-compatible completion request as far as routing and limits need it. */
import * as v from 'valibot'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { parseJson } from '../utils'
import { stableHash } from '../utils'

/** Rough length of a token, for the reservation that is settled to what was used. */
const BYTES_PER_TOKEN = 4

/** Characters of the prompt, as JSON, that make its prefix: about what system prompts of one site share. */
const PREFIX_LENGTH = 512
const LEAST_PREFIX_LENGTH = 128

const completionSchema = v.looseObject({
  model: v.string(),
  stream: v.optional(v.boolean(), false),
  max_tokens: v.optional(v.nullable(v.pipe(v.number(), v.integer(), v.minValue(1)))),
  max_completion_tokens: v.optional(v.nullable(v.pipe(v.number(), v.integer(), v.minValue(1))))
})

export interface CompletionRequest {
  model: string
  isStream: boolean
  maxTokens: number
  /** Prompt and answer at most: what is reserved of the team's allowance. */
  reservedTokens: number
  /** Hash of the prompt's beginning, where it is long enough to be worth finding in an engine's cache. */
  prefix?: string
  body: Buffer
}

export function parseCompletion (body: Buffer, defaultMaxTokens: number): Result<CompletionRequest, Failure> {
  const json = parseJson(body.toString('utf8'))
  if (json === undefined) return Err(createRefusal('bad_request', 'The body is not valid JSON.'))
  const checked = v.safeParse(completionSchema, json)
  if (!checked.success) {
    const issue = checked.issues[0]
    const path = issue.path?.map(item => String(item.key)).join('.') ?? 'body'
    return Err(createRefusal('bad_request', `${path}: found ${issue.received}, allowed is ${issue.expected ?? issue.message}.`))
  }
  const maxTokens = checked.output.max_completion_tokens ?? checked.output.max_tokens ?? defaultMaxTokens
  const promptTokens = Math.ceil(body.length / BYTES_PER_TOKEN)
  return Ok({
    model: checked.output.model,
    isStream: checked.output.stream,
    maxTokens,
    reservedTokens: promptTokens + maxTokens,
    prefix: prefixOf(checked.output.messages ?? checked.output.prompt),
    body: Buffer.from(JSON.stringify({ ...checked.output, max_tokens: maxTokens }))
  })
}

function prefixOf (prompt: unknown): string | undefined {
  const text = JSON.stringify(prompt ?? '').slice(0, PREFIX_LENGTH)
  return text.length < LEAST_PREFIX_LENGTH ? undefined : String(stableHash(text))
}
