/** Addresses on loopback for tests that have to know them before they listen. */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

const OCTET = 256

/**
 * An address of this process alone: test files run in several processes at once, and the port that one of them has found free
 * may be taken by another before it listens.
 */
export const OWN_HOST = `127.${1 + Math.floor(process.pid / OCTET / OCTET) % (OCTET - 2)}.${Math.floor(process.pid / OCTET) % OCTET}.${process.pid % OCTET}`

/** All ports stay bound until the last is known; otherwise two could be the same. */
export async function freeAddresses (count: number): Promise<string[]> {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(server => new Promise<void>(resolve => server.listen(0, OWN_HOST, resolve))))
  const addresses = servers.map(server => `${OWN_HOST}:${(server.address() as AddressInfo).port}`)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return addresses
}
