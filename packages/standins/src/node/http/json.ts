/**
 * Reads and sends JSON bodies over plain `node:http`.
 */
import type { IncomingMessage, OutgoingHttpHeaders, ServerResponse } from 'node:http'

export type JsonObject = Readonly<Record<string, unknown>>

const EMPTY: JsonObject = {}

/** Reads the whole body as text; empty when the connection broke first. */
export async function readText (req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of req) chunks.push(chunk as Buffer)
  } catch {
    return ''
  }
  return Buffer.concat(chunks).toString('utf8')
}

/** Parses an object; returns an empty one for any other text. */
export function parseObject (text: string): JsonObject {
  try {
    return asObject(JSON.parse(text))
  } catch {
    return EMPTY
  }
}

/** Returns `value` when it is an object, else an empty one. */
export function asObject (value: unknown): JsonObject {
  return typeof value === 'object' && value !== null ? value as JsonObject : EMPTY
}

/** Returns `value` when it is an array, else an empty one. */
export function asList (value: unknown): readonly unknown[] {
  return Array.isArray(value) ? value : []
}

/** Returns `value` when it is a string, else ''. */
export function asText (value: unknown): string {
  return typeof value === 'string' ? value : ''
}

export function sendJson (res: ServerResponse, status: number, body: unknown, headers: OutgoingHttpHeaders = {}): void {
  if (res.writableEnded || res.destroyed) return
  res.writeHead(status, { 'content-type': 'application/json', ...headers })
  res.end(JSON.stringify(body))
}
