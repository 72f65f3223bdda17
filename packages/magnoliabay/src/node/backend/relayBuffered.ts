/** Relays a response with a single body: checks that it is complete before sending any of it to the caller. */
import type { ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import type { ExchangeRequest } from './httpExchange'
import { REQUEST_ID_HEADER } from './protocol'
import { createResponseHead, startRelayExchange, toPartResult, toFailedResult, waitForEnd } from './relayConnection'
import type { RelayOptions, RelayRequest, RelayAttempt } from './relayTypes'
import { parseJsonObject, parseUsedTokens } from './tokenUsage'

const HTTP_OK = 200
/** A longer response is aborted: a faulty engine must not exhaust this instance's memory. */
const MAX_RESPONSE_BYTES = 16 * 1_048_576

export async function relayBuffered (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, exchangeReq: ExchangeRequest, res: ServerResponse, onFirstByte: () => void): Promise<RelayAttempt> {
  const head = createResponseHead()
  const chunks: Buffer[] = []
  let size = 0
  let problem = ''
  const exchange = startRelayExchange(options, dispatcher, req, exchangeReq, head, chunk => {
    chunks.push(chunk)
    size += chunk.length
    if (size <= MAX_RESPONSE_BYTES) return
    problem = `The engine's answer has more than ${MAX_RESPONSE_BYTES} bytes.`
    exchange.stop(problem)
  })
  const end = await waitForEnd(exchange, req.signal)
  if (end.kind === 'silent') options.connectionPools.checkPath(req.address)
  const text = Buffer.concat(chunks).toString('utf8')
  // A body without a content length ends with its connection, so a truncated one looks complete. Only a body that
  // parses as JSON counts as complete.
  const isComplete = end.kind === 'complete' && head.status === HTTP_OK && parseJsonObject(text) !== undefined
  const part = toPartResult(end, head, isComplete, req.signal, problem)
  if (!isComplete) return { result: toFailedResult(part), part }
  onFirstByte()
  res.writeHead(HTTP_OK, { 'content-type': 'application/json', [REQUEST_ID_HEADER]: req.requestId })
  res.end(text)
  return { result: { kind: 'answered', usedTokens: parseUsedTokens(text) }, part }
}
