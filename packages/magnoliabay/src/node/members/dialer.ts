/** Dials the members that this one has to connect to, again after each failure, until they are no longer targets. */
import { inBackground } from '../background'
import { setMaxListeners } from 'node:events'
import type { Socket } from 'node:net'
import { sleep } from '../clock'
import type { Clock } from '../clock'
import { parseAddress } from '../utils'
import type { MemberRecord } from './record'
import type { PeerTransport } from './transport'

const REDIAL_DELAY_MS = 500
const DIAL_TIMEOUT_MS = 2000

/** Without an id, any member is meant that is found at the address. */
export type DialTarget = Pick<MemberRecord, 'peerAddress'> & Partial<Pick<MemberRecord, 'id'>>

export interface Dialer {
  /** Dials these members from now on, and no others. */
  setTargets (members: readonly MemberRecord[]): void
  /** Dials once; resolves when the connection has ended, or at once if none can be made to the address. */
  dialOnce (member: DialTarget): Promise<void>
  /** Stops dialling. Established links stay open. */
  close (): void
}

export interface DialerOptions {
  transport: PeerTransport
  clock: Clock
  /** Runs a link until it ends; it is meant for `to`, if that is known. */
  runLink: (socket: Socket, to: string | undefined) => Promise<void>
}

export function createDialer (options: DialerOptions): Dialer {
  const targets = new Map<string, AbortController>()
  const closed = new AbortController()
  // Each open link that was dialled on demand has one listener, which is removed when the link ends: there are up to as
  // many as peers, and more than ten are no leak.
  setMaxListeners(0, closed.signal)
  let isClosing = false

  const dial = async (member: DialTarget, signal: AbortSignal): Promise<void> => {
    const target = parseAddress(member.peerAddress)
    // The runtime throws for such an address, and whoever waits for the end of the dial would wait for ever.
    if (target === undefined) return
    const socket = options.transport.dial({ ...target, timeout: DIAL_TIMEOUT_MS })
    socket.on('timeout', () => { if (socket.connecting) socket.destroy() })
    // Removed after each run: a peer that is down for long would otherwise leave a closed socket for every dial. When
    // the process ends, an established link stays open to send its goodbye, which is the proof that others wait for.
    const onAbort = (): void => { if (!isClosing || socket.connecting) socket.destroy() }
    signal.addEventListener('abort', onAbort, { once: true })
    await options.runLink(socket, member.id)
    signal.removeEventListener('abort', onAbort)
  }
  const dialRepeatedly = async (member: MemberRecord, signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      await dial(member, signal)
      await sleep(options.clock, REDIAL_DELAY_MS, signal)
    }
  }
  const keyOf = (member: MemberRecord): string => `${member.id} ${member.peerAddress} ${member.incarnation}`

  return {
    setTargets: members => {
      const targetKeys = new Set(members.map(keyOf))
      const stale = [...targets.keys()].filter(key => !targetKeys.has(key))
      stale.forEach(key => {
        targets.get(key)?.abort()
        targets.delete(key)
      })
      members.filter(member => !targets.has(keyOf(member))).forEach(member => {
        const controller = new AbortController()
        targets.set(keyOf(member), controller)
        inBackground('dial-repeatedly', dialRepeatedly(member, controller.signal))
      })
    },
    dialOnce: member => dial(member, closed.signal),
    close: () => {
      isClosing = true
      targets.forEach(controller => controller.abort())
      targets.clear()
      closed.abort()
    }
  }
}
