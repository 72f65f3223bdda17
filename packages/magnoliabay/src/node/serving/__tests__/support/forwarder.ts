/** Other instances that forward connections over loopback, for an instance whose own connections all fail. */
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '../../../clock'
import { createSilentLogger } from '../../../logger'
import type { MemberRecord } from '../../../members'
import { detectProtocol } from '../../../members/firstByte'
import { TCP_TRANSPORT } from '../../../members/transport'
import { DialError, connectDirectly, createForwardingServer, createServerRoutes, createSocketPrimitives } from '../../../paths'
import type { ForwardingServer, ServerRoutes } from '../../../paths'
import { memberRecord } from '../fixtures'

const DIAL_TIMEOUT_MS = 1000

/** Another instance that forwards connections. */
export interface ForwardingInstance {
  server: ForwardingServer
  /** Begins its shutdown, of which the instance without a path learns. */
  leave (): void
  /** Ends all its connections at once, as the end of its process does. */
  kill (): void
}

export interface Forwarders {
  instances: readonly ForwardingInstance[]
  /** How the instance without a path of its own reaches servers. */
  routes: ServerRoutes<Socket>
  /** Sets whether the links to the other instances are up. */
  setLinked (isLinked: boolean): void
  close (): Promise<void>
}

export type Forwarder = ForwardingInstance & Omit<Forwarders, 'instances'>

export async function startForwarder (clock: Clock, isListed: (address: string) => boolean = () => true): Promise<Forwarder> {
  const { instances, ...forwarders } = await startForwarders(clock, 1, isListed)
  return { ...instances[0]!, ...forwarders }
}

export async function startForwarders (clock: Clock, count: number, isListed: (address: string) => boolean = () => true, random: () => number = () => 0): Promise<Forwarders> {
  const self = memberRecord('self', { peerAddress: '127.0.0.1:1' })
  let isLinked = true
  let onMembersChanged = (): void => {}
  let members: MemberRecord[] = []
  const closers: Array<() => Promise<void>> = []

  const start = async (id: string): Promise<ForwardingInstance> => {
    const sockets = new Set<Socket>()
    const server = createForwardingServer({ dialForPeer: address => connectDirectly(clock, address, DIAL_TIMEOUT_MS), members: () => [self], isListed, isLeaving: () => members.find(member => member.id === id)?.leaving === true, clock })
    const listener = createServer(socket => {
      sockets.add(socket)
      detectProtocol(socket, clock, () => server.accept(socket))
    })
    await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve))
    members.push(memberRecord(id, { incarnation: `${id}-1`, peerAddress: `127.0.0.1:${(listener.address() as AddressInfo).port}` }))
    const kill = (): void => sockets.forEach(socket => socket.destroy())
    closers.push(async () => {
      kill()
      await new Promise(resolve => listener.close(() => resolve(undefined)))
    })
    return {
      server,
      leave: () => {
        members = members.map(member => member.id === id ? { ...member, leaving: true } : member)
        onMembersChanged()
      },
      kill
    }
  }
  const instances: ForwardingInstance[] = []
  for (let index = 1; index <= count; index += 1) instances.push(await start(`forwarder-${index}`))
  const routes = createServerRoutes({
    primitives: { ...createSocketPrimitives(TCP_TRANSPORT, clock, self), connectDirectly: async () => { throw new DialError('silent', 'no path') } },
    peers: { self, members: () => members, isConnected: () => isLinked, onMembersChanged: listener => { onMembersChanged = listener; return () => {} } },
    addresses: () => [],
    clock,
    logger: createSilentLogger(),
    random
  })
  return {
    instances,
    routes,
    setLinked: next => { isLinked = next },
    close: async () => { await Promise.all(closers.map(close => close())) }
  }
}
