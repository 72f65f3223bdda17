/** Parses the fields of an OpenAI-compatible completion request that routing and limits need. */
import { createHash } from 'node:crypto'
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
/** The first messages of a chat are those that requests share. */
const MAX_SHARED_MESSAGES = 16

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
  /** Names of the messages of a chat, without the last, which belongs to this request. */
  sharedParts: readonly string[]
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
    sharedParts: namesOfSharedMessages(checked.output.messages),
    body: Buffer.from(JSON.stringify({ ...checked.output, max_tokens: maxTokens }))
  })
}

/** Equal messages have equal names. */
function namesOfSharedMessages (messages: unknown): string[] {
  if (!Array.isArray(messages)) return []
  return messages.slice(0, -1).slice(0, MAX_SHARED_MESSAGES).map(message => createHash('sha256').update(JSON.stringify(message)).digest('base64url'))
}

function hashPromptPrefix (prompt: unknown): string | undefined {
  const text = JSON.stringify(prompt ?? '').slice(0, MAX_PREFIX_LENGTH)
  return text.length < MIN_PREFIX_LENGTH ? undefined : String(stableHash(text))
}
