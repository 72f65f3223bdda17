/**
 * Faults and call counts of the key-value stand-in, shared by its server and the direct store.
 */
import { createFaultSwitches } from '../faults'
import type { DownMode, FaultSwitches } from '../faults'

export interface KvFaults {
  /** Cuts existing watches as well. */
  down: DownMode
  /** Delay of every call before it takes effect, milliseconds. */
  slowMs: number
  /** Calls take effect, then the connection is cut instead of answering. */
  loseAnswers: boolean
  /** Setting it silences the watches open at that moment permanently; later ones work. */
  watchSilent: boolean
  /** Setting it silences every connection open at that moment permanently; later ones work. */
  silentConnections: boolean
}

export type KvCallKind = 'reads' | 'writes' | 'watches' | 'leases'
export type KvCallCounts = Record<KvCallKind, number>

export interface KvCallCounter {
  count (caller: string, kind: KvCallKind): void
  /** Returns the counts so far, by caller. */
  byCaller (): Readonly<Record<string, KvCallCounts>>
  /** Returns the counts so far over all callers. */
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
      const callerCounts = counts.get(caller) ?? zeroCounts()
      callerCounts[kind] += 1
      counts.set(caller, callerCounts)
    },
    byCaller: () => Object.fromEntries(counts),
    total: () => [...counts.values()].reduce((sum, callerCounts) => {
      CALL_KINDS.forEach(kind => { sum[kind] += callerCounts[kind] })
      return sum
    }, zeroCounts())
  }
}

function zeroCounts (): KvCallCounts {
  return { reads: 0, writes: 0, watches: 0, leases: 0 }
}
