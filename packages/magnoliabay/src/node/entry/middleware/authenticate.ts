import type { Keyring } from '../../admission'
import { sendFailure } from '../respond'
import type { Handler } from '../types'

/** Authenticates the caller by its key, and deletes the header so that it is never forwarded. */
export function authenticateMiddleware (keyring: Keyring): Handler {
  return function authenticate (req, res, next) {
    const caller = keyring.authenticate(req.headers.authorization)
    delete req.headers.authorization
    if (caller.err) return sendFailure(res, caller.val, req.requestId)
    req.caller = caller.val
    next()
  }
}
