/**
 * Interface for messages between members: calls, which are answered, and notices, which are not. `members/network.ts`
 * implements it over TCP, `members/memoryNetwork.ts` in memory for tests.
 */
import * as v from 'valibot'
import type { GenericSchema } from 'valibot'
import type { Result } from '../result'
import type { MemberRecord } from './record'

/**
 * The forms of a request and of its answer, checked where they arrive. Fields that they do not name are passed on. A message
 * without a form could leave values behind on which a timer, or the request of a caller, fails later.
 */
export interface CallSchemas {
  req: GenericSchema
  res: GenericSchema
}

/** The form of a request that asks for nothing in particular: whatever it holds is not read. */
export const NO_BODY: GenericSchema = v.unknown()

/** A typed call between members. Created with {@link definePeerCall}. */
export interface PeerCall<Req, Res> {
  readonly kind: string
  readonly schemas: CallSchemas
  readonly types?: { req: Req, res: Res }
}

/** A typed notice between members: sent once, possibly lost, never answered. */
export interface PeerNotice<Body> {
  readonly kind: string
  readonly schema: GenericSchema
  readonly types?: { body: Body }
}

export function definePeerCall<Req, Res> (kind: string, schemas: CallSchemas): PeerCall<Req, Res> {
  return { kind, schemas }
}

export function definePeerNotice<Body> (kind: string, schema: GenericSchema): PeerNotice<Body> {
  return { kind, schema }
}

/**
 * `not-connected`, `too-large`: certainly not delivered. `timeout`, `link-lost`: may have been delivered and executed.
 * `no-handler`, `handler-failed`: delivered, and answered with this error.
 */
export type PeerErrorKind = 'not-connected' | 'timeout' | 'link-lost' | 'no-handler' | 'handler-failed' | 'too-large'

export interface PeerError {
  kind: PeerErrorKind
  message: string
}

export interface PeerCallOptions {
  /** @default 1000 */
  timeoutMs?: number
}

/** `from` is the record that the sender sent when it connected. */
export type PeerCallHandler<Req, Res> = (body: Req, from: MemberRecord) => Res | Promise<Res>
export type PeerNoticeHandler<Body> = (body: Body, from: MemberRecord) => void

export type Disposer = () => void

export interface Peers {
  readonly self: MemberRecord
  /** Known members, this one included, in order of id. */
  members (): readonly MemberRecord[]
  /**
   * Whether the member can be called: a link to it is established, or links to it are dialled on demand and no dial has
   * failed recently.
   */
  isConnected (memberId: string): boolean
  call<Req, Res> (memberId: string, call: PeerCall<Req, Res>, body: Req, options?: PeerCallOptions): Promise<Result<Res, PeerError>>
  notify<Body> (memberId: string, notice: PeerNotice<Body>, body: Body): void
  /** Notifies those of the members to which a link is established; the notice is encoded once for all of them. */
  notifyLinked<Body> (memberIds: readonly string[], notice: PeerNotice<Body>, body: Body): void
  /**
   * Notifies every other member, in a large fleet through forwarding by others. A notice may be lost, and is rarely
   * duplicated.
   */
  notifyAll<Body> (notice: PeerNotice<Body>, body: Body): void
  /** Registers the handler of a call. Calls of this member to itself are answered by it as well. */
  serve<Req, Res> (call: PeerCall<Req, Res>, handler: PeerCallHandler<Req, Res>): void
  listen<Body> (notice: PeerNotice<Body>, handler: PeerNoticeHandler<Body>): void
  /** Calls the listener after the members or their records have changed. */
  onMembersChanged (listener: () => void): Disposer
  /** Calls the listener when a link to a member has been established. */
  onConnected (listener: (member: MemberRecord) => void): Disposer
}
