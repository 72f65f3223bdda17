/**
 * Makes connections to backend servers: directly, or through another instance where this one has no path. Which of the two
 * is tried first follows from what is known of the path; both are tried before a server counts as unreachable.
 */
import { inBackground } from '../background'
import { sleep } from '../clock'
import type { Clock } from '../clock'
import type { MemberRecord } from '../members'
import type { ProbeResult } from '../probe'
import type { Forwarders } from './forwarders'
import type { ServerPaths } from './serverPaths'
import { DialError, toDialError } from './types'
import type { DialFailure, DialledConnection } from './types'

/** Connecting takes a round trip; the system repeats a lost first packet only after seconds. */
const CONNECT_TIMEOUT_MS = 800
/** The same where another instance can be tried afterwards, so that both fit into the time that callers allow. */
const CONNECT_TIMEOUT_WITH_FORWARDERS_MS = 300
/** Time limit of a direct connection that checks a path, milliseconds. */
const CHECK_TIMEOUT_MS = 400
const CONFIRM_TIMEOUT_MS = 250
/** Forwarding instances that are tried for one connection: those that cannot forward say so within a round trip. */
const MAX_FORWARDERS_TRIED = 8
/** Forwarding instances that may find the server silent before it counts as unreachable: one of them may be partitioned as well. */
const MAX_SILENT_FORWARDERS = 2
/** Longest time for all attempts through other instances, milliseconds. */
const FORWARD_TIMEOUT_MS = 900
/** A path is checked no more often than this, milliseconds. */
const CHECK_INTERVAL_MS = 1000
/** Time limit of a direct connection that is made for another instance, milliseconds. */
const PEER_CONNECT_TIMEOUT_MS = 300
/** Interval at which broken paths are checked, and the number that is checked each time. */
const PROBE_INTERVAL_MS = 500
const PROBES_AT_ONCE = 2
/**
 * Other servers that are tried when a path is found broken: requests would otherwise find each further broken path by being
 * lost on it. None of them reached is a partition. Bounds the connections of one round; rounds go on while they find more.
 */
const SURVEYED_PATHS = 16
/** A server that neither this instance nor another reaches is not dialled again for this long, milliseconds. */
const UNREACHED_MS = 500
/** Above this number of records, those of servers that have left are dropped with all others. */
const MAX_RECORDS = 2000

/** The primitives that the network provides. */
export interface DialPrimitives<Connection> {
  /** Rejects with a {@link DialError}. */
  connectDirectly (address: string, timeoutMs: number): Promise<Connection>
  /** Opens a connection to the server through the instance. Rejects with a {@link DialError}. */
  connectThrough (forwarder: MemberRecord, address: string): Promise<Connection>
  close (connection: Connection): void
  /**
   * Returns whether the far end of a connection that has ended was the server, and not an instance between.
   *
   * @default connections go to the server directly
   */
  confirmEnd? (connection: Connection): Promise<boolean>
}

export interface ServerDialerOptions<Connection> {
  primitives: DialPrimitives<Connection>
  paths: ServerPaths
  forwarders: Forwarders
  /** Addresses of the backend servers that are listed. */
  addresses: () => readonly string[]
  /** Counts connections through other instances. @default they are not counted */
  onForwarded?: (outcome: 'connected' | DialFailure) => void
  clock: Clock
  /** Returns a number from 0 to below 1. */
  random: () => number
}

export interface ServerDialer<Connection> {
  /** Rejects with a {@link DialError}. */
  dial (address: string): Promise<DialledConnection<Connection>>
  /** Makes a direct connection for another instance; rejects with a {@link DialError}. */
  dialForPeer (address: string): Promise<Connection>
  /** Checks the path to a server that is silent; what it shows is recorded in the paths. */
  check (address: string): void
  /** Returns whether the server accepts connections of any instance. */
  isAccepting (address: string): Promise<boolean>
  /**
   * Returns whether a connection was ended by its server, which still runs. The operating system closes the connections of a
   * process that has died as well, of the server as of an instance that forwards: a server that has died refuses
   * connections until it has restarted, and an instance is asked how the connection ended.
   */
  isEndedByServer (address: string, connection: Connection): Promise<boolean>
  /** Connects directly, once; `silent` too where this instance is known to have no path. */
  probe (address: string): Promise<ProbeResult>
  /** Ends the checks of broken paths. */
  close (): void
}

export function createServerDialer<Connection> (options: ServerDialerOptions<Connection>): ServerDialer<Connection> {
  const { primitives, paths, forwarders, clock, random } = options
  const checkedAtMs = new Map<string, number>()
  /** Monotonic milliseconds, by address. */
  const unreachedUntilMs = new Map<string, number>()
  const confirming = new Set<string>()
  const stop = new AbortController()
  let isProbing = false
  let isSurveying = false
  let lastSurveyMs = -Infinity

  const connectDirectly = async (address: string, timeoutMs: number): Promise<Connection | DialError> => {
    try {
      const connection = await primitives.connectDirectly(address, timeoutMs)
      paths.recordConnected(address)
      return connection
    } catch (err) {
      return toDialError(err)
    }
  }
  const probe = async (address: string, timeoutMs: number): Promise<DialError | undefined> => {
    const connection = await connectDirectly(address, timeoutMs)
    if (connection instanceof DialError) return connection
    primitives.close(connection)
    return undefined
  }
  const connectThrough = async (forwarder: MemberRecord, address: string): Promise<DialledConnection<Connection> | DialError> => {
    try {
      const connection = await primitives.connectThrough(forwarder, address)
      options.onForwarded?.('connected')
      return { connection, forwarder: forwarder.id }
    } catch (err) {
      const dialError = toDialError(err)
      options.onForwarded?.(dialError.failure)
      if (dialError.failure === 'no-forwarder') forwarders.recordUnable(forwarder.id)
      return dialError
    }
  }
  const dialThrough = async (address: string): Promise<DialledConnection<Connection> | DialError> => {
    const startedMs = clock.monotonic()
    let silent = 0
    let failure = new DialError('no-forwarder', 'no other instance reaches the server')
    for (const forwarder of forwarders.pick(MAX_FORWARDERS_TRIED)) {
      const result = await connectThrough(forwarder, address)
      if (!(result instanceof DialError)) return result
      if (result.failure === 'refused') return result
      if (result.failure === 'silent') {
        failure = result
        silent += 1
      }
      if (silent >= MAX_SILENT_FORWARDERS || clock.monotonic() - startedMs > FORWARD_TIMEOUT_MS) break
    }
    return failure
  }
  /** After a direct connection has failed and one through another instance has not: tries directly once more. */
  const confirmBroken = async (address: string): Promise<void> => {
    if (confirming.has(address) || paths.isBroken(address)) return
    confirming.add(address)
    const failed = await probe(address, CONFIRM_TIMEOUT_MS)
    confirming.delete(address)
    if (failed === undefined) return
    paths.recordBroken(address, failed.failure)
    inBackground('start-probing', startProbing())
    inBackground('survey', survey(failed.failure))
  }
  /** After a direct connection has failed: whether another instance reaches the server, and this one still does not. */
  const compareWithOthers = async (address: string): Promise<void> => {
    const result = await dialThrough(address)
    if (result instanceof DialError) return
    primitives.close(result.connection)
    await confirmBroken(address)
  }
  const check = async (address: string): Promise<void> => {
    const now = clock.monotonic()
    if (paths.isBroken(address) || now - (checkedAtMs.get(address) ?? -Infinity) < CHECK_INTERVAL_MS) return
    if (checkedAtMs.size > MAX_RECORDS) checkedAtMs.clear()
    checkedAtMs.set(address, now)
    if (await probe(address, CHECK_TIMEOUT_MS) !== undefined) await compareWithOthers(address)
  }
  const pickSome = (addresses: readonly string[], count: number): string[] => addresses
    .map(address => ({ address, order: random() }))
    .sort((left, right) => left.order - right.order)
    .slice(0, count)
    .map(({ address }) => address)
  /** Tries other servers after a path was found broken; where none is reached, the instance is partitioned. */
  const survey = async (failure: DialFailure): Promise<void> => {
    if (isSurveying || paths.isPartitioned()) return
    isSurveying = true
    await sleep(clock, Math.max(0, lastSurveyMs + CHECK_INTERVAL_MS - clock.monotonic()))
    lastSurveyMs = clock.monotonic()
    const others = pickSome(options.addresses().filter(other => !paths.isBroken(other)), SURVEYED_PATHS)
    const results = await Promise.all(others.map(async other => ({ other, failed: await probe(other, CHECK_TIMEOUT_MS) })))
    isSurveying = false
    const unreached = results.filter(({ failed }) => failed !== undefined)
    if (unreached.length === others.length) paths.recordPartition(failure)
    else unreached.forEach(({ other }) => { inBackground('compare-with-others', compareWithOthers(other)) })
  }
  /** Checks broken paths until none is left; without any, nothing runs. */
  const startProbing = async (): Promise<void> => {
    if (isProbing) return
    isProbing = true
    while (!stop.signal.aborted && (paths.isPartitioned() || paths.broken().length > 0)) {
      await sleep(clock, PROBE_INTERVAL_MS, stop.signal)
      const candidates = paths.isPartitioned() ? options.addresses() : paths.broken()
      const results = await Promise.all(pickSome(candidates, PROBES_AT_ONCE).map(address => probe(address, CHECK_TIMEOUT_MS)))
      if (results.every(failed => failed !== undefined)) paths.recordNoneReached()
    }
    isProbing = false
  }
  const isAccepting = async (address: string): Promise<boolean> => {
    if (!paths.isBroken(address) && await probe(address, CHECK_TIMEOUT_MS) === undefined) return true
    const forwarded = await dialThrough(address)
    if (forwarded instanceof DialError) return false
    primitives.close(forwarded.connection)
    return true
  }
  const recordUnreached = (address: string): void => {
    if (unreachedUntilMs.size > MAX_RECORDS) unreachedUntilMs.clear()
    unreachedUntilMs.set(address, clock.monotonic() + UNREACHED_MS)
  }
  const throwIfUnreached = (address: string): void => {
    if ((unreachedUntilMs.get(address) ?? -Infinity) > clock.monotonic()) throw new DialError('silent', 'neither this instance nor others reached the server a moment ago')
    unreachedUntilMs.delete(address)
  }
  const dialDirectlyFirst = async (address: string): Promise<DialledConnection<Connection>> => {
    const hasForwarders = forwarders.areThereAny()
    const direct = await connectDirectly(address, hasForwarders ? CONNECT_TIMEOUT_WITH_FORWARDERS_MS : CONNECT_TIMEOUT_MS)
    if (!(direct instanceof DialError)) return { connection: direct, forwarder: undefined }
    if (!hasForwarders) throw direct
    const forwarded = await dialThrough(address)
    if (!(forwarded instanceof DialError)) {
      inBackground('confirm-broken', confirmBroken(address))
      return forwarded
    }
    if (direct.failure === 'silent') recordUnreached(address)
    throw direct
  }

  return {
    dial: async address => {
      throwIfUnreached(address)
      if (!paths.isBroken(address)) return await dialDirectlyFirst(address)
      const forwarded = await dialThrough(address)
      if (!(forwarded instanceof DialError)) return forwarded
      const direct = await connectDirectly(address, CONNECT_TIMEOUT_WITH_FORWARDERS_MS)
      if (!(direct instanceof DialError)) return { connection: direct, forwarder: undefined }
      recordUnreached(address)
      throw forwarded
    },
    dialForPeer: async address => {
      if (paths.isBroken(address)) throw new DialError('no-forwarder', 'this instance has no path to the server')
      const direct = await connectDirectly(address, PEER_CONNECT_TIMEOUT_MS)
      if (direct instanceof DialError) throw direct
      return direct
    },
    check: address => { inBackground('check-path', check(address)) },
    isAccepting,
    isEndedByServer: async (address, connection) => (await primitives.confirmEnd?.(connection) ?? true) && await isAccepting(address),
    probe: async address => {
      if (paths.isBroken(address)) return 'silent'
      const failed = await probe(address, CHECK_TIMEOUT_MS)
      if (failed === undefined) return 'accepted'
      return failed.failure === 'refused' ? 'refused' : 'silent'
    },
    close: () => stop.abort()
  }
}
