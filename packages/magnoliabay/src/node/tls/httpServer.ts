/** An HTTP server, by TLS when there are certificates. */
import { createServer } from 'node:http'
import type { Server, ServerOptions } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { Certificates } from './certificates'

export function createHttpServer (options: ServerOptions, certificates: Certificates | undefined): Server {
  if (certificates === undefined) return createServer(options)
  const server = createTlsServer({ ...options, ...certificates.current() })
  certificates.onChanged(texts => server.setSecureContext(texts))
  return server as unknown as Server
}
