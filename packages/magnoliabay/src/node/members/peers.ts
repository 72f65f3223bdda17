/**
 * How subsystems talk to other members, whatever carries it: calls that are answered, and notices
 * that are not. `members/network.ts` carries them over TCP; tests carry them in memory.
 */
import type { Result } from '../result'
import type { MemberRecord } from './record'

/** A typed call between members. Make one with {@link definePeerCall}. */
export interface PeerCall<Req, Res> {
  readonly kind: string
  readonly types?: { req: Req, res: Res }
}

/** A typed notice between members: sent once, perhaps lost, never answered. */
export interface PeerNotice<Body> {
  readonly kind: string
  readonly types?: { body: Body }
}

export function definePeerCall<Req, Res> (kind: string): PeerCall<Req, Res> {
  return { kind }
}

export function definePeerNotice<Body> (kind: string): PeerNotice<Body> {
  return { kind }
}

/**
 * `not-connected`, `too-large`: certainly not delivered. `timeout`, `link-lost`: may have been delivered and
 * carried out. `no-handler`, `handler-failed`: delivered, and answered so.
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

/** `from` is the record that the sender gave when it connected. */
export type PeerCallHandler<Req, Res> = (body: Req, from: MemberRecord) => Res | Promise<Res>
export type PeerNoticeHandler<Body> = (body: Body, from: MemberRecord) => void

export type Disposer = () => void

export interface Peers {
  readonly self: MemberRecord
  /** Members known to be there, this one included, in order of id. */
  members (): readonly MemberRecord[]
  /**
   * Whether the member can be called: a link to it stands, or it is one to which links are made on demand and
   * none has failed lately.
   */
  isConnected (memberId: string): boolean
  call<Req, Res> (memberId: string, call: PeerCall<Req, Res>, body: Req, options?: PeerCallOptions): Promise<Result<Res, PeerError>>
  notify<Body> (memberId: string, notice: PeerNotice<Body>, body: Body): void
  /** Notifies those of the members to whom a link stands; the notice is encoded once for all of them. */
  notifyLinked<Body> (memberIds: readonly string[], notice: PeerNotice<Body>, body: Body): void
  /** Notifies every member but this one; in a large fleet by way of others. Perhaps lost, rarely doubled. */
  notifyAll<Body> (notice: PeerNotice<Body>, body: Body): void
  /** A call to this member itself is answered by its own handler. */
  serve<Req, Res> (call: PeerCall<Req, Res>, handler: PeerCallHandler<Req, Res>): void
  listen<Body> (notice: PeerNotice<Body>, handler: PeerNoticeHandler<Body>): void
  /** Called after the members or their records changed. */
  onMembersChanged (listener: () => void): Disposer
  /** Called when a link to a member has come up. */
  onConnected (listener: (member: MemberRecord) => void): Disposer
}
