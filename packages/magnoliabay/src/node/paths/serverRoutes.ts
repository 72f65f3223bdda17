/** Assembles what connections to backend servers need: the state of paths, the dialer, and the monitor of exchanges. */
import type { Socket } from 'node:net'
import type { Clock } from '../clock'
import { createSilentLogger } from '../logger'
import type { Logger } from '../logger'
import type { MemberRecord, Peers } from '../members'
import type { PeerTransport } from '../members/transport'
import { connectDirectly } from './connectDirectly'
import { createForwarders } from './forwarders'
import type { Forwarders } from './forwarders'
import { confirmTunnelEnd, openTunnel } from './openTunnel'
import type { Tunnel } from './openTunnel'
import type { PathMetrics } from './pathMetrics'
import { createPathMonitor } from './pathMonitor'
import type { PathMonitor } from './pathMonitor'
import { createServerDialer } from './serverDialer'
import type { DialPrimitives, ServerDialer } from './serverDialer'
import { createServerPaths } from './serverPaths'
import type { ServerPaths } from './serverPaths'
import { DialError } from './types'

export interface ServerRoutes<Connection> {
  paths: ServerPaths
  dialer: ServerDialer<Connection>
  forwarders: Pick<Forwarders, 'isUsable' | 'onLeaving'>
  monitor: PathMonitor
}

export interface ServerRoutesOptions<Connection> {
  primitives: DialPrimitives<Connection>
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'onMembersChanged'>
  /** Addresses of the backend servers that are listed. */
  addresses: () => readonly string[]
  /** Instances that are known to reach servers. @default none are known */
  preferredForwarders?: () => readonly string[]
  metrics?: Pick<PathMetrics, 'forwarded' | 'partitioned'>
  clock: Clock
  logger: Logger
  /** Returns a number from 0 to below 1. */
  random: () => number
}

export function createServerRoutes<Connection> (options: ServerRoutesOptions<Connection>): ServerRoutes<Connection> {
  const { primitives, peers, addresses, preferredForwarders, metrics, clock, logger, random } = options
  const paths = createServerPaths({ clock, logger })
  const forwarders = createForwarders({ peers, preferred: preferredForwarders, clock, random })
  const dialer = createServerDialer({ primitives, paths, forwarders, addresses, onForwarded: outcome => metrics?.forwarded.inc({ outcome }), clock, random })
  paths.onChanged(() => metrics?.partitioned.set(paths.isPartitioned() ? 1 : 0))
  return { paths, dialer, forwarders, monitor: createPathMonitor({ paths, forwarders, check: dialer.check, isAccepting: dialer.isAccepting, clock }) }
}

/** Primitives over TCP; tunnels go through the transport of peers, to which `self` names its process. */
export function createSocketPrimitives (transport: PeerTransport, clock: Clock, self: Pick<MemberRecord, 'incarnation'>): DialPrimitives<Socket> {
  const tunnels = new WeakMap<Socket, Tunnel>()
  return {
    connectDirectly: (address, timeoutMs) => connectDirectly(clock, address, timeoutMs),
    connectThrough: async (forwarder, address) => {
      const tunnel = await openTunnel(transport, clock, self, forwarder, address)
      tunnels.set(tunnel.socket, tunnel)
      return tunnel.socket
    },
    confirmEnd: async socket => {
      const tunnel = tunnels.get(socket)
      return tunnel === undefined || await confirmTunnelEnd(transport, clock, self, tunnel)
    },
    close: socket => { socket.destroy() }
  }
}

const NO_PEERS: ServerRoutesOptions<Socket>['peers'] = {
  self: { id: '', incarnation: '', startedAtMs: 0, region: '', failureDomain: '', peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0 },
  members: () => [],
  isConnected: () => false,
  onMembersChanged: () => () => {}
}

/** Routes of a process without peers: direct connections only. */
export function createDirectRoutes (clock: Clock): ServerRoutes<Socket> {
  return createServerRoutes({
    primitives: {
      connectDirectly: (address, timeoutMs) => connectDirectly(clock, address, timeoutMs),
      connectThrough: async () => { throw new DialError('no-forwarder', 'there are no other instances') },
      close: socket => { socket.destroy() }
    },
    peers: NO_PEERS,
    addresses: () => [],
    clock,
    logger: createSilentLogger(),
    random: () => 0
  })
}
