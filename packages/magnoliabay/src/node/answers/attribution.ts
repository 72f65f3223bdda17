/**
 * Decides to which request an answer of a backend server belongs, and whether it promises that the request has not run. Both
 * entries decide it here only.
 *
 * An answer that arrives where the answer to a request is due may be a late one to an earlier request on the connection.
 * Taken for this request's, a refusal has a request refused, or sent again, that runs, and a success reaches the wrong caller.
 */
import type { Disclaimer } from './evidence'

export interface ArrivedAnswer {
  /** Id with which the request was sent. */
  sentId: string
  /** Id in the answer; undefined if it names none. */
  receivedId: string | undefined
  /** Requests that the connection carried before this one. */
  priorRequests: number
  /** Whether the connection carried a request with the same id before: an answer with the id may be a copy of the earlier. */
  hasCarriedId: boolean
  /** Whether the server names the request in each of its answers. */
  mustNameRequest: boolean
  /** What in the answer says that its request has not run. */
  disclaimer: Disclaimer | undefined
}

/**
 * `own`: the answer to this request; with `disclaimer`, the request has certainly not run. `foreign`: it names another
 * request. `unattributed`: nothing ties it to this request, which may have run.
 */
export type AnswerAttribution =
  | { kind: 'own', disclaimer: Disclaimer | undefined }
  | { kind: 'foreign' | 'unattributed', reason: string }

const FOREIGN: AnswerAttribution = { kind: 'foreign', reason: 'response belongs to another request' }
const UNNAMED: AnswerAttribution = { kind: 'unattributed', reason: 'response names no request' }
const REPEATED: AnswerAttribution = { kind: 'unattributed', reason: 'response may be a late one to an earlier send' }

export function attributeAnswer (answer: ArrivedAnswer): AnswerAttribution {
  const { sentId, receivedId, priorRequests, hasCarriedId, mustNameRequest, disclaimer } = answer
  if (receivedId !== undefined && receivedId !== sentId) return FOREIGN
  if (hasCarriedId) return REPEATED
  if (receivedId !== undefined) return { kind: 'own', disclaimer }
  // Without an id, only the first answer on a connection can belong to no other request; it is no ground for a promise.
  return mustNameRequest || priorRequests > 0 ? UNNAMED : { kind: 'own', disclaimer: undefined }
}
