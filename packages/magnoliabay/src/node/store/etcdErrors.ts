/** Which failures of a call are certain to have had no effect, and which leave it open. */
import { messageOf } from '../utils'
import type { StoreError, StoreErrorKind } from './store'

export interface EtcdErrorBody {
  code?: number
  message?: string
}

/** Errors after which the call certainly had no effect: no connection was ever made. */
const NEVER_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])
/** gRPC status codes that the gateway passes on. */
const GRPC_NOT_FOUND = 5
/**
 * Messages by which the service says that it did not begin. Others of the same code, such as
 * `request timed out` or `leader changed`, come from writes that may still be carried out.
 */
const NOT_BEGUN = new Set(['etcdserver: no leader', 'etcdserver: too many requests', 'etcdserver: not capable'])

export function errorOfAnswer (status: number, body: EtcdErrorBody): StoreError {
  const message = body.message ?? `The store answered with status ${status}.`
  if (body.code === GRPC_NOT_FOUND && message.includes('lease')) return { kind: 'lease-lost', message }
  if (NOT_BEGUN.has(message)) return { kind: 'unavailable', message }
  if (status >= 500) return { kind: 'unknown', message }
  return { kind: 'invalid', message }
}

export function errorOfThrown (err: unknown): StoreError {
  const code = (err as { code?: string }).code ?? ''
  const kind: StoreErrorKind = NEVER_SENT.has(code) ? 'unavailable' : 'unknown'
  return { kind, message: messageOf(err) }
}
