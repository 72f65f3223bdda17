/**
 * Links to peers over TCP. In a small fleet all members hold links to one another; in a large one each holds links to
 * its neighbours, and dials other members on demand. Of two neighbours, the one with the lesser id dials.
 */
import { inBackground } from '../background'
import type { Socket } from 'node:net'
import type { Clock } from '../clock'
import { TIMED_OUT, withTimeout } from '../clock'
import { createTicker } from '../clock/ticker'
import { listenOn } from '../http/listen'
import type { Logger } from '../logger'
import { Err } from '../result'
import type { Result } from '../result'
import { createDialer } from './dialer'
import { checkAnswer, createDispatch, createListeners } from './dispatch'
import { detectProtocol } from './firstByte'
import type { PeerProtocol } from './firstByte'
import type { InputMonitor } from '../inputs'
import { encodeFrame } from './frames'
import { createGossip, gossipNotice } from './gossip'
import type { GossipMessage } from './gossip'
import { DEFAULT_CALL_TIMEOUT_MS, HEARTBEAT_INTERVAL_MS, runLink } from './link'
import type { Link } from './link'
import { neighboursOf, orderOnRing } from './neighbours'
import type { PeerError, Peers } from './peers'
import type { MemberRecord } from './record'
import { TCP_TRANSPORT } from './transport'
import type { PeerTransport } from './transport'

/** A link to a non-neighbour that this member has not used for this long is closed. */
const IDLE_LINK_TIMEOUT_MS = 60_000
/** A replaced link stays open for this long, for the calls in flight on it. */
const REPLACED_LINK_LINGER_MS = 5000
/** A member that could not be dialled counts as unreachable for this long. */
const UNREACHABLE_RETENTION_MS = 5000

export interface PeerNetworkOptions {
  self: MemberRecord
  /** Logs and counts messages of the wrong form. @default they are refused only */
  inputs?: Pick<InputMonitor, 'recordRefused'>
  clock: Clock
  logger: Logger
  /** @default TCP in plain text */
  transport?: PeerTransport
  /** Called with the kind of each received frame, or with its type if it has no kind. */
  onFrame?: (kind: string) => void
  /** Called when a peer has said goodbye: its process ends. */
  onGoodbye?: (member: MemberRecord) => void
  /** Takes over a connection by which a peer connects to a backend server through this instance. @default it is closed */
  onTunnel?: (socket: Socket) => void
}

export interface PeerNetwork extends Peers {
  /** Replaces the known members; links to removed members are closed, links to new neighbours are dialled. */
  setMembers (records: readonly MemberRecord[]): void
  /** State of the link to a member, as evidence of whether the member is running. */
  linkStateOf (memberId: string): LinkState
  /** Dials an address once, without knowing which member it is; resolves when that link has ended. */
  connectOnce (peerAddress: string): Promise<void>
  start (): Promise<void>
  close (): Promise<void>
}

/** `none`: not a neighbour, so no link is maintained and the lack of one proves nothing. */
export type LinkState = 'linked' | 'unlinked' | 'none'

interface OpenLink {
  link: Link
  isDialledHere: boolean
  lastUsedMs: number
}

export function createPeerNetwork (options: PeerNetworkOptions): PeerNetwork {
  const { self, clock, logger, transport = TCP_TRANSPORT } = options
  const dispatch = createDispatch(options.inputs)
  const ticker = createTicker(clock, HEARTBEAT_INTERVAL_MS)
  const changed = createListeners<[]>()
  const connected = createListeners<[MemberRecord]>()
  const links = new Map<string, OpenLink>()
  /** Replaced links that stay open for the calls in flight on them. */
  const lingering = new Set<Link>()
  const dialFailedAtMs = new Map<string, number>()
  const pendingDials = new Map<string, Promise<Link | undefined>>()
  /** Members at whose address another one answers, by id, with the incarnation of which that is known. */
  const misaddressed = new Map<string, string>()
  const gossip = createGossip(clock)
  let knownMembers: readonly MemberRecord[] = [self]
  let neighbours: ReadonlySet<string> = new Set()

  /**
   * Two members may dial each other at the same time. If each closed one of the two links, perhaps not the same one,
   * both could be lost. So both keep the one that the lesser id dialled, and close the other later, when its calls have
   * ended.
   */
  const isDuplicate = (memberId: string, isDialledHere: boolean): boolean => {
    const existing = links.get(memberId)
    if (existing === undefined || existing.isDialledHere === isDialledHere) return false
    return isDialledHere ? memberId < self.id : self.id < memberId
  }
  const closeAfterLinger = (link: Link): void => {
    lingering.add(link)
    clock.schedule(REPLACED_LINK_LINGER_MS, () => link.close('replaced by another link'))
  }
  const replace = (existing: Link | undefined, next: Link): void => {
    if (existing === undefined) return
    if (existing.member.incarnation === next.member.incarnation) closeAfterLinger(existing)
    else existing.close('replaced by a newer process')
  }
  /**
   * Whether the two ends of a link mean each other. An address in a record may be that of another member, or of this one: a link
   * there would replace the one that the two have, and a call to the member that was meant would wait until it ends.
   */
  const isMeant = (peer: MemberRecord, dialledId: string | undefined, toId: string | undefined): boolean => {
    if (peer.incarnation === self.incarnation || (toId ?? self.id) !== self.id) return false
    if ((dialledId ?? peer.id) === peer.id) return true
    recordMisaddressed(dialledId!, peer)
    return false
  }
  /** Records it once for each process of the member: a neighbour is dialled twice a second. */
  const recordMisaddressed = (dialledId: string, { id }: MemberRecord): void => {
    const incarnation = knownMembers.find(member => member.id === dialledId)?.incarnation
    if (incarnation === undefined || misaddressed.get(dialledId) === incarnation) return
    misaddressed.set(dialledId, incarnation)
    options.inputs?.recordRefused('peer-message', { peer: dialledId }, `${id} answers at its address`)
  }
  const runSocket = async (socket: Socket, isDialledHere: boolean, dialledId?: string): Promise<void> => {
    let link: Link | undefined
    const reason = await runLink({
      socket,
      self,
      to: dialledId,
      clock,
      ticker,
      logger,
      dispatch,
      onFrame: options.onFrame,
      isPermanent: member => neighbours.has(member.id),
      onHello: (established, toId) => {
        const { member } = established
        if (!isMeant(member, dialledId, toId)) return false
        link = established
        if (isDuplicate(member.id, isDialledHere)) {
          closeAfterLinger(established)
          return true
        }
        replace(links.get(member.id)?.link, established)
        links.set(member.id, { link: established, isDialledHere, lastUsedMs: clock.monotonic() })
        dialFailedAtMs.delete(member.id)
        logger.info('peer-link-up', { peer: member.id, incarnation: member.incarnation })
        connected.emit(member)
        return true
      },
      onGoodbye: member => options.onGoodbye?.(member)
    })
    if (link === undefined) return
    lingering.delete(link)
    if (links.get(link.member.id)?.link === link) links.delete(link.member.id)
    logger.info('peer-link-down', { peer: link.member.id, reason })
  }
  const dialer = createDialer({ transport, clock, runLink: (socket, to) => runSocket(socket, true, to) })

  /** Resolves when the dialled link is established or has failed. */
  const dial = (member: MemberRecord): Promise<Link | undefined> => new Promise(resolve => {
    const settle = (): void => {
      dispose()
      const link = links.get(member.id)?.link
      if (link === undefined) dialFailedAtMs.set(member.id, clock.monotonic())
      pendingDials.delete(member.id)
      resolve(link)
    }
    const dispose = connected.add(up => { if (up.id === member.id) settle() })
    inBackground('dial-once', dialer.dialOnce(member).finally(settle))
  })
  const linkTo = async (memberId: string): Promise<Link | undefined> => {
    const openLink = links.get(memberId)
    if (openLink !== undefined) {
      openLink.lastUsedMs = clock.monotonic()
      return openLink.link
    }
    const member = knownMembers.find(candidate => candidate.id === memberId)
    // Neighbours are dialled anyway; a further dial would only race with that.
    if (member === undefined || neighbours.has(memberId)) return undefined
    const pendingDial = pendingDials.get(memberId) ?? dial(member)
    pendingDials.set(memberId, pendingDial)
    return await pendingDial
  }
  const isReachable = (memberId: string): boolean => {
    if (memberId === self.id || links.has(memberId)) return true
    if (neighbours.has(memberId) || !knownMembers.some(member => member.id === memberId)) return false
    return clock.monotonic() - (dialFailedAtMs.get(memberId) ?? -Infinity) > UNREACHABLE_RETENTION_MS
  }
  const closeIdleLinks = (): void => [...links.values()]
    .filter(({ link, isDialledHere }) => isDialledHere && !neighbours.has(link.member.id))
    .filter(({ lastUsedMs }) => clock.monotonic() - lastUsedMs > IDLE_LINK_TIMEOUT_MS)
    .forEach(({ link }) => link.close('idle'))
  const forwardToNeighbours = (message: GossipMessage, except?: string): void => [...links.values()]
    .filter(({ link }) => neighbours.has(link.member.id) && link.member.id !== except)
    .forEach(({ link }) => link.notify(gossipNotice.kind, message))
  dispatch.listen(gossipNotice, (message, from) => {
    if (message.origin.incarnation === self.incarnation || !gossip.isNew(message)) return
    forwardToNeighbours(message, from.id)
    dispatch.handleNotice(message.kind, message.body, message.origin)
  })
  const isFullMesh = (): boolean => neighbours.size >= knownMembers.length - 1
  const notifyAll: Peers['notifyAll'] = (notice, body) => {
    closeIdleLinks()
    if (isFullMesh()) [...links.values()].forEach(({ link }) => link.notify(notice.kind, body))
    else forwardToNeighbours(gossip.wrap(self, notice.kind, body))
  }
  const notifyLinked: Peers['notifyLinked'] = (memberIds, notice, body) => {
    const frame = encodeFrame({ type: 'notice', kind: notice.kind, body })
    memberIds.forEach(id => links.get(id)?.link.sendEncoded(frame))
  }
  const setMembers = (records: readonly MemberRecord[]): void => {
    knownMembers = [...records.filter(record => record.id !== self.id), self].sort((left, right) => left.id < right.id ? -1 : 1)
    neighbours = neighboursOf(self.id, orderOnRing(knownMembers.map(member => member.id)))
    dialer.setTargets(knownMembers.filter(member => neighbours.has(member.id) && self.id < member.id))
    const ids = new Set(knownMembers.map(member => member.id))
    misaddressed.forEach((_, id) => { if (!ids.has(id)) misaddressed.delete(id) })
    changed.emit()
  }
  const call: Peers['call'] = async (memberId, peerCall, body, callOptions) => {
    type Answer = Result<never, PeerError>
    if (memberId === self.id) return await dispatch.handleCall(peerCall.kind, body, self) as Answer
    const startedMs = clock.monotonic()
    const timeoutMs = callOptions?.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS
    // A peer that accepts connections and says nothing would hold the call for longer than its caller waits.
    const link = await withTimeout(clock, timeoutMs, linkTo(memberId))
    if (link === undefined || link === TIMED_OUT) return Err({ kind: 'not-connected', message: `No link to ${memberId}.` })
    const answer = await link.call(peerCall.kind, body, { timeoutMs: timeoutMs - (clock.monotonic() - startedMs) })
    return checkAnswer(peerCall, answer, memberId, options.inputs)
  }
  const notifyOnce = async (memberId: string, kind: string, body: unknown): Promise<void> => {
    const link = await linkTo(memberId)
    link?.notify(kind, body)
  }
  const notify: Peers['notify'] = (memberId, notice, body) => { inBackground('notify', notifyOnce(memberId, notice.kind, body)) }

  const accept: Record<PeerProtocol, (socket: Socket) => unknown> = {
    link: socket => runSocket(socket, false),
    tunnel: socket => options.onTunnel === undefined ? socket.destroy() : options.onTunnel(socket)
  }
  const server = transport.createServer(socket => detectProtocol(socket, clock, protocol => accept[protocol](socket)))
  return {
    self,
    members: () => knownMembers,
    isConnected: isReachable,
    call,
    notify,
    notifyLinked,
    notifyAll,
    serve: dispatch.serve,
    listen: dispatch.listen,
    onMembersChanged: changed.add,
    onConnected: connected.add,
    setMembers,
    linkStateOf: memberId => {
      if (memberId === self.id || links.has(memberId)) return 'linked'
      return neighbours.has(memberId) ? 'unlinked' : 'none'
    },
    connectOnce: peerAddress => dialer.dialOnce({ peerAddress }),
    start: () => listenOn(server, self.peerAddress, clock, logger),
    close: async () => {
      dialer.close()
      const open = [...[...links.values()].map(({ link }) => link), ...lingering]
      open.forEach(link => link.goodbye())
      server.close()
    }
  }
}
