/**
 * Sends one request on one connection to a backend server. It uses `node:http`, since `undici` treats a connection reset
 * as the end of a response without length, so that a cut response would be relayed as complete.
 */
import { Agent, request } from 'node:http'
import type { AgentOptions, ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import { reportFault, runGuarded } from '../background'
import type { Clock } from '../clock'
import { createDirectRoutes } from '../paths'
import type { ServerDialer, ServerRoutes } from '../paths'
import { watchConnectionEnd } from '../http/connectionEnd'
import type { ConnectionEnd } from '../http/connectionEnd'
import { MAX_HINT_BYTES } from '../http/boundedBody'
import { connectionOf, recordRequest } from '../http/connectionUse'
import type { ConnectionUse } from '../http/connectionUse'
import { findHeadProblem } from '../http/responseHead'
import { framingOf } from '../http/responseFraming'
import type { ResponseFraming } from '../http/responseFraming'
import type { ProbeResult } from '../probe'
import { messageOf, parseHostPort } from '../utils'

/**
 * A server that states no timeout may close an idle connection within a second. A request sent at that moment is lost, or
 * runs without a response.
 */
const DEFAULT_REUSE_TIMEOUT_MS = 300
/** Fraction of the stated idle timeout for which a connection is reused: requests must arrive before the server closes. */
const REUSE_TIMEOUT_RATIO = 0.6
/** Timers of the runtime refuse a time that is not finite, as of a header with hundreds of digits. */
const MAX_REUSE_TIMEOUT_MS = 3_600_000

export interface OutboundRequest {
  address: string
  method: string
  path: string
  /** Names and values alternate. */
  headers: readonly string[]
  body: Buffer
  /** Connections that have carried the request before. A late copy of the answer there would be taken for that to this send. @default none */
  avoidedConnections?: ReadonlySet<number>
  /** Whether it goes out on a connection that has carried no other. @default false */
  needsNewConnection?: boolean
}

export interface ResponseHead {
  status: number
  headers: IncomingHttpHeaders
  rawHeaders: readonly string[]
}

/**
 * `whole`: the response is complete. `unsent`: nothing of the request left this process. `broken`: anything else; the
 * request may have run.
 */
export type ExchangeEnd = 'whole' | 'unsent' | 'broken'

/** The connection on which a request went out. */
export interface SentOn extends ConnectionUse {
  /** Instance through which it goes; undefined for a direct connection. */
  forwarder: string | undefined
}

export interface ResponseHandler {
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  /** Called when the request goes out. */
  onSent? (sentOn: SentOn): void
  /**
   * Called when the answer cannot arrive on this connection: this instance has lost its path to the server while others still
   * have one, or the instance through which the connection goes shuts down.
   */
  onPathBroken? (): void
  /** Called with the reason when the bytes that arrive are no response. */
  onMalformed? (reason: string): void
  /** Called exactly once, after all other calls. */
  onEnd (end: ExchangeEnd, reason: string): void
}

export interface Exchange {
  /**
   * Stops reading the response. What has been received, up to the buffers of the sockets, waits there.
   * @default the exchange cannot be paused
   */
  pause? (): void
  resume? (): void
  /**
   * Whether a response without length has arrived, and it is being checked whether it is whole.
   * @default the exchange checks nothing
   */
  isBeingChecked? (): boolean
  /** Closes the connection; the server stops its work. */
  cancel (reason: string): void
}

function reuseTimeoutMs (keepAlive: string | undefined): number {
  const statedSeconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1]
  if (statedSeconds === undefined) return DEFAULT_REUSE_TIMEOUT_MS
  return Math.min(MAX_REUSE_TIMEOUT_MS, Math.max(DEFAULT_REUSE_TIMEOUT_MS, Number(statedSeconds) * 1000 * REUSE_TIMEOUT_RATIO))
}

/** Instances through which connections go; direct ones have none. */
const forwarderBySocket = new WeakMap<Socket, string>()

function destroySocket (this: Socket): void {
  this.destroy()
}

/** Reuses an idle connection only within its timeout, and drops one that receives unsolicited bytes or its end. */
class KeepAliveAgent extends Agent {
  constructor (private readonly address: string, private readonly dialer: ServerDialer<Socket>) {
    // Half-open connections allow a write after the server has ended, which shows whether the connection was reset.
    super({ keepAlive: true, scheduling: 'lifo', allowHalfOpen: true } as AgentOptions)
  }

  /** Returns nothing; the callback gets the connection once there is one, or a `DialError`. */
  override createConnection (_options: unknown, callback?: (err: Error | null, socket: Duplex) => void): undefined {
    const settle = callback as (err: Error | null, socket?: Socket) => void
    this.dialer.dial(this.address).then(({ connection, forwarder }) => {
      if (forwarder !== undefined) forwarderBySocket.set(connection, forwarder)
      settle(null, connection)
    }, settle)
    return undefined
  }

  idleSockets (): Socket[] {
    return Object.values(this.freeSockets).flatMap(sockets => sockets ?? [])
  }

  /** Runs `send`, which takes an idle connection at once or opens one, while the idle ones that match are out of its reach. */
  without<T> (isAvoided: (socket: Socket) => boolean, send: () => T): T {
    const idle = this.freeSockets as Record<string, Socket[] | undefined>
    const setAside = Object.entries(idle).map(([name, sockets]) => ({ name, avoided: sockets?.filter(isAvoided) ?? [] })).filter(({ avoided }) => avoided.length > 0)
    setAside.forEach(({ name }) => { idle[name] = idle[name]!.filter(socket => !isAvoided(socket)) })
    try {
      return send()
    } finally {
      setAside.forEach(({ name, avoided }) => { idle[name] = [...avoided, ...idle[name] ?? []] })
    }
  }

  override keepSocketAlive (socket: Duplex): boolean {
    const connection = socket as Socket & { _httpMessage?: { res?: IncomingMessage } }
    if (connection.readableEnded) return false
    const keepAlive = connection._httpMessage?.res?.headers['keep-alive']
    connection.setTimeout(reuseTimeoutMs(keepAlive as string | undefined))
    // Bytes on an idle connection belong to no request. Read as the next response they would reach the wrong caller.
    connection.on('data', destroySocket)
    // A half-open connection stays when the server ends it, and the next request on it would be lost.
    connection.on('end', destroySocket)
    return true
  }

  override reuseSocket (socket: Duplex, req: ClientRequest): void {
    const connection = socket as Socket
    connection.removeListener('data', destroySocket)
    connection.removeListener('end', destroySocket)
    connection.setTimeout(0)
    super.reuseSocket(socket, req)
  }
}

export interface Connections {
  exchange (req: OutboundRequest, handler: ResponseHandler): Exchange
  /** Returns whether a server accepts connections. */
  isAccepting (address: string): Promise<boolean>
  /** Tries once to connect directly. */
  probe (address: string): Promise<ProbeResult>
  /** Closes the idle connections to an address. */
  forget (address: string): void
  close (): void
}

/** `routes`: how servers are reached. @default direct connections only */
export function createConnections (clock: Clock, routes: ServerRoutes<Socket> = createDirectRoutes(clock)): Connections {
  const { dialer, forwarders, monitor, paths } = routes
  const agents = new Map<string, KeepAliveAgent>()
  const agentOf = (address: string): KeepAliveAgent => {
    const agent = agents.get(address) ?? new KeepAliveAgent(address, dialer)
    agents.set(address, agent)
    return agent
  }
  const agentsOf = (address: string | undefined): KeepAliveAgent[] => address === undefined ? [...agents.values()] : [agents.get(address)].filter(agent => agent !== undefined)
  const dropIdle = (address: string | undefined, mustDrop: (socket: Socket) => boolean): void => agentsOf(address)
    .flatMap(agent => agent.idleSockets())
    .filter(mustDrop)
    .forEach(socket => socket.destroy())
  paths.onChanged(({ address, isBroken, failure }) => {
    // A request on an idle connection of a silent path would be lost. Those that live on while new ones are refused end by themselves.
    if (isBroken && failure === 'silent') dropIdle(address, socket => !forwarderBySocket.has(socket))
    if (!isBroken) dropIdle(address, socket => forwarderBySocket.has(socket))
  })
  // Kept, they would hold up the end of that instance.
  forwarders.onLeaving(forwarder => dropIdle(undefined, socket => forwarderBySocket.get(socket) === forwarder))
  /**
   * The end of an instance that forwards ends all connections through it, and some of these ends are seen later than others: the
   * next attempt would be lost on an idle one. Where a server has broken the connection, another is opened.
   */
  const onBroken = (forwarder: string | undefined): void => {
    if (forwarder !== undefined) dropIdle(undefined, socket => forwarderBySocket.get(socket) === forwarder)
  }
  return {
    exchange: (req, handler) => {
      // A request on an idle connection through an instance that was switched off, or is leaving, would be lost.
      dropIdle(req.address, socket => forwarderBySocket.has(socket) && !forwarders.isUsable(forwarderBySocket.get(socket)!))
      const agent = agentOf(req.address)
      // The agent of Node may hand out a connection that was closed a moment ago, until the event of its end.
      const isAvoided = (socket: Socket): boolean => socket.destroyed || req.needsNewConnection === true || (req.avoidedConnections?.has(connectionOf(socket) ?? 0) ?? false)
      return agent.without(isAvoided, () => runExchange(agent, { dialer, monitor, onBroken }, req, handler))
    },
    isAccepting: dialer.isAccepting,
    probe: dialer.probe,
    forget: address => {
      // Connections in use stay open: a server that has left the list still finishes its requests.
      dropIdle(address, () => true)
      agents.delete(address)
      paths.forget(address)
    },
    close: () => {
      dialer.close()
      agents.forEach(agent => agent.destroy())
    }
  }
}

function isParseError (err: NodeJS.ErrnoException): boolean {
  return err.code?.startsWith('HPE_') ?? false
}

interface ExchangeRoutes extends Pick<ServerRoutes<Socket>, 'dialer' | 'monitor'> {
  /** Called when a connection, through `forwarder` or direct, has broken before the end of a response. */
  onBroken: (forwarder: string | undefined) => void
}

function runExchange (agent: Agent, { dialer, monitor, onBroken }: ExchangeRoutes, outbound: OutboundRequest, handler: ResponseHandler): Exchange {
  const { host, port } = parseHostPort(outbound.address)
  const watched = monitor.watch(outbound.address, () => handler.onPathBroken?.())
  let isSent = false
  let hasEnded = false
  let failure: string | undefined
  let response: IncomingMessage | undefined
  let framing: ResponseFraming = 'connection'
  let isVerifying = false
  let isCancelled = false
  let forwarder: string | undefined
  let wasPaused = false
  const isCompleteByFraming = (): boolean => response !== undefined && response.complete && framing !== 'connection'
  /**
   * A response without length is complete only if the connection was closed without an error. A reset is reported as an
   * error; while the request is still being written, the write consumes that error and the response appears to end.
   */
  const isClosedCleanly = (): boolean => failure === undefined && (req.socket?.writableLength ?? 0) === 0
  /** The connection has closed after the last byte of a response that was paused; the end of the response is still to be read. */
  const isEndUnread = (): boolean => wasPaused && response !== undefined && response.complete && !response.readableEnded && !response.destroyed
  /** The connection of a response that ends with it. */
  let connection: { socket: Socket, end: ConnectionEnd } | undefined
  /**
   * Returns whether a response without length is complete. Such a response ends with its connection, also when the server or
   * the instance that forwards it has crashed midway, since the operating system closes their connections; the caller would
   * get part of a response as the complete one.
   */
  const verifyComplete = async (): Promise<boolean> => connection !== undefined &&
    await connection.end.wasClosed() && await dialer.isEndedByServer(outbound.address, connection.socket)
  const finish = (kind: ExchangeEnd, reason: string): void => {
    if (hasEnded) return
    hasEnded = true
    connection?.end.stop()
    watched.end()
    if (kind === 'broken' && !isCancelled) onBroken(forwarder)
    runGuarded('exchange', () => handler.onEnd(kind, reason))
  }
  /** A fault in handling what a server sends ends its exchange: an exception in an event listener would end the process. */
  const guarded = <Args extends unknown[]>(listener: (...args: Args) => void) => (...args: Args): void => {
    try {
      listener(...args)
    } catch (err) {
      reportFault('exchange', err)
      finish('broken', messageOf(err))
      req.destroy()
    }
  }
  const hasBody = outbound.body.length > 0
  const headers = [...outbound.headers, ...(hasBody || outbound.method !== 'GET' ? ['Content-Length', String(outbound.body.length)] : [])]
  const req = request({ host, port, agent, method: outbound.method, path: outbound.path, headers: headers as never, setHost: false })
  let bytesBefore = 0
  req.on('socket', guarded((socket: Socket) => {
    isSent = true
    bytesBefore = socket.bytesRead
    forwarder = forwarderBySocket.get(socket)
    watched.recordSent(forwarder)
    handler.onSent?.({ forwarder, ...recordRequest(socket) })
  }))
  req.on('error', guarded((err: NodeJS.ErrnoException) => {
    failure = err.message
    if (isParseError(err) && !hasEnded) handler.onMalformed?.(err.message)
    // Bytes after a complete response make the connection unusable but leave the response valid: its framing marks its end.
    if (isCompleteByFraming()) return
    finish(isSent ? 'broken' : 'unsent', err.message)
  }))
  const failMalformed = (problem: string): void => {
    handler.onMalformed?.(problem)
    finish('broken', problem)
    req.destroy()
  }
  req.on('information', guarded(() => {
    if (!hasEnded && (req.socket?.bytesRead ?? 0) - bytesBefore > MAX_HINT_BYTES) failMalformed('informational responses without end')
  }))
  req.on('response', guarded((res: IncomingMessage) => {
    response = res
    const problem = findHeadProblem(res.statusCode ?? 0, res.rawHeaders)
    if (problem !== undefined) return failMalformed(problem)
    framing = framingOf(outbound.method, res.statusCode ?? 0, res.headers)
    if (framing === 'connection') connection = { socket: res.socket, end: watchConnectionEnd(res.socket) }
    watched.recordActivity()
    handler.onHead({ status: res.statusCode ?? 0, headers: res.headers, rawHeaders: res.rawHeaders })
    res.on('data', guarded((chunk: Buffer) => {
      watched.recordActivity()
      watched.recordBegun()
      if (!hasEnded) handler.onData(chunk)
    }))
    res.on('error', err => finish('broken', err.message))
    res.on('end', guarded(() => {
      if (isCompleteByFraming()) return finish('whole', 'response ended')
      if (!res.complete || !isClosedCleanly()) return finish('broken', failure ?? 'response cut')
      isVerifying = true
      verifyComplete().then(
        isComplete => isComplete ? finish('whole', 'connection closed') : finish('broken', 'connection reset, or its server or forwarder has crashed'),
        (err: unknown) => finish('broken', messageOf(err))
      )
    }))
    res.on('close', () => { if (!isVerifying) finish('broken', failure ?? 'connection closed within the response') })
  }))
  req.on('close', guarded(() => {
    if (!isCompleteByFraming() && !isVerifying && !isEndUnread()) finish(isSent ? 'broken' : 'unsent', failure ?? 'connection closed')
  }))
  req.end(hasBody ? outbound.body : undefined)
  return {
    pause: () => {
      wasPaused = true
      response?.pause()
    },
    resume: () => { response?.resume() },
    isBeingChecked: () => isVerifying && !hasEnded,
    cancel: reason => {
      isCancelled = true
      finish(isSent ? 'broken' : 'unsent', reason)
      req.destroy()
    }
  }
}
