/** Instances that keep stream origins in one store, without a network, in virtual time. */
import { createDirectStore, createKvCallCounter, createKvFaults, createKvState } from '@magnoliabay/standins'
import type { FaultSwitches, KvCallCounter, KvFaults, KvState } from '@magnoliabay/standins'
import { inBackground } from '../../../../background'
import { createVirtualClock } from '../../../../clock/virtual'
import type { VirtualClock } from '../../../../clock/virtual'
import { createInputMonitor } from '../../../../inputs'
import { createLogger } from '../../../../logger'
import type { Peers } from '../../../../members'
import { createMemoryNetwork } from '../../../../members/memoryNetwork'
import type { MemoryNetwork } from '../../../../members/memoryNetwork'
import { memberRecord } from '../../../__tests__/fixtures'
import type { SegmentStore } from '../../originSegments/writer'
import { createStoredOrigins } from '../../storedOrigins'
import type { StoredLookup, StoredOrigins } from '../../storedOrigins'
import { createStreamOrigins, streamKey } from '../../streamOrigins'
import type { OriginRecord, StreamOrigins } from '../../streamOrigins'

export const KEEP_MS = 55_000
const SERVICE = 'app'
/** Longer than any lookup may take. */
const FIND_LIMIT_MS = 5000
const FIND_TICK_MS = 10

export interface OriginInstance {
  id: string
  peers: Peers
  stored: StoredOrigins
  origins: StreamOrigins
  /** Faults of this instance's calls of the store. */
  faults: FaultSwitches<KvFaults>
  /** Another software version is listed here. */
  listVersion (version: string): void
}

export interface OriginFleet {
  clock: VirtualClock
  state: KvState
  counter: KvCallCounter
  network: MemoryNetwork
  instances (): readonly OriginInstance[]
  at (id: string): OriginInstance
  /** Starts an instance that knows of these versions. */
  start (id: string, versions?: readonly string[]): OriginInstance
  kill (id: string): void
  /** Kills all instances and starts them again. */
  restartAll (): void
  /** Faults of all instances' calls of the store. */
  setFaults (changes: Partial<KvFaults>): void
  find (at: string, stream: number, team?: string): Promise<StoredLookup>
  /** Returns the software versions that the store names for these streams; `absent` or `unreadable` where it names none. */
  versionsOf (streams: readonly number[], at: string): Promise<string[]>
  logs (event: string): string[]
}

export interface OriginFleetOptions {
  instances: number
  /** Software versions that instances know of. @default two */
  versions?: readonly string[]
}

export const idAt = (index: number): string => `i${index}`

export const recordOf = (stream: number, softwareVersion = 'v1', keepMs = KEEP_MS): OriginRecord =>
  ({ key: streamKey('team', `attempt-${stream}`), service: SERVICE, softwareVersion, keepMs })

/** Calls of a process that has been killed get no answer. */
function withProcess (store: SegmentStore, isAlive: () => boolean): SegmentStore {
  const guard = <Args extends unknown[], T>(call: (...args: Args) => Promise<T>) => async (...args: Args): Promise<T> => {
    if (!isAlive()) return await new Promise<T>(() => {})
    const result = await call(...args)
    return isAlive() ? result : await new Promise<T>(() => {})
  }
  return { range: guard(store.range), transact: guard(store.transact), grantLease: guard(store.grantLease), renewLease: guard(store.renewLease), era: store.era }
}

export function createOriginFleet ({ instances: count, versions: initialVersions = ['v1', 'v1.1'] }: OriginFleetOptions): OriginFleet {
  const clock = createVirtualClock()
  const state = createKvState({ clock })
  const counter = createKvCallCounter()
  const network = createMemoryNetwork({ clock })
  const lines: string[] = []
  const logger = createLogger({ write: line => { lines.push(line) } })
  const instances = new Map<string, OriginInstance>()
  let starts = 0

  const start = (id: string, versions: readonly string[] = initialVersions): OriginInstance => {
    starts += 1
    const faults = createKvFaults()
    const direct = createDirectStore(state, { clock, counter, caller: id, faults })
    const store = withProcess({ ...direct, era: state.era }, () => instances.get(id) === instance)
    const peers = network.join(memberRecord(id, { incarnation: `${id}-${starts}`, failureDomain: 'abc'[Number(id.slice(1)) % 3]! }))
    const stored = createStoredOrigins({ store, peers, inputs: createInputMonitor(logger), clock, logger })
    const seen = new Set(versions)
    const listeners: Array<(service: string) => void> = []
    const origins = createStreamOrigins({ peers, versions: { seenWithin: () => seen, onAdded: listener => { listeners.push(listener) } }, history: { coversAll: () => false, priorOf: () => ({ kind: 'none' }) }, stored, clock, logger })
    const listVersion = (version: string): void => {
      seen.add(version)
      listeners.forEach(listener => listener(SERVICE))
    }
    const instance: OriginInstance = { id, peers, stored, origins, faults, listVersion }
    instances.set(id, instance)
    return instance
  }
  const kill = (id: string): void => {
    instances.delete(id)
    network.kill(id)
  }
  Array.from({ length: count }, (_, index) => start(idAt(index)))
  const at = (id: string): OriginInstance => instances.get(id)!
  const find = async (id: string, stream: number, team = 'team'): Promise<StoredLookup> => {
    const found: StoredLookup[] = []
    inBackground('find', at(id).stored.find(streamKey(team, `attempt-${stream}`)).then(lookup => found.push(lookup)))
    for (let passedMs = 0; found.length === 0 && passedMs < FIND_LIMIT_MS; passedMs += FIND_TICK_MS) await clock.advance(FIND_TICK_MS)
    return found[0]!
  }

  return {
    clock,
    state,
    counter,
    network,
    at,
    start,
    kill,
    find,
    instances: () => [...instances.values()],
    restartAll: () => {
      const ids = [...instances.keys()]
      ids.forEach(kill)
      ids.forEach(id => start(id))
    },
    setFaults: changes => instances.forEach(({ faults }) => inBackground('set-faults', faults.set(changes))),
    versionsOf: async (streams, id) => {
      const found: string[] = []
      for (const stream of streams) {
        const lookup = await find(id, stream)
        found.push(lookup.kind === 'found' ? lookup.origin.softwareVersion : lookup.kind)
      }
      return found
    },
    logs: event => lines.filter(line => line.includes(` event=${event} `))
  }
}
