/**
 * Keeps which software versions the servers of each service have had in the platform's store, so that the history outlives a
 * restart of all instances. A version is recorded before streams begin at its servers beside another one, and stays recorded
 * for as long as its streams may be resumed.
 */
import * as v from 'valibot'
import { inBackground } from '../../background'
import { sleep } from '../../clock'
import type { Clock } from '../../clock'
import { STORE_KEY_PREFIX } from '../../constants'
import { checkInput, count } from '../../inputs'
import type { InputMonitor } from '../../inputs'
import type { Logger } from '../../logger'
import { rankHomeInstances } from '../../members'
import type { Peers } from '../../members'
import type { KeyValue, RangeResult, Store, WatchEvent, WriteOperation } from '../../store'
import { parseJson, stableHash } from '../../utils'
import { LAST_ORDER_KEY } from '../placement/leaderRecords'
import type { ServerList } from '../serverList'
import type { ServingConfigProvider } from '../servingConfigProvider'
import type { BackendServer } from '../types'
import { createLostMembers } from './lostMembers'
import { createPriorVersions } from './priorVersions'
import type { PriorVersion } from './priorVersions'
import { RETURN_MS, keepMsOf, versionOf } from './softwareVersions'
import type { KnownVersion, ServiceVersion, SoftwareVersions } from './softwareVersions'
import { createVersionWrites } from './versionWrites'

const PREFIX = `${STORE_KEY_PREFIX}/software-versions/`
/** Present once the history covers all streams that may be resumed; names the era of the store in which that was so. */
const MARKER_KEY = `${PREFIX}begun`
const VERSIONS_PREFIX = `${PREFIX}of/`
/** Open streams of the earlier version are recorded within this time of a further one being listed, milliseconds. */
const RECORD_DELAY_MS = 500
/** Random delay for each member before a write that one of them has to make, and its maximum, milliseconds. */
const DELAY_PER_MEMBER_MS = 5
const MAX_RANDOM_DELAY_MS = 2000
/** Streams begin at a version that the store does not take after this time, milliseconds: its servers would stay idle. */
const MAX_GATE_MS = 15_000
/** A stream is resumed before the history has been read only if that takes longer than this after the start, milliseconds. */
const READ_TIMEOUT_MS = 1500
/** A version that is not listed stays recorded for longer than its streams may be resumed by this, milliseconds. */
const LEASE_MARGIN_MS = 30_000
const MAX_LEASE_MS = 600_000
const CHECK_INTERVAL_MS = RETURN_MS
const MAX_CACHED_KEYS = 1000

const versionSchema = v.object({ service: v.string(), softwareVersion: v.string(), isListed: v.boolean() })
const markerSchema = v.object({ era: count })

type StoredVersion = v.InferOutput<typeof versionSchema>

export interface VersionHistory {
  /** Resolves once the history has been read, or this instance has waited long enough for it. */
  whenRead (): Promise<void>
  /** Whether this instance knows all versions that servers have had within this time, by the history or since it was there itself. */
  coversAll (withinMs: number): boolean
  /** Whether streams that may be resumed may begin at the server: its version is recorded, or no usable server has a recorded one. */
  mayBegin (server: BackendServer): boolean
  /** The only version at which streams of the service began before another was listed. */
  priorOf (service: string): PriorVersion
  /** Reads and writes the history until `signal` aborts. */
  start (signal: AbortSignal): void
}

export interface VersionHistoryOptions {
  store: Pick<Store, 'watch' | 'grantLease'> & {
    /** Rises whenever the store has been restored from an older copy. */
    era (): number
  }
  /** Reads and writes records, through a peer where the store does not respond here. */
  recordStore: Pick<Store, 'get' | 'transact'>
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'onMembersChanged' | 'onConnected'>
  versions: SoftwareVersions
  servers: Pick<ServerList, 'all' | 'usable' | 'isKnown' | 'onChanged' | 'notifyChanged'>
  cfg: Pick<ServingConfigProvider, 'current'>
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean
  /** Whether changes of the list of servers reach this instance. */
  isListCurrent: () => boolean
  /** @default refused entries are logged only */
  inputs?: Pick<InputMonitor, 'recordRefused'>
  clock: Clock
  logger: Logger
  /** Returns a number from 0 to below 1. */
  random: () => number
}

/** What the first snapshot of the history has told. */
interface FirstRead {
  /** Whether it names all versions that servers had while a stream began that may be resumed. */
  isComplete: boolean
  /** Whether the store has not been restored from an older copy since. */
  isCurrent: boolean
}

const hashOf = (text: string): string => stableHash(text).toString(36)
/** Keys by service and version: a hash for each server and request would take a noticeable share of the processor. */
function createKeys (): (version: ServiceVersion) => string {
  const keys = new Map<string, string>()
  return ({ service, softwareVersion }) => {
    const name = `${service}\0${softwareVersion}`
    const key = keys.get(name) ?? `${VERSIONS_PREFIX}${hashOf(service)}/${hashOf(softwareVersion)}`
    if (keys.size >= MAX_CACHED_KEYS) keys.clear()
    keys.set(name, key)
    return key
  }
}

export function createVersionHistory (options: VersionHistoryOptions): VersionHistory {
  const { store, recordStore, peers, versions, servers, cfg, isListCurrent, clock, logger, random } = options
  const startedMs = clock.monotonic()
  const startedUnixMs = clock.now()
  const keyOf = createKeys()
  const lostMembers = createLostMembers({ peers, clock })
  /** Versions in the store as known here, by key. */
  const stored = new Map<string, StoredVersion>()
  /** Versions that another instance may have put under a lease since, by key. */
  const doubtful = new Set<string>()
  /** Versions that have left and that the store has lost while their streams may be resumed, by key. */
  const lost = new Set<string>()
  /** Keys without the expected form. */
  const unreadable = new Set<string>()
  let first: FirstRead | undefined
  let marker: { era: number } | undefined
  /** Era of the last snapshot. */
  let readEra = 0
  let signal = AbortSignal.abort()
  let cancelCheck: (() => void) | undefined
  let resolveRead: () => void = () => {}
  const firstRead = new Promise<void>(resolve => { resolveRead = resolve })

  /** Longest time for which a stream may be resumed; infinite while the routes are not known. */
  const longestKeepMs = (): number => cfg.current() === undefined ? Infinity : Math.max(0, ...cfg.current()!.routes.filter(({ isResumable }) => isResumable).map(keepMsOf))
  const hasObserved = (withinMs: number): boolean => versions.observedMs() >= withinMs
  const coversAll = (withinMs: number): boolean => first?.isComplete === true || hasObserved(withinMs)
  /** Whether this instance may vouch for the history as the store has it. */
  const isSure = (): boolean => (first?.isComplete === true && first.isCurrent) || hasObserved(longestKeepMs())
  const priors = createPriorVersions({ versions, longestKeepMs, isCertain: () => isSure() && !isContradicted(), lostSince: lostMembers.since, clock })

  const isRecordedKey = (key: string): boolean => stored.get(key)?.isListed === true && !doubtful.has(key)
  const isRecorded = (version: ServiceVersion): boolean => isRecordedKey(keyOf(version))
  const isRecordedVersionOf = (server: BackendServer): boolean => isRecorded({ service: server.service, softwareVersion: versionOf(server) })
  const hasRecordedServer = (service: string): boolean => servers.usable(service).some(isRecordedVersionOf)
  /** Whether it is for this instance to write what any instance could. */
  const isWriter = (): boolean => rankHomeInstances(peers, PREFIX).find(member => member === peers.self.id || peers.isConnected(member)) === peers.self.id
  const randomDelayMs = (): number => isWriter() ? 0 : random() * Math.min(MAX_RANDOM_DELAY_MS, peers.members().length * DELAY_PER_MEMBER_MS)

  const parse = <Schema extends v.GenericSchema>(schema: Schema, { key, value }: Pick<KeyValue, 'key' | 'value'>): v.InferOutput<Schema> | undefined => {
    const checked = checkInput(schema, parseJson(value))
    if (checked.ok) return checked.val
    unreadable.add(key)
    options.inputs?.recordRefused('store-value', { key }, checked.val.message)
    return undefined
  }
  const read = (entry: Pick<KeyValue, 'key' | 'value'>): void => {
    unreadable.delete(entry.key)
    doubtful.delete(entry.key)
    lost.delete(entry.key)
    if (entry.key === MARKER_KEY) marker = parse(markerSchema, entry)
    if (!entry.key.startsWith(VERSIONS_PREFIX)) return
    const version = parse(versionSchema, entry)
    if (version === undefined) stored.delete(entry.key)
    else stored.set(entry.key, version)
  }
  const remove = (key: string): void => {
    if (key === MARKER_KEY) marker = undefined
    unreadable.delete(key)
    stored.delete(key)
  }

  const writes = createVersionWrites({
    store,
    recordStore,
    leaseMs: () => Math.min(MAX_LEASE_MS, longestKeepMs() + LEASE_MARGIN_MS),
    onStored: (key, value) => read({ key, value }),
    onLeaseDoubtful: key => doubtful.add(key),
    onEnd: (end, isLeased) => {
      // Requests may wait for servers of the version.
      if (end === 'stored' && !isLeased) servers.notifyChanged()
      update()
    },
    clock,
    logger,
    signal: () => signal
  })
  const writeVersion = ({ service, softwareVersion }: ServiceVersion, isListed: boolean): void => {
    const key = keyOf({ service, softwareVersion })
    const isFurther = isListed && hasRecordedServer(service)
    writes.start(key, {
      valueOf: () => JSON.stringify({ service, softwareVersion, isListed }),
      isLeased: !isListed,
      delayMs: (isFurther ? RECORD_DELAY_MS : 0) + randomDelayMs(),
      isDue: () => needsWrite(key, isListed) && versions.all().some(each => keyOf(each) === key && each.isListed === isListed)
    })
  }
  const needsWrite = (key: string, isListed: boolean): boolean => isListed ? !isRecordedKey(key) : stored.get(key)?.isListed === true || lost.has(key)
  /** The marker follows the versions: with it the history counts as whole. */
  const writeMarkerIfDue = (): void => {
    const isDue = (): boolean => marker?.era !== store.era() && readEra === store.era() && isSure()
    if (writes.hasPending() || !isDue()) return
    writes.start(MARKER_KEY, { valueOf: () => JSON.stringify({ era: store.era() }), isLeased: false, delayMs: randomDelayMs(), isDue })
  }
  const isGone = ({ isListed, unlistedMs }: KnownVersion): boolean => !isListed && unlistedMs >= RETURN_MS
  const update = (): void => {
    if (first === undefined || signal.aborted || !servers.isKnown()) return
    priors.update()
    const known = versions.all()
    known.filter(each => each.isListed && needsWrite(keyOf(each), true)).forEach(each => writeVersion(each, true))
    writeMarkerIfDue()
    if (known.some(({ isListed }) => !isListed) || marker?.era !== store.era() || unreadable.size > 0) scheduleCheck()
  }
  /** Lets the store drop versions that have left, once no stream of theirs can be resumed. */
  const check = (): void => {
    cancelCheck = undefined
    const gone = versions.all().filter(each => isGone(each) && needsWrite(keyOf(each), false))
    if (!isWriter()) gone.forEach(each => doubtful.add(keyOf(each)))
    else if (isListCurrent()) gone.forEach(each => writeVersion(each, false))
    if (isWriter() && isSure()) removeUnreadable()
    update()
  }
  const removeUnreadable = (): void => {
    if (unreadable.size === 0) return
    const deletes = [...unreadable].map((key): WriteOperation => ({ kind: 'delete', key }))
    unreadable.clear()
    inBackground('remove-unreadable-versions', recordStore.transact({ compares: [], writes: deletes }, { priority: 'ownership' }))
  }
  const scheduleCheck = (): void => {
    if (signal.aborted) return
    cancelCheck ??= clock.schedule(CHECK_INTERVAL_MS, check)
  }

  const begin = (entries: RangeResult['entries']): FirstRead => {
    const hasEntries = marker !== undefined || stored.size > 0 || unreadable.size > 0
    // A program that kept no history may have served before.
    const hasEarlierLife = entries.some(({ key }) => key === LAST_ORDER_KEY) && !options.isFirstStart
    const isNew = !hasEntries && !hasEarlierLife
    return { isComplete: isNew || (marker !== undefined && unreadable.size === 0), isCurrent: isNew || marker?.era === store.era() }
  }
  /** Whether servers have run for so long that the history should name their version, or that streams began there without it. */
  const isContradicted = (): boolean => {
    const services = new Set([...stored.values()].map(({ service }) => service))
    const isMissing = (server: BackendServer): boolean => services.has(server.service) && !stored.has(keyOf({ service: server.service, softwareVersion: versionOf(server) }))
    const latestMs = startedUnixMs - Math.min(MAX_GATE_MS, longestKeepMs())
    // A server without a start time says nothing of it.
    return servers.all().some(server => server.bornMs > 0 && server.bornMs < latestMs && isMissing(server))
  }
  const applyFirst = (entries: RangeResult['entries']): void => {
    first = begin(entries)
    const earlier = [...stored.values()]
    logger.info('software-versions-read', { ...first, versions: earlier.map(({ service, softwareVersion }) => `${service} ${softwareVersion}`), afterMs: Math.round(clock.monotonic() - startedMs) })
    versions.addEarlier(earlier)
    priors.begin(earlier, startedMs)
    resolveRead()
  }
  /** A store restored from an older copy may lack versions that came and left after the copy was made. */
  const writeLost = (): void => {
    const missing = versions.all().filter(each => !each.isListed && each.unlistedMs < longestKeepMs() && !stored.has(keyOf(each)))
    lost.clear()
    missing.forEach(each => lost.add(keyOf(each)))
    missing.forEach(each => writeVersion(each, false))
  }
  const onSnapshot = ({ entries }: RangeResult): void => {
    stored.clear()
    unreadable.clear()
    marker = undefined
    readEra = store.era()
    entries.filter(({ key }) => key.startsWith(PREFIX)).forEach(read)
    if (first === undefined) applyFirst(entries)
    else writeLost()
    update()
  }
  const onEvent = ({ kind, key, value }: WatchEvent): void => {
    if (!key.startsWith(PREFIX)) return
    if (kind === 'put') read({ key, value })
    else remove(key)
    update()
  }
  servers.onChanged(update)

  return {
    coversAll,
    priorOf: priors.of,
    whenRead: async () => {
      const waitMs = startedMs + READ_TIMEOUT_MS - clock.monotonic()
      if (first === undefined && waitMs > 0) await Promise.race([firstRead, sleep(clock, waitMs)])
    },
    mayBegin: server => {
      if (first === undefined || isRecordedVersionOf(server)) return true
      const pendingMs = writes.pendingMs(keyOf({ service: server.service, softwareVersion: versionOf(server) }))
      return (pendingMs !== undefined && pendingMs > MAX_GATE_MS) || !hasRecordedServer(server.service)
    },
    start: startSignal => {
      signal = startSignal
      signal.addEventListener('abort', () => cancelCheck?.(), { once: true })
      store.watch(STORE_KEY_PREFIX, { onSnapshot, onEvent }, signal)
    }
  }
}
