/** Peer links by TLS, both sides showing a certificate of the peers' authority. */
import { connect, createServer } from 'node:tls'
import type { TLSSocket } from 'node:tls'
import type { Logger } from '../logger'
import type { PeerTransport } from '../members/transport'
import type { Certificates } from './certificates'

export interface TlsTransportOptions {
  certificates: Certificates
  logger: Logger
}

export function createTlsTransport ({ certificates, logger }: TlsTransportOptions): PeerTransport {
  /** A refused peer dials again twice a second: each reason is told once for each address. */
  const told = new Map<string, string>()
  const tellRefused = (address: string, reason: string): void => {
    if (told.get(address) === reason) return
    if (told.size >= MAX_ADDRESSES_TOLD) told.clear()
    told.set(address, reason)
    logger.warn('peer-refused', { address, reason })
  }
  return {
    dial: ({ host, port, timeout }) => {
      const socket = connect({
        host,
        port,
        timeout,
        ...certificates.current(),
        // Instances are replaced at any address: what counts is that the peers' own authority signed it.
        checkServerIdentity: () => undefined
      })
      socket.on('error', err => { if (isOfTls(err)) tellRefused(`${host}:${port}`, err.message) })
      return socket
    },
    createServer: onSocket => {
      const server = createServer({ ...certificates.current(), requestCert: true, rejectUnauthorized: true }, onSocket)
      certificates.onChanged(texts => server.setSecureContext(texts))
      server.on('tlsClientError', (err: Error, socket: TLSSocket) => tellRefused(socket.remoteAddress ?? 'unknown', err.message))
      return server
    }
  }
}

const MAX_ADDRESSES_TOLD = 1000

/** Errors of the handshake, and not of a connection that was never made. */
function isOfTls (err: NodeJS.ErrnoException): boolean {
  return err.code?.startsWith('ERR_SSL') === true || err.code?.startsWith('ERR_TLS') === true ||
    ['DEPTH_ZERO_SELF_SIGNED_CERT', 'SELF_SIGNED_CERT_IN_CHAIN', 'UNABLE_TO_VERIFY_LEAF_SIGNATURE', 'CERT_HAS_EXPIRED', 'UNABLE_TO_GET_ISSUER_CERT_LOCALLY'].includes(err.code ?? '')
}
