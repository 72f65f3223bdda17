/** Helpers shared by several subsystems. */
import { createHash, randomBytes } from 'node:crypto'
import type { Server as HttpServer } from 'node:http'
import { isIPv4, isIPv6 } from 'node:net'
import type { Server } from 'node:net'

const ID_BYTES = 9

/** Returns a random, URL-safe identifier that is unique for all practical purposes. */
export function createId (prefix: string): string {
  return `${prefix}-${randomBytes(ID_BYTES).toString('base64url')}`
}

/** Returns the first 48 bits of SHA-256 as a number: the same on every instance and in every version. */
export function stableHash (text: string): number {
  return createHash('sha256').update(text).digest().readUIntBE(0, 6)
}

/**
 * Sorts candidates by rendezvous hashing for `key`. A candidate that is added or removed moves only the keys that are
 * assigned to it.
 */
export function rankByRendezvous<T> (key: string, candidates: readonly T[], idOf: (candidate: T) => string): T[] {
  return candidates
    .map(candidate => ({ candidate, weight: stableHash(`${key}\0${idOf(candidate)}`) }))
    .sort((left, right) => right.weight - left.weight)
    .map(ranked => ranked.candidate)
}

export interface HostPort {
  host: string
  port: number
}

/** Splits `ip:port`; IPv6 addresses are in brackets. */
export function parseHostPort (address: string): HostPort {
  const split = address.lastIndexOf(':')
  const host = address.slice(0, split).replace(/^\[|\]$/g, '')
  return { host, port: Number(address.slice(split + 1)) }
}

const ADDRESS = /^(?:\[([^\]]+)\]|([^[\]:]+)):(\d{1,5})$/
const MAX_PORT = 65_535

/**
 * Splits `ip:port`, as another process states it; returns undefined if no connection can be made to it. The runtime throws for
 * some such addresses, and connects to its own machine for others.
 */
export function parseAddress (address: string): HostPort | undefined {
  const [, ipv6, ipv4, digits] = ADDRESS.exec(address) ?? []
  const host = ipv6 !== undefined && isIPv6(ipv6) ? ipv6 : ipv4
  const port = Number(digits)
  if (host === undefined || (host === ipv4 && !isIPv4(host))) return undefined
  return port >= 1 && port <= MAX_PORT ? { host, port } : undefined
}

/** Stops listening and closes all connections. */
export function closeServer (server: Server & Pick<HttpServer, 'closeAllConnections'>): Promise<void> {
  return new Promise(resolve => {
    server.close(() => resolve())
    server.closeAllConnections()
  })
}

/** Returns the message of a thrown value. */
export function messageOf (err: unknown): string {
  return err instanceof Error ? err.message : String(err)
}

/** Parses JSON; returns undefined for invalid text, since records written by other processes may be damaged. */
export function parseJson (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return undefined
  }
}

/** Adds `change` to the count of `key` and removes a count that reaches zero. */
export function addCount (counts: Map<string, number>, key: string, change: number): void {
  const next = (counts.get(key) ?? 0) + change
  if (next > 0) counts.set(key, next)
  else counts.delete(key)
}
