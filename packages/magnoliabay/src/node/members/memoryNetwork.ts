/**
 * Implements {@link Peers} in memory, for tests and benchmarks in virtual time. Every message is delayed; a policy
 * decides whether it is lost or duplicated.
 */
import { inBackground } from '../background'
import type { Clock } from '../clock'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { checkAnswer, createDispatch, createListeners } from './dispatch'
import type { Dispatch, Listeners } from './dispatch'
import type { PeerError, Peers } from './peers'
import type { MemberRecord } from './record'

export type MessageType = 'call' | 'reply' | 'notice'

export interface Message {
  from: string
  to: string
  kind: string
  type: MessageType
  body: unknown
}

/** Returns the delays in milliseconds after which copies arrive: none means lost, two mean duplicated. */
export type DeliveryPolicy = (message: Message) => readonly number[]

export interface MemoryNetworkOptions {
  clock: Clock
  /** @default every message arrives once, after 1 ms */
  deliveryPolicy?: DeliveryPolicy
}

export interface MemoryNetwork {
  join (member: MemberRecord): Peers
  /** Ends the member's process: it neither receives nor sends any more. */
  kill (memberId: string): void
  /** Sets whether the store holds the member's record; without it, others don't count it among the members. */
  setRegistered (memberId: string, isRegistered: boolean): void
  /** Messages between the two are lost until `heal`. */
  partition (one: string, other: string): void
  heal (one: string, other: string): void
  /** Replaces the delivery policy. */
  setDeliveryPolicy (deliveryPolicy: DeliveryPolicy): void
}

const DEFAULT_DELAY_MS = 1
const DEFAULT_CALL_TIMEOUT_MS = 1000

interface Node {
  member: MemberRecord
  dispatch: Dispatch
  changed: Listeners<[]>
  connected: Listeners<[MemberRecord]>
}

export function createMemoryNetwork (options: MemoryNetworkOptions): MemoryNetwork {
  const { clock } = options
  const nodes = new Map<string, Node>()
  const partitions = new Set<string>()
  const unregistered = new Set<string>()
  let deliveryPolicy: DeliveryPolicy = options.deliveryPolicy ?? (() => [DEFAULT_DELAY_MS])

  const pairOf = (one: string, other: string): string => [one, other].sort().join(' ')
  const isConnected = (from: string, to: string): boolean => from === to || (nodes.has(to) && !partitions.has(pairOf(from, to)))
  /** Kept until the members change: in a fleet of hundreds, sorting them for each query would take most of a test's time. */
  let sortedRecords: readonly MemberRecord[] | undefined
  const records = (): readonly MemberRecord[] => {
    sortedRecords ??= [...nodes.values()].map(node => node.member).filter(member => !unregistered.has(member.id)).sort((left, right) => left.id < right.id ? -1 : 1)
    return sortedRecords
  }
  /** Copies bodies, as a network would. */
  const transmit = (message: Message, sender: Node, deliver: (receiver: Node, body: unknown) => void): void => {
    if (!isConnected(message.from, message.to)) return
    deliveryPolicy(message).forEach(delayMs => clock.schedule(delayMs, () => {
      const receiver = nodes.get(message.to)
      if (receiver === undefined || nodes.get(message.from) !== sender || partitions.has(pairOf(message.from, message.to))) return
      deliver(receiver, structuredClone(message.body))
    }))
  }
  const sendCall = (sender: Node, to: string, kind: string, body: unknown, timeoutMs: number): Promise<Result<unknown, PeerError>> => new Promise(resolve => {
    if (!isConnected(sender.member.id, to)) return resolve(Err({ kind: 'not-connected', message: `No link to ${to}.` }))
    const cancel = clock.schedule(timeoutMs, () => resolve(Err({ kind: 'timeout', message: `No answer to ${kind} in time.` })))
    const answer = async (receiver: Node, received: unknown): Promise<void> => {
      const result = await receiver.dispatch.handleCall(kind, received, sender.member)
      const reply: Message = { from: to, to: sender.member.id, kind, type: 'reply', body: { ok: result.ok, value: result.val } }
      transmit(reply, receiver, (_sender, arrived) => {
        cancel()
        const { ok, value } = arrived as { ok: boolean, value: unknown }
        resolve(ok ? Ok(value) : Err(value as PeerError))
      })
    }
    transmit({ from: sender.member.id, to, kind, type: 'call', body }, sender, (receiver, received) => { inBackground('answer-call', answer(receiver, received)) })
  })
  const peersOf = (node: Node): Peers => {
    const self = node.member
    type Answer = Result<never, PeerError>
    const notify: Peers['notify'] = (to, notice, body) => transmit({ from: self.id, to, kind: notice.kind, type: 'notice', body }, node, (receiver, received) =>
      receiver.dispatch.handleNotice(notice.kind, received, self))
    return {
      self,
      members: records,
      isConnected: memberId => isConnected(self.id, memberId),
      call: async (to, call, body, callOptions) => {
        if (to === self.id) return await node.dispatch.handleCall(call.kind, body, self) as Answer
        return checkAnswer(call, await sendCall(node, to, call.kind, body, callOptions?.timeoutMs ?? DEFAULT_CALL_TIMEOUT_MS), to)
      },
      notify,
      notifyLinked: (memberIds, notice, body) => memberIds.forEach(to => notify(to, notice, body)),
      notifyAll: (notice, body) => records().filter(member => member.id !== self.id).forEach(member => notify(member.id, notice, body)),
      serve: node.dispatch.serve,
      listen: node.dispatch.listen,
      onMembersChanged: node.changed.add,
      onConnected: node.connected.add
    }
  }
  const emitMembersChanged = (): void => {
    sortedRecords = undefined
    nodes.forEach(node => node.changed.emit())
  }

  return {
    join: member => {
      const node: Node = { member, dispatch: createDispatch(), changed: createListeners(), connected: createListeners() }
      nodes.set(member.id, node)
      emitMembersChanged()
      nodes.forEach(other => { if (other !== node) other.connected.emit(member) })
      return peersOf(node)
    },
    kill: memberId => {
      nodes.delete(memberId)
      emitMembersChanged()
    },
    setRegistered: (memberId, isRegistered) => {
      if (isRegistered) unregistered.delete(memberId)
      else unregistered.add(memberId)
      emitMembersChanged()
    },
    partition: (one, other) => { partitions.add(pairOf(one, other)) },
    heal: (one, other) => {
      partitions.delete(pairOf(one, other))
      const ends = [nodes.get(one), nodes.get(other)]
      if (ends[0] === undefined || ends[1] === undefined) return
      ends[0].connected.emit(ends[1].member)
      ends[1].connected.emit(ends[0].member)
    },
    setDeliveryPolicy: next => { deliveryPolicy = next }
  }
}
