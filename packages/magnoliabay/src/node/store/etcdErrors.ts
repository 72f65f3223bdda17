/** Classifies failed calls: those that certainly had no effect, and those that may have had one. */
import { messageOf } from '../utils'
import type { StoreError, StoreErrorKind } from './store'

export interface EtcdErrorBody {
  code?: number
  message?: string
}

/** Codes of errors after which the call certainly had no effect, since no connection was made. */
const CONNECT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])
/** gRPC status code that the gateway passes on. */
const GRPC_NOT_FOUND = 5
/**
 * Messages that mean that the service did not start the call. Others with the same code, such as
 * `request timed out` or `leader changed`, belong to writes that may still be carried out.
 */
const NOT_STARTED_MESSAGES = new Set(['etcdserver: no leader', 'etcdserver: too many requests', 'etcdserver: not capable'])

export function errorOfResponse (status: number, body: EtcdErrorBody): StoreError {
  const message = body.message ?? `The store answered with status ${status}.`
  if (body.code === GRPC_NOT_FOUND && message.includes('lease')) return { kind: 'lease-lost', message }
  if (NOT_STARTED_MESSAGES.has(message)) return { kind: 'unavailable', message }
  if (status >= 500) return { kind: 'unknown', message }
  return { kind: 'invalid', message }
}

export function errorOfThrown (err: unknown): StoreError {
  const code = (err as { code?: string }).code ?? ''
  const kind: StoreErrorKind = CONNECT_ERROR_CODES.has(code) ? 'unavailable' : 'unknown'
  return { kind, message: messageOf(err) }
}
