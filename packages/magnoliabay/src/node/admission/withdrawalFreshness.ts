/**
 * Whether this instance still hears of withdrawals.
 *
 * An instance that reaches neither the store nor any peer, or that has just woken from a long pause,
 * doesn't know which keys have been withdrawn meanwhile, and would let their holders in for as long
 * as it is cut off. It stops admitting after {@link CUT_OFF_MS}, and starts again once a peer or the store has
 * told it everything that it missed.
 */
import type { Clock } from '../clock'
import { repeat } from '../clock'
import type { Peers } from '../members'

/** How often the instance makes sure that it hears of withdrawals, in milliseconds. */
const CONTACT_PERIOD_MS = 2000
/** Without contact for this long nobody is admitted, in milliseconds. */
export const CUT_OFF_MS = 10_000

export interface ContactOptions {
  peers: Peers
  clock: Clock
  /** Catches up with a peer; false when it doesn't answer. */
  syncWith: (memberId: string) => Promise<boolean>
  /** Catches up with the store; false when it doesn't answer. */
  readStore: () => Promise<boolean>
}

export interface Contact {
  /** Whether what is known here is recent enough to admit callers. */
  isRecent (): boolean
  /** To be called when the store has sent everything. */
  noteHeard (): void
  start (signal: AbortSignal): void
}

export function createContact (options: ContactOptions): Contact {
  const { peers, clock, syncWith, readStore } = options
  let heardAtMs = -Infinity
  let turn = 0

  /** Another peer each time, so that news also spreads by way of those that got it. */
  const nextPeer = (): string | undefined => {
    const connected = peers.members().filter(member => member.id !== peers.self.id && peers.isConnected(member.id))
    turn += 1
    return connected[turn % connected.length]?.id
  }
  const keepContact = async (): Promise<void> => {
    const startedMs = clock.monotonic()
    const peer = nextPeer()
    const isHeard = (peer !== undefined && await syncWith(peer)) || await readStore()
    if (isHeard) heardAtMs = startedMs
  }
  return {
    isRecent: () => clock.monotonic() - heardAtMs <= CUT_OFF_MS,
    noteHeard: () => { heardAtMs = clock.monotonic() },
    start: signal => { repeat(clock, CONTACT_PERIOD_MS, signal, keepContact) }
  }
}
