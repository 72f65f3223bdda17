/** TLS as configured in the settings, with separate certificate files for callers, operators, peers and the store. */
import type { Clock } from '../clock'
import type { ResolvedSettings } from '../config'
import type { Logger } from '../logger'
import { TCP_TRANSPORT } from '../members/transport'
import type { PeerTransport } from '../members/transport'
import { createCertificates } from './certificates'
import type { CertificateFiles, Certificates } from './certificates'
import { createTlsTransport } from './peerTransport'

export { createCertificates } from './certificates'
export type { Certificates } from './certificates'
export { createHttpServer } from './httpServer'

export interface InstanceTls {
  callerCertificates: Certificates | undefined
  operatorCertificates: Certificates | undefined
  peerTransport: PeerTransport
  load (): Promise<void>
  start (signal: AbortSignal): void
}

export interface InstanceTlsOptions {
  settings: ResolvedSettings
  clock: Clock
  logger: Logger
}

export function createInstanceTls ({ settings, clock, logger }: InstanceTlsOptions): InstanceTls {
  const { callers, operators, peers, reloadSeconds } = settings.tls
  const createFor = (use: string, files: CertificateFiles | undefined): Certificates | undefined =>
    files === undefined ? undefined : createCertificates({ use, files, intervalMs: reloadSeconds * 1000, clock, logger })
  const forCallers = createFor('callers', callers)
  const forOperators = createFor('operators', operators)
  const forPeers = createFor('peers', peers)
  const all = [forCallers, forOperators, forPeers].filter(certificates => certificates !== undefined)
  return {
    callerCertificates: forCallers,
    operatorCertificates: forOperators,
    peerTransport: forPeers === undefined ? TCP_TRANSPORT : createTlsTransport({ certificates: forPeers, logger }),
    load: async () => { await Promise.all(all.map(certificates => certificates.load())) },
    start: signal => all.forEach(certificates => certificates.start(signal))
  }
}
