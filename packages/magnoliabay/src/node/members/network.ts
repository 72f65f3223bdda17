/**
 * Links to all peers over TCP. Of two members, the one with the lesser id dials the other.
 */
import type { Server, Socket } from 'node:net'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { Logger } from '../logger'
import { Err } from '../result'
import type { Result } from '../result'
import { parseHostPort } from '../utils'
import { createDispatch, createListeners } from './dispatch'
import { runLink } from './link'
import type { Link } from './link'
import type { PeerError, Peers } from './peers'
import type { MemberRecord } from './record'
import { PLAIN_TRANSPORT } from './transport'
import type { PeerTransport } from './transport'

const REDIAL_MS = 500
const DIAL_TIMEOUT_MS = 2000

export interface PeerNetworkOptions {
  self: MemberRecord
  clock: Clock
  logger: Logger
  /** @default TCP in plain text */
  transport?: PeerTransport
  /** A peer said that its process ends. */
  onGoodbye?: (member: MemberRecord) => void
}

export interface PeerNetwork extends Peers {
  /** Replaces the known members; links to those gone are closed, links to those new are dialled. */
  setMembers (records: readonly MemberRecord[]): void
  listen: Peers['listen']
  start (): Promise<void>
  close (): Promise<void>
}

export function createPeerNetwork (options: PeerNetworkOptions): PeerNetwork {
  const { self, clock, logger, transport = PLAIN_TRANSPORT } = options
  const dispatch = createDispatch()
  const changed = createListeners<[]>()
  const connected = createListeners<[MemberRecord]>()
  const links = new Map<string, Link>()
  const dialling = new Map<string, AbortController>()
  let known: readonly MemberRecord[] = [self]

  const run = async (socket: Socket): Promise<void> => {
    let link: Link | undefined
    const reason = await runLink({
      socket,
      self,
      clock,
      logger,
      dispatch,
      onHello: established => {
        links.get(established.member.id)?.close('replaced by a newer link')
        link = established
        links.set(established.member.id, established)
        logger.info('peer-link-up', { peer: established.member.id, incarnation: established.member.incarnation })
        connected.emit(established.member)
        return true
      },
      onGoodbye: member => options.onGoodbye?.(member)
    })
    if (link === undefined) return
    if (links.get(link.member.id) === link) links.delete(link.member.id)
    logger.info('peer-link-down', { peer: link.member.id, reason })
  }
  const keepDialling = async (member: MemberRecord, signal: AbortSignal): Promise<void> => {
    const { host, port } = parseHostPort(member.peerAddress)
    while (!signal.aborted) {
      const socket = transport.dial({ host, port, timeout: DIAL_TIMEOUT_MS })
      socket.on('timeout', () => { if (socket.connecting) socket.destroy() })
      // Taken off again after each run: a peer that is down for long would otherwise leave a dead socket for every dial.
      const cut = (): unknown => socket.destroy()
      signal.addEventListener('abort', cut, { once: true })
      await run(socket)
      signal.removeEventListener('abort', cut)
      await sleep(clock, REDIAL_MS, signal)
    }
  }
  const shouldDial = (member: MemberRecord): boolean => self.id < member.id
  const dialKey = (member: MemberRecord): string => `${member.id} ${member.peerAddress} ${member.incarnation}`

  const setMembers = (records: readonly MemberRecord[]): void => {
    known = [...records.filter(record => record.id !== self.id), self].sort((left, right) => left.id < right.id ? -1 : 1)
    const wanted = known.filter(shouldDial)
    const wantedKeys = new Set(wanted.map(dialKey))
    const stale = [...dialling.keys()].filter(key => !wantedKeys.has(key))
    stale.forEach(key => {
      dialling.get(key)?.abort()
      dialling.delete(key)
    })
    wanted.filter(member => !dialling.has(dialKey(member))).forEach(member => {
      const controller = new AbortController()
      dialling.set(dialKey(member), controller)
      keepDialling(member, controller.signal)
    })
    changed.emit()
  }
  const call: Peers['call'] = async (memberId, peerCall, body, callOptions) => {
    type Answer = Result<never, PeerError>
    if (memberId === self.id) return await dispatch.handleCall(peerCall.kind, body, self) as Answer
    const link = links.get(memberId)
    if (link === undefined) return Err({ kind: 'not-connected', message: `No link to ${memberId}.` })
    return await link.call(peerCall.kind, body, callOptions) as Answer
  }

  const server = transport.createServer(socket => { run(socket) })
  return {
    self,
    members: () => known,
    isConnected: memberId => memberId === self.id || links.has(memberId),
    call,
    notify: (memberId, notice, body) => links.get(memberId)?.notify(notice.kind, body),
    notifyAll: (notice, body) => [...links.values()].forEach(link => link.notify(notice.kind, body)),
    serve: dispatch.serve,
    listen: dispatch.listen,
    onMembersChanged: changed.add,
    onConnected: connected.add,
    setMembers,
    start: () => listenOn(server, self.peerAddress),
    close: async () => {
      [...dialling.values()].forEach(controller => controller.abort())
      const open = [...links.values()]
      open.forEach(link => link.goodbye())
      server.close()
    }
  }
}

function listenOn (server: Server, address: string): Promise<void> {
  const { host, port } = parseHostPort(address)
  return new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
}
