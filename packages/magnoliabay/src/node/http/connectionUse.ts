/** Counts the requests that each connection to a backend server carries. */
import type { Socket } from 'node:net'

/** The connection on which a request went out. */
export interface ConnectionUse {
  /** Names the connection in this process, for logs. */
  connection: number
  /** Requests that the connection has carried before: late answers to these may still arrive on it. */
  priorRequests: number
}

const requestsBySocket = new WeakMap<Socket, { connection: number, requests: number }>()
let connectionCount = 0

/** Counts a request that goes out on the connection. */
export function recordRequest (socket: Socket): ConnectionUse {
  const known = requestsBySocket.get(socket) ?? { connection: connectionCount += 1, requests: 0 }
  requestsBySocket.set(socket, { ...known, requests: known.requests + 1 })
  return { connection: known.connection, priorRequests: known.requests }
}

/** Returns the name of a connection that has carried requests; undefined for a new one. */
export function connectionOf (socket: Socket): number | undefined {
  return requestsBySocket.get(socket)?.connection
}
