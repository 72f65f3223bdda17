/** Reads from the head of a response by which request it was sent for, in the engines' and services' published protocol. */
import { attributeAnswer } from '../answers'
import type { AnswerAttribution } from '../answers'
import type { ConnectionUse } from '../http/connectionUse'
import type { ResponseHeaders } from './httpExchange'
import { NOT_RUN_HEADER, REQUEST_ID_HEADER } from './protocol'

const MIN_REFUSAL_STATUS = 400

/** `mustNameRequest`: whether the server names the request in each answer with this status. */
export function attributeResponse (requestId: string, status: number, headers: ResponseHeaders, { priorRequests }: ConnectionUse, mustNameRequest: boolean): AnswerAttribution {
  const receivedId = headers[REQUEST_ID_HEADER]
  return attributeAnswer({
    sentId: requestId,
    receivedId: receivedId === undefined ? undefined : String(receivedId),
    priorRequests,
    // Each send has an id of its own, or a connection of its own.
    hasCarriedId: false,
    mustNameRequest,
    disclaimer: status >= MIN_REFUSAL_STATUS && headers[NOT_RUN_HEADER] === 'true' ? NOT_RUN_HEADER : undefined
  })
}
