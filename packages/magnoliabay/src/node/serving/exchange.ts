/**
 * One request on one connection to a backend server, by `node:http`: `undici` takes a reset for the end of an
 * answer that has no length, which would pass a cut answer on as whole.
 */
import { Agent, request } from 'node:http'
import type { AgentOptions, ClientRequest, IncomingHttpHeaders, IncomingMessage } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Clock } from '../clock'
import { probeAddress } from '../probe'
import { parseHostPort } from '../utils'

/** Servers that name no timeout may close an idle connection within a second; what is sent then is lost, or run unanswered. */
const DEFAULT_REUSE_TIMEOUT_MS = 300
/** Part of the stated idle time for which a connection is used again: the request must arrive before the server closes. */
const REUSE_TIMEOUT_RATIO = 0.6
/** A connection takes a round trip; one whose first packet was lost would be tried again after seconds. */
const CONNECT_TIMEOUT_MS = 800

/** A server that lives accepts within a round trip. */
const PROBE_TIMEOUT_MS = 400

export interface OutboundRequest {
  address: string
  method: string
  path: string
  /** Name and value in turn. */
  headers: readonly string[]
  body: Buffer
}

export interface ResponseHead {
  status: number
  headers: IncomingHttpHeaders
  rawHeaders: readonly string[]
}

/**
 * `whole`: the complete answer came. `unsent`: nothing of the request left this process. `broken`: anything else;
 * the request may have run.
 */
export type ExchangeEnd = 'whole' | 'unsent' | 'broken'

export interface ResponseHandler {
  onHead (head: ResponseHead): void
  onData (chunk: Buffer): void
  /** Called exactly once, last. */
  onEnd (end: ExchangeEnd, reason: string): void
}

export interface Exchange {
  /** Closes the connection; the server stops its work. */
  cancel (reason: string): void
}

function reuseTimeoutMs (keepAlive: string | undefined): number {
  const statedSeconds = /timeout=(\d+)/.exec(keepAlive ?? '')?.[1]
  return statedSeconds === undefined ? DEFAULT_REUSE_TIMEOUT_MS : Math.max(DEFAULT_REUSE_TIMEOUT_MS, Number(statedSeconds) * 1000 * REUSE_TIMEOUT_RATIO)
}

function destroySocket (this: Socket): void {
  this.destroy()
}

/** Keeps a connection only while it is sure to be good, and drops one that says something unasked. */
class KeepAliveAgent extends Agent {
  override keepSocketAlive (socket: Duplex): boolean {
    const used = socket as Socket & { _httpMessage?: { res?: IncomingMessage } }
    const keepAlive = used._httpMessage?.res?.headers['keep-alive']
    used.setTimeout(reuseTimeoutMs(keepAlive as string | undefined))
    // Bytes on an idle connection belong to no request: taken for the next answer they would reach the wrong caller.
    used.on('data', destroySocket)
    return true
  }

  override reuseSocket (socket: Duplex, req: ClientRequest): void {
    const used = socket as Socket
    used.removeListener('data', destroySocket)
    used.setTimeout(0)
    super.reuseSocket(socket, req)
  }
}

export interface Connections {
  exchange (req: OutboundRequest, sink: ResponseHandler): Exchange
  /** Whether a server accepts connections. */
  isAccepting (address: string): Promise<boolean>
  /** Drops the idle connections to an address. */
  forget (address: string): void
  close (): void
}

export function createConnections (clock: Clock): Connections {
  const agents = new Map<string, KeepAliveAgent>()
  // Half open: after the other side's end it must still be possible to ask whether that was a reset.
  const agentOf = (address: string): KeepAliveAgent => {
    const agent = agents.get(address) ?? new KeepAliveAgent({ keepAlive: true, scheduling: 'lifo', allowHalfOpen: true } as AgentOptions)
    agents.set(address, agent)
    return agent
  }
  return {
    exchange: (req, sink) => runExchange(agentOf(req.address), clock, req, sink),
    isAccepting: address => {
      const { host, port } = parseHostPort(address)
      return checkAccepting(clock, host, port)
    },
    forget: address => {
      const idle = Object.values(agents.get(address)?.freeSockets ?? {}).flatMap(sockets => sockets ?? [])
      // Only the idle ones: a server that has left the list still finishes what it runs.
      idle.forEach(socket => socket.destroy())
      agents.delete(address)
    },
    close: () => agents.forEach(agent => agent.destroy())
  }
}

/**
 * Whether a connection that ended was closed by the other side, and not reset. A reset that arrives together with the
 * last bytes reads like a proper end: the system's event loop takes a hang-up after a short read for one. Writing
 * tells them apart: a closed connection still takes bytes, one that was reset does not. An empty line is what a server
 * that should still listen has to ignore.
 */
function checkNotReset (socket: Socket): Promise<boolean> {
  return new Promise(resolve => socket.write('\r\n', err => resolve(err === undefined || err === null)))
}

/**
 * Whether a server still accepts connections. An answer without length that ends with its connection looks the same
 * whether the server is done or has died in the middle: its system closes what it leaves. A caller would get a part as
 * the whole. One that died refuses a new connection for as long as it takes to start again.
 */
async function checkAccepting (clock: Clock, host: string, port: number): Promise<boolean> {
  return await probeAddress(clock, { host, port }, PROBE_TIMEOUT_MS) === 'accepted'
}

function runExchange (agent: Agent, clock: Clock, outbound: OutboundRequest, sink: ResponseHandler): Exchange {
  const { host, port } = parseHostPort(outbound.address)
  let isSent = false
  let hasEnded = false
  let failure: string | undefined
  let response: IncomingMessage | undefined
  let isVerifying = false
  const isCompleteByFraming = (): boolean => response !== undefined && response.complete &&
    (response.headers['content-length'] !== undefined || response.headers['transfer-encoding'] !== undefined)
  /**
   * Without a length only a clean close ends an answer. A reset shows as an error; while the request is still being
   * written, the write takes the error and the answer seems to end.
   */
  const isClosedCleanly = (): boolean => failure === undefined && (req.socket?.writableLength ?? 0) === 0
  /** Set when the connection of an answer without length ends: whether it was closed, not reset. */
  let wasNotReset: Promise<boolean> = Promise.resolve(true)
  const verifyComplete = async (): Promise<boolean> => await wasNotReset && await checkAccepting(clock, host, port)
  const finish = (kind: ExchangeEnd, reason: string): void => {
    if (hasEnded) return
    hasEnded = true
    sink.onEnd(kind, reason)
  }
  const hasBody = outbound.body.length > 0
  const headers = [...outbound.headers, ...(hasBody || outbound.method !== 'GET' ? ['Content-Length', String(outbound.body.length)] : [])]
  const req = request({ host, port, agent, method: outbound.method, path: outbound.path, headers: headers as never, setHost: false })
  req.on('socket', socket => {
    socket.setNoDelay(true)
    if (!socket.connecting) {
      isSent = true
      return
    }
    const cancelTimeout = clock.schedule(CONNECT_TIMEOUT_MS, () => socket.destroy(new Error('no connection in time')))
    socket.once('connect', () => {
      isSent = true
      cancelTimeout()
    })
    socket.once('close', cancelTimeout)
  })
  req.on('error', err => {
    failure = err.message
    // Bytes after a whole answer spoil the connection, not the answer: its end is told by the answer itself.
    if (isCompleteByFraming()) return
    finish(isSent ? 'broken' : 'unsent', err.message)
  })
  req.on('response', res => {
    response = res
    const isFramed = res.headers['content-length'] !== undefined || res.headers['transfer-encoding'] !== undefined
    if (!isFramed) res.socket.prependOnceListener('end', () => { wasNotReset = checkNotReset(res.socket) })
    sink.onHead({ status: res.statusCode ?? 0, headers: res.headers, rawHeaders: res.rawHeaders })
    res.on('data', (chunk: Buffer) => { if (!hasEnded) sink.onData(chunk) })
    res.on('error', err => finish('broken', err.message))
    res.on('end', () => {
      if (isCompleteByFraming()) return finish('whole', 'answer ended')
      if (!res.complete || !isClosedCleanly()) return finish('broken', failure ?? 'answer cut')
      isVerifying = true
      verifyComplete().then(isComplete => finish(isComplete ? 'whole' : 'broken', isComplete ? 'connection closed' : 'connection reset, or server has died'))
    })
    res.on('close', () => { if (!isVerifying) finish('broken', failure ?? 'connection closed within the answer') })
  })
  req.on('close', () => {
    if (!isCompleteByFraming() && !isVerifying) finish(isSent ? 'broken' : 'unsent', failure ?? 'connection closed')
  })
  req.end(hasBody ? outbound.body : undefined)
  return {
    cancel: reason => {
      finish(isSent ? 'broken' : 'unsent', reason)
      req.destroy()
    }
  }
}
