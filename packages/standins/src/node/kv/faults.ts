/**
 * Faults of the key-value stand-in and the calls it counts, alike for its server and for the direct store.
 */
import { createFaultSwitches } from '../faults'
import type { DownMode, FaultSwitches } from '../faults'

export interface KvFaults {
  /** Existing watches are cut as well. */
  down: DownMode
  /** Delay of every call before it takes effect, milliseconds. */
  slowMs: number
  /** Calls take effect, then the connection is cut instead of answering. */
  loseAnswers: boolean
  /** Setting it makes the watches open at that moment silent for good; later ones work. */
  watchSilent: boolean
  /** Setting it makes every connection open at that moment silent for good; later ones work. */
  silentConnections: boolean
}

export type KvCallKind = 'reads' | 'writes' | 'watches' | 'leases'
export type KvCallCounts = Record<KvCallKind, number>

export interface KvCallCounter {
  count (caller: string, kind: KvCallKind): void
  /** Counts so far by caller. */
  byCaller (): Readonly<Record<string, KvCallCounts>>
  /** Counts so far over all callers. */
  total (): KvCallCounts
}

const CALL_KINDS: readonly KvCallKind[] = ['reads', 'writes', 'watches', 'leases']

export function createKvFaults (): FaultSwitches<KvFaults> {
  return createFaultSwitches<KvFaults>({ down: 'no', slowMs: 0, loseAnswers: false, watchSilent: false, silentConnections: false })
}

export function createKvCallCounter (): KvCallCounter {
  const counts = new Map<string, KvCallCounts>()
  return {
    count: (caller, kind) => {
      const own = counts.get(caller) ?? noCalls()
      own[kind] += 1
      counts.set(caller, own)
    },
    byCaller: () => Object.fromEntries(counts),
    total: () => [...counts.values()].reduce((sum, own) => {
      CALL_KINDS.forEach(kind => { sum[kind] += own[kind] })
      return sum
    }, noCalls())
  }
}

function noCalls (): KvCallCounts {
  return { reads: 0, writes: 0, watches: 0, leases: 0 }
}
