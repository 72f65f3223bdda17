/** Creates an HTTP server, or an HTTPS server when there are certificates. */
import { createServer } from 'node:http'
import type { Server, ServerOptions } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { Certificates } from './certificates'

export function createHttpServer (options: ServerOptions, certificates: Certificates | undefined): Server {
  if (certificates === undefined) return createServer(options)
  const server = createTlsServer({ ...options, ...certificates.current() })
  certificates.onChanged(contents => server.setSecureContext(contents))
  return server as unknown as Server
}
