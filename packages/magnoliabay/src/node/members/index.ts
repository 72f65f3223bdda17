/** Membership and the links between members. */
export { createMembership } from './membership'
export type { Membership } from './membership'
export { createPeerNetwork } from './network'
export type { PeerNetwork } from './network'
export { definePeerCall, definePeerNotice } from './peers'
export type { Peers, PeerCall, PeerError, PeerNotice } from './peers'
export type { GoneProofs, ProcessName, ProofKind } from './proof'
export type { MemberRecord } from './record'
