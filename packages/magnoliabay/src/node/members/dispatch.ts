/** Handlers of calls and notices by kind, and listeners; shared by every implementation of {@link Peers}. */
import { runGuarded } from '../background'
import type { GenericSchema } from 'valibot'
import { checkInput } from '../inputs'
import type { InputMonitor } from '../inputs'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { messageOf } from '../utils'
import type { Disposer, PeerCall, PeerCallHandler, PeerError, PeerNotice, PeerNoticeHandler } from './peers'
import type { MemberRecord } from './record'

export interface Dispatch {
  serve<Req, Res> (call: PeerCall<Req, Res>, handler: PeerCallHandler<Req, Res>): void
  listen<Body> (notice: PeerNotice<Body>, handler: PeerNoticeHandler<Body>): void
  handleCall (kind: string, body: unknown, from: MemberRecord): Promise<Result<unknown, PeerError>>
  handleNotice (kind: string, body: unknown, from: MemberRecord): void
}

/** `inputs`: logs and counts messages of the wrong form. @default they are refused only */
export function createDispatch (inputs?: Pick<InputMonitor, 'recordRefused'>): Dispatch {
  const calls = new Map<string, PeerCallHandler<unknown, unknown>>()
  const notices = new Map<string, PeerNoticeHandler<unknown>[]>()
  const schemas = new Map<string, GenericSchema>()
  /** Returns why the body has not the form of its kind; undefined if it has. */
  const findProblem = (kind: string, body: unknown, from: MemberRecord): string | undefined => {
    const schema = schemas.get(kind)
    if (schema === undefined) return undefined
    const checked = checkInput(schema, body)
    if (checked.ok) return undefined
    inputs?.recordRefused('peer-message', { peer: from.id, call: kind }, checked.val.message)
    return checked.val.message
  }
  return {
    serve: (call, handler) => {
      schemas.set(call.kind, call.schemas.req)
      calls.set(call.kind, handler as PeerCallHandler<unknown, unknown>)
    },
    listen: (notice, handler) => {
      schemas.set(notice.kind, notice.schema)
      const handlers = notices.get(notice.kind) ?? []
      notices.set(notice.kind, [...handlers, handler as PeerNoticeHandler<unknown>])
    },
    handleCall: async (kind, body, from) => {
      const handler = calls.get(kind)
      if (handler === undefined) return Err({ kind: 'no-handler', message: `No handler for calls of kind ${kind}.` })
      const problem = findProblem(kind, body, from)
      if (problem !== undefined) return Err({ kind: 'handler-failed', message: problem })
      try {
        return Ok(await handler(body, from))
      } catch (err) {
        return Err({ kind: 'handler-failed', message: messageOf(err) })
      }
    },
    handleNotice: (kind, body, from) => {
      if (findProblem(kind, body, from) !== undefined) return
      const handlers = notices.get(kind) ?? []
      handlers.forEach(handler => handler(body, from))
    }
  }
}

/** Returns an answer whose form is that of the call, or an error that has been logged and counted. */
export function checkAnswer<Req, Res> (call: PeerCall<Req, Res>, answer: Result<unknown, PeerError>, peer: string, inputs?: Pick<InputMonitor, 'recordRefused'>): Result<Res, PeerError> {
  if (answer.err) return answer
  const checked = checkInput(call.schemas.res, answer.val)
  if (checked.ok) return answer as Result<Res, PeerError>
  inputs?.recordRefused('peer-message', { peer, call: call.kind }, checked.val.message)
  return Err({ kind: 'handler-failed', message: checked.val.message })
}

export interface Listeners<Args extends unknown[]> {
  add (listener: (...args: Args) => void): Disposer
  emit (...args: Args): void
}

export function createListeners<Args extends unknown[]> (): Listeners<Args> {
  const listeners = new Set<(...args: Args) => void>()
  return {
    add: listener => {
      listeners.add(listener)
      return () => listeners.delete(listener)
    },
    // One that fails must not keep the others from being called.
    emit: (...args) => [...listeners].forEach(listener => runGuarded('listener', () => listener(...args)))
  }
}
