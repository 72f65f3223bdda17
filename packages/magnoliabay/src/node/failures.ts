/**
 * The codes with which requests are refused or fail, and the HTTP responses sent for them.
 */

export type FailureCode =
  | 'bad_request'
  | 'body_too_large'
  | 'body_timeout'
  | 'headers_too_large'
  | 'method_not_allowed'
  | 'missing_key'
  | 'invalid_key'
  | 'key_withdrawn'
  | 'forbidden_model'
  | 'unknown_model'
  | 'unknown_service'
  | 'not_found'
  | 'over_allowance'
  | 'overloaded'
  | 'deadline_exceeded'
  | 'caller_gone'
  | 'no_capacity'
  | 'shutting_down'
  | 'idempotency_conflict'
  | 'idempotency_in_progress'
  | 'may_have_run'
  | 'store_unavailable'
  | 'crashes_backend'
  | 'backend_failed'
  | 'answer_cut'
  | 'internal'

/** A failure as sent to the caller. */
export interface Failure {
  code: FailureCode
  message: string
  /** True only when nothing of the request ran on any backend server. */
  notRun: boolean
  /** Seconds after which the caller may retry. */
  retryAfterSeconds?: number
}

const HTTP_STATUS: Record<FailureCode, number> = {
  bad_request: 400,
  body_too_large: 413,
  body_timeout: 408,
  headers_too_large: 431,
  method_not_allowed: 405,
  missing_key: 401,
  invalid_key: 401,
  key_withdrawn: 401,
  forbidden_model: 403,
  unknown_model: 404,
  unknown_service: 404,
  not_found: 404,
  over_allowance: 429,
  overloaded: 503,
  deadline_exceeded: 504,
  caller_gone: 499,
  no_capacity: 503,
  shutting_down: 503,
  idempotency_conflict: 422,
  idempotency_in_progress: 409,
  may_have_run: 409,
  store_unavailable: 503,
  crashes_backend: 422,
  backend_failed: 502,
  answer_cut: 502,
  internal: 500
}

export function httpStatusOf (failure: Failure): number {
  return HTTP_STATUS[failure.code]
}

/** Creates a failure for a request of which nothing was sent to a backend server. */
export function createRefusal (code: FailureCode, message: string, retryAfterSeconds?: number): Failure {
  return { code, message, notRun: true, retryAfterSeconds }
}

/** Creates a failure for a request that may have reached a backend server. */
export function createIndeterminateFailure (code: FailureCode, message: string): Failure {
  return { code, message, notRun: false }
}

/** Returns the JSON body of a failure. OpenAI-compatible clients read `error.message` and `error.code`. */
export function failureBody (failure: Failure, requestId: string): object {
  return {
    error: {
      code: failure.code,
      type: failure.code,
      message: failure.message,
      not_run: failure.notRun,
      request_id: requestId,
      retry_after: failure.retryAfterSeconds
    }
  }
}
