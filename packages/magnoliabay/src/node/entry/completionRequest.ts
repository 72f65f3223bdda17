/** Parses the fields of an OpenAI-compatible completion request that routing and limits need. */
import * as v from 'valibot'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { parseJson } from '../utils'
import { stableHash } from '../utils'

/** Estimated length of a token, for the reservation. The actual usage is settled afterwards. */
const BYTES_PER_TOKEN = 4

/** Length of the hashed prompt prefix, characters of JSON: system prompts of one site have about this much in common. */
const MAX_PREFIX_LENGTH = 512
const MIN_PREFIX_LENGTH = 128

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
  /** Upper bound of prompt and completion tokens, reserved from the team's allowance. */
  reservedTokens: number
  /** Hash of the prompt's prefix; undefined if the prompt is too short for an engine's prefix cache to matter. */
  prefixHash?: string
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
    prefixHash: hashPromptPrefix(checked.output.messages ?? checked.output.prompt),
    body: Buffer.from(JSON.stringify({ ...checked.output, max_tokens: maxTokens }))
  })
}

function hashPromptPrefix (prompt: unknown): string | undefined {
  const text = JSON.stringify(prompt ?? '').slice(0, MAX_PREFIX_LENGTH)
  return text.length < MIN_PREFIX_LENGTH ? undefined : String(stableHash(text))
}
