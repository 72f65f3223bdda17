/** Peer links over mutual TLS: both sides present a certificate signed by the peers' certificate authority. */
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
  /** Last logged reason by address. A refused peer dials again twice a second; an unchanged reason is not logged again. */
  const loggedReasons = new Map<string, string>()
  const logRefused = (address: string, reason: string): void => {
    if (loggedReasons.get(address) === reason) return
    if (loggedReasons.size >= MAX_LOGGED_ADDRESSES) loggedReasons.clear()
    loggedReasons.set(address, reason)
    logger.warn('peer-refused', { address, reason })
  }
  return {
    dial: ({ host, port, timeout }) => {
      const socket = connect({
        host,
        port,
        timeout,
        ...certificates.current(),
        // A replaced instance may get any address, so only the signature of the peers' certificate authority is checked.
        checkServerIdentity: () => undefined
      })
      socket.on('error', err => { if (isTlsError(err)) logRefused(`${host}:${port}`, err.message) })
      return socket
    },
    createServer: onSocket => {
      const server = createServer({ ...certificates.current(), requestCert: true, rejectUnauthorized: true }, onSocket)
      certificates.onChanged(contents => server.setSecureContext(contents))
      server.on('tlsClientError', (err: Error, socket: TLSSocket) => logRefused(socket.remoteAddress ?? 'unknown', err.message))
      return server
    }
  }
}

const MAX_LOGGED_ADDRESSES = 1000

/** Returns whether the error is one of the TLS handshake, and not of connecting. */
function isTlsError (err: NodeJS.ErrnoException): boolean {
  return err.code?.startsWith('ERR_SSL') === true || err.code?.startsWith('ERR_TLS') === true ||
    ['DEPTH_ZERO_SELF_SIGNED_CERT', 'SELF_SIGNED_CERT_IN_CHAIN', 'UNABLE_TO_VERIFY_LEAF_SIGNATURE', 'CERT_HAS_EXPIRED', 'UNABLE_TO_GET_ISSUER_CERT_LOCALLY'].includes(err.code ?? '')
}
