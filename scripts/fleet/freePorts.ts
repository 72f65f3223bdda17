/** Finds ports on loopback for processes that have to be told theirs. */
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

export const HOST = '127.0.0.1'

/** Returns ports that are free now; another process may take one before it is used. */
export async function freePorts (count: number): Promise<number[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>(resolve => {
    const server = createServer()
    server.listen(0, HOST, () => resolve(server))
  })))
  const ports = servers.map(server => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return ports
}
