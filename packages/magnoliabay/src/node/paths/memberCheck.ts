/**
 * Tells whether a request to forward a connection comes from a member. Links between members need no certificate where no TLS is
 * configured, and anyone could reach backend servers through the port of peers.
 */
import type { Socket } from 'node:net'
import { TLSSocket } from 'node:tls'
import type { MemberRecord } from '../members'
import { parseHostPort } from '../utils'

/** Header that holds the incarnation of the process that sends the request. */
export const INCARNATION_HEADER = 'x-incarnation'

const IPV4_IN_IPV6 = /^::ffff:/i
const withoutMapping = (address: string): string => address.replace(IPV4_IN_IPV6, '')

/** Whether the connection is a member's: by its certificate, or by the incarnation that it names and the host that it comes from. */
export function isFromMember (incarnation: string | string[] | undefined, socket: Socket, members: readonly MemberRecord[]): boolean {
  if (socket instanceof TLSSocket) return socket.authorized
  const member = members.find(each => each.incarnation === incarnation)
  return member !== undefined && withoutMapping(socket.remoteAddress ?? '') === withoutMapping(parseHostPort(member.peerAddress).host)
}
