import type { Keyring } from '../../admission'
import { sendFailure } from '../respond'
import type { Handler } from '../types'

/** Lets in whoever shows a valid key, and forgets the header, so that nothing can pass it on. */
export function authenticateMiddleware (keyring: Keyring): Handler {
  return function authenticate (req, res, next) {
    const caller = keyring.authenticate(req.headers.authorization)
    delete req.headers.authorization
    if (caller.err) return sendFailure(res, caller.val, req.requestId)
    req.caller = caller.val
    next()
  }
}
