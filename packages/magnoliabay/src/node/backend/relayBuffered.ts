/** An answer that comes in one body: checked as a whole before a byte of it goes to the caller. */
import type { ServerResponse } from 'node:http'
import type { Dispatcher } from 'undici'
import { startExchange } from './httpExchange'
import type { ExchangeRequest } from './httpExchange'
import { REQUEST_ID_HEADER } from './protocol'
import { addErrorText, createHead, describe, failedResult, readHead, untilEnded } from './relayConnection'
import type { RelayOptions, RelayRequest, Relayed } from './relayTypes'
import { parseJsonObject, parseUsedTokens } from './tokenUsage'

const HTTP_OK = 200
/** A longer answer is given up: a runaway engine must not take this instance's memory. */
const MAX_WHOLE_ANSWER_BYTES = 16 * 1_048_576

export async function relayWhole (options: RelayOptions, dispatcher: Dispatcher, req: RelayRequest, exchangeReq: ExchangeRequest, res: ServerResponse, onFirstByte: () => void): Promise<Relayed> {
  const head = createHead()
  const chunks: Buffer[] = []
  let size = 0
  let problem = ''
  const exchange = startExchange(dispatcher, options.clock, exchangeReq, {
    onHead: (status, headers) => {
      readHead(head, req.engineRequestId, status, headers)
      if (head.isForeign) exchange.stop('The engine answered another request.')
    },
    onData: chunk => {
      if (head.status !== HTTP_OK) return addErrorText(head, chunk)
      chunks.push(chunk)
      size += chunk.length
      if (size <= MAX_WHOLE_ANSWER_BYTES) return
      problem = `The engine's answer has more than ${MAX_WHOLE_ANSWER_BYTES} bytes.`
      exchange.stop(problem)
    }
  })
  const end = await untilEnded(exchange, req.signal)
  const text = Buffer.concat(chunks).toString('utf8')
  // A body without a length ends with its connection, so that a cut one looks complete: only JSON that
  // parses is whole.
  const isWhole = end.kind === 'complete' && head.status === HTTP_OK && parseJsonObject(text) !== undefined
  const part = describe(end, head, isWhole, req.signal, problem)
  if (!isWhole) return { relayed: failedResult(part), part }
  onFirstByte()
  res.writeHead(HTTP_OK, { 'content-type': 'application/json', [REQUEST_ID_HEADER]: req.requestId })
  res.end(text)
  return { relayed: { kind: 'answered', usedTokens: parseUsedTokens(text) }, part }
}
