/**
 * Keeps blamed suspects in the platform's store, so that they outlive a restart of all instances and reach instances that are
 * cut off from the others. One instance writes for all: when a suspect is blamed, at each further crash, and when it is freed;
 * what the store has not taken is written again until it has, since a blamed suspect has no further crash that would do it.
 */
import { inBackground } from '../background'
import { STORE_KEY_PREFIX } from '../constants'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { Logger } from '../logger'
import { rankHomeInstances } from '../members'
import type { Peers } from '../members'
import type { Store, WriteOperation } from '../store'
import { parseJson, stableHash } from '../utils'
import type { Blame } from './attribution'
import type { CrashNotice, CrashRecord } from './crashRecords'
import type { Suspect } from './suspects'

const PREFIX = `${STORE_KEY_PREFIX}/crash-suspects/`
/** Bounds a stored record: the latest crashes are enough to blame the suspect. */
const MAX_STORED_CRASHES = 6
const MAX_STORED_SUSPECTS = 64
/** The platform's store accepts this many entries in a transaction. */
const MAX_WRITES = 32
/** Delay after a write that failed, milliseconds; each call of the store is priced. */
const RETRY_DELAY_MS = 2000

interface StoredCrash {
  process: string
  softwareVersion: string
  /** Unix milliseconds. */
  atMs: number
  teams: readonly string[]
  isTrial: boolean
}

interface StoredSuspect {
  suspect: Suspect
  service: string
  crashes: readonly StoredCrash[]
}

export interface CrashStore {
  /** Brings the store in line with the suspects that are blamed now, if it is for this instance to write. */
  sync (blames: readonly Blame[]): void
  /** Reads and watches what is stored until `signal` aborts. */
  start (signal: AbortSignal): void
}

export interface CrashStoreOptions {
  store: Pick<Store, 'transact' | 'watch'>
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'onMembersChanged'>
  /** Called with the crashes of a stored suspect. */
  onStored: (crashes: readonly CrashNotice[]) => void
  /** Called when another instance has removed a suspect. */
  onRemoved: (suspect: Suspect) => void
  clock: Clock
  logger: Logger
}

const keyOf = (suspect: Suspect): string => `${PREFIX}${stableHash(suspect).toString(36)}`

function isStoredSuspect (value: unknown): value is StoredSuspect {
  const { suspect, service, crashes } = (value ?? {}) as Partial<StoredSuspect>
  return typeof suspect === 'string' && typeof service === 'string' && Array.isArray(crashes) && crashes.every(({ process, atMs, teams }) => typeof process === 'string' && Number.isFinite(atMs) && Array.isArray(teams))
}

export function createCrashStore ({ store, peers, onStored, onRemoved, clock, logger }: CrashStoreOptions): CrashStore {
  /** Values in the store as known here, by key. */
  const stored = new Map<string, string>()
  let blamed: readonly Blame[] = []
  /** While a write is under way, or delayed after one that failed. */
  let isBusy = false

  const isWriter = (): boolean => rankHomeInstances(peers, PREFIX).find(member => member === peers.self.id || peers.isConnected(member)) === peers.self.id
  const toStored = (suspect: Suspect, { process, softwareVersion, atMs, candidates }: CrashRecord): StoredCrash => {
    const { teams, isTrial } = candidates.get(suspect)!
    return { process, softwareVersion, atMs: Math.round(clock.now() - (clock.monotonic() - atMs)), teams: [...teams], isTrial }
  }
  const valueOf = ({ suspect, service, crashes }: Blame): string => JSON.stringify({ suspect, service, crashes: crashes.slice(-MAX_STORED_CRASHES).map(crash => toStored(suspect, crash)) })
  /** Returns the crashes of a stored value, and which of them were trials, without their times. */
  const crashesIn = (value: string | undefined): string => {
    const parsed = value === undefined ? undefined : parseJson(value)
    return isStoredSuspect(parsed) ? parsed.crashes.map(({ process, isTrial }) => isTrial ? `trial ${process}` : process).join() : ''
  }
  /** Returns whether the store has taken the writes. */
  const write = async (writes: readonly WriteOperation[]): Promise<boolean> => {
    const result = await store.transact({ compares: [], writes }, { priority: 'ownership' })
    if (result.err) {
      logger.info('crash-suspects-not-stored', { writes: writes.length, reason: result.val.kind })
      // A write without a response may yet be done, so that it has to be removed in case the suspect is freed.
      if (result.val.kind === 'unknown') writes.forEach(({ kind, key }) => { if (kind === 'put') stored.set(key, '') })
      return false
    }
    writes.forEach(operation => {
      if (operation.kind === 'put') stored.set(operation.key, operation.value)
      else stored.delete(operation.key)
    })
    return true
  }
  const missingWrites = (): WriteOperation[] => {
    const kept = blamed.slice(0, MAX_STORED_SUSPECTS)
    const wanted = new Map(kept.map(blame => [keyOf(blame.suspect), valueOf(blame)]))
    // Times differ slightly between instances; only another crash, or one that turns out to be a trial's, is a reason to write.
    const puts = [...wanted].filter(([key, value]) => crashesIn(stored.get(key)) !== crashesIn(value)).map(([key, value]): WriteOperation => ({ kind: 'put', key, value }))
    const deletes = [...stored.keys()].filter(key => !wanted.has(key)).map((key): WriteOperation => ({ kind: 'delete', key }))
    return [...puts, ...deletes]
  }
  const writeMissing = async (writes: readonly WriteOperation[]): Promise<void> => {
    isBusy = true
    if (!await write(writes)) await sleep(clock, RETRY_DELAY_MS)
    isBusy = false
    sync()
  }
  const sync = (): void => {
    const isIdle = blamed.length === 0 && stored.size === 0
    if (isBusy || isIdle || !isWriter()) return
    const writes = missingWrites().slice(0, MAX_WRITES)
    if (writes.length > 0) inBackground('store-crash-suspects', writeMissing(writes))
  }
  // The instance that wrote for all may have ended before it had written.
  peers.onMembersChanged(sync)

  const read = (key: string, value: string): void => {
    const parsed = parseJson(value)
    if (!isStoredSuspect(parsed)) return logger.warn('crash-suspect-unreadable', { key })
    stored.set(key, value)
    const { suspect, service, crashes } = parsed
    onStored(crashes.map(({ process, softwareVersion, atMs, teams, isTrial }) => ({
      process,
      service,
      softwareVersion,
      ageMs: Math.max(0, clock.now() - atMs),
      candidates: [{ suspect, teams, sentBeforeMs: 0, isTrial, isCleared: false }]
    })))
  }
  const removed = (key: string): void => {
    const parsed = parseJson(stored.get(key) ?? '')
    stored.delete(key)
    if (isStoredSuspect(parsed)) onRemoved(parsed.suspect)
  }
  return {
    sync: blames => {
      blamed = blames
      sync()
    },
    start: signal => store.watch(PREFIX, {
      // What is missing from a snapshot may have been lost with a copy of the store, and is written again.
      onSnapshot: ({ entries }) => {
        stored.clear()
        entries.forEach(({ key, value }) => read(key, value))
        sync()
      },
      onEvent: ({ kind, key, value }) => kind === 'put' ? read(key, value) : removed(key)
    }, signal)
  }
}
