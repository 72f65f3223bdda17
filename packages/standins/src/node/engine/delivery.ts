/**
 * Sends a run's answer to its caller, as SSE or as one JSON body, with the active faults.
 */
import type { ServerResponse } from 'node:http'
import { REQUEST_ID_HEADER } from 'magnoliabay/backend/protocol'
import type { EngineFaults } from './faults'
import type { Answer } from './generate'
import type { Run } from './run'
import type { AnswerShape } from './types'

export interface Delivery {
  run: Run
  /** The request id and answer to send: those of the run, unless answers are crossed. */
  content: ResponseContent
  res: ServerResponse
  faults: Readonly<EngineFaults>
}

export interface ResponseContent {
  requestId: string
  answer: Answer
}

const MS_PER_SECOND = 1000
const DONE_DATA = '[DONE]'
const OBJECT_NAMES: Readonly<Record<AnswerShape, { whole: string, part: string, id: string }>> = {
  chat: { whole: 'chat.completion', part: 'chat.completion.chunk', id: 'chatcmpl' },
  text: { whole: 'text_completion', part: 'text_completion', id: 'cmpl' }
}

/** Streams the answer, starting with event `from`. */
export async function sendStream (delivery: Delivery, from: number): Promise<void> {
  const { run, res, content, faults } = delivery
  res.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-cache',
    [REQUEST_ID_HEADER]: content.requestId
  })
  res.flushHeaders()
  const total = run.answer.tokens.length
  for (let index = from; index < total; index += 1) {
    if (await run.waitForToken(index) !== 'token') {
      res.destroy()
      return
    }
    res.write(tokenEvent(delivery, index))
    if (faults.dieAfterFirstByte) return destroyAfterFlush(res)
  }
  if (await run.waitForToken(total) !== 'end') {
    res.destroy()
    return
  }
  if (faults.dieBeforeEnd) return destroyAfterFlush(res)
  res.write(closingEvents(delivery, total))
  if (faults.doubleAnswer) {
    Array.from({ length: total }, (_unused, index) => res.write(tokenEvent(delivery, index)))
    res.write(closingEvents(delivery, total))
  }
  res.end()
}

/** Sends the answer as one JSON body. */
export async function sendBody (delivery: Delivery): Promise<void> {
  const { run, res, content, faults } = delivery
  if (await run.waitForToken(run.answer.tokens.length) !== 'end') {
    res.destroy()
    return
  }
  const body = JSON.stringify(responseBody(delivery))
  const headers = {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(body)),
    [REQUEST_ID_HEADER]: content.requestId
  }
  res.writeHead(200, headers)
  if (faults.dieAfterFirstByte || faults.dieBeforeEnd) {
    res.write(body.slice(0, faults.dieAfterFirstByte ? 1 : -1))
    return destroyAfterFlush(res)
  }
  const { socket } = res
  res.end(body)
  if (!faults.doubleAnswer) return
  const head = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket?.write(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`)
}

/** Breaks the connection after everything written so far has been sent. */
function destroyAfterFlush (res: ServerResponse): void {
  const { socket } = res
  socket?.write('', () => socket.destroy())
}

function formatEvent ({ content }: Delivery, index: number, data: string): string {
  return `id: ${content.requestId}:${index}\ndata: ${data}\n\n`
}

function tokenEvent (delivery: Delivery, index: number): string {
  const text = delivery.content.answer.tokens[index] ?? ''
  const choice = delivery.run.request.shape === 'chat'
    ? { index: 0, delta: index === 0 ? { role: 'assistant', content: text } : { content: text }, finish_reason: null }
    : { index: 0, text, finish_reason: null }
  return formatEvent(delivery, index, JSON.stringify({ ...commonFields(delivery), choices: [choice] }))
}

function closingEvents (delivery: Delivery, index: number): string {
  const { content, run: { request: { shape } } } = delivery
  const finish = { index: 0, finish_reason: content.answer.finishReason }
  const choice = shape === 'chat' ? { ...finish, delta: {} } : { ...finish, text: '' }
  const last = { ...commonFields(delivery), choices: [choice], usage: usageOf(content.answer) }
  return formatEvent(delivery, index, JSON.stringify(last)) + formatEvent(delivery, index + 1, DONE_DATA)
}

function responseBody (delivery: Delivery): object {
  const { content, run: { request: { shape } } } = delivery
  const text = content.answer.tokens.join('')
  const finish = { index: 0, finish_reason: content.answer.finishReason }
  const choice = shape === 'chat' ? { ...finish, message: { role: 'assistant', content: text } } : { ...finish, text }
  return { ...commonFields(delivery), object: OBJECT_NAMES[shape].whole, choices: [choice], usage: usageOf(content.answer) }
}

function commonFields ({ run, content }: Delivery): object {
  const { id, part: object } = OBJECT_NAMES[run.request.shape]
  return {
    id: `${id}-${content.requestId}`,
    object,
    created: Math.floor(run.record.receivedAtMs / MS_PER_SECOND),
    model: run.request.model,
    system_fingerprint: run.record.softwareVersion
  }
}

function usageOf ({ promptTokens, tokens }: Answer): object {
  return { prompt_tokens: promptTokens, completion_tokens: tokens.length, total_tokens: promptTokens + tokens.length }
}
