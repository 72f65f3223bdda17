/**
 * Parses the requests and orders that callers send to the engine.
 */
import type { IncomingHttpHeaders } from 'node:http'
import { PRIORITY_HEADER, REQUEST_ID_HEADER } from 'magnoliabay/backend/protocol'
import type { EngineRole, Order, OrderAction } from 'magnoliabay/backend/protocol'
import { asList, asObject, asText } from '../http/json'
import type { JsonObject } from '../http/json'
import type { AnswerShape, GenerateRequest } from './types'

const DEFAULT_PRIORITY = 1
const ACTIONS: readonly OrderAction[] = [
  'raise-fence', 'load', 'unload', 'load-adapter', 'unload-adapter', 'set-version', 'set-role'
]
const ROLES: readonly EngineRole[] = ['serve', 'prefill', 'decode']

export function readGenerateRequest (shape: AnswerShape, body: JsonObject, headers: IncomingHttpHeaders): GenerateRequest {
  const maxTokens = body.max_completion_tokens ?? body.max_tokens
  return {
    requestId: asText(headers[REQUEST_ID_HEADER]),
    shape,
    model: asText(body.model),
    adapter: asText(body.adapter) || undefined,
    prompt: shape === 'chat' ? promptOf(body.messages) : asText(body.prompt),
    maxTokens: typeof maxTokens === 'number' ? maxTokens : undefined,
    priority: Number(headers[PRIORITY_HEADER] ?? DEFAULT_PRIORITY),
    headers: flattenHeaders(headers)
  }
}

/** Parses an order; returns undefined when the body isn't one. */
export function readOrder (body: JsonObject): Order | undefined {
  const action = ACTIONS.find(known => known === body.action)
  if (action === undefined || typeof body.orderId !== 'string' || typeof body.fence !== 'number') return undefined
  return {
    orderId: body.orderId,
    fence: body.fence,
    action,
    model: asText(body.model) || undefined,
    adapter: asText(body.adapter) || undefined,
    version: asText(body.version) || undefined,
    role: ROLES.find(known => known === body.role),
    memoryMiB: typeof body.memoryMiB === 'number' ? body.memoryMiB : undefined
  }
}

/** Joins the contents of all messages with newlines. */
export function promptOf (messages: unknown): string {
  return asList(messages).map(message => contentOf(asObject(message).content)).join('\n')
}

function contentOf (content: unknown): string {
  if (typeof content === 'string') return content
  return asList(content).map(part => asText(asObject(part).text)).join('')
}

function flattenHeaders (headers: IncomingHttpHeaders): Readonly<Record<string, string>> {
  return Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, String(value)]))
}
