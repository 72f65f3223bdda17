/** HTTP endpoints for the readiness check of the platform and for address resolution by callers. */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import { listenOn } from '../http/listen'
import { createServer } from 'node:http'
import type { RequestListener, ServerResponse } from 'node:http'
import polka from 'polka'

/** How long callers may cache a resolution, seconds: short, so that callers soon stop using an instance that leaves. */
const RESOLUTION_TTL_SECONDS = 2
const MAX_ADDRESSES = 64

export interface DiscoveryOptions {
  clock: Clock
  logger: Logger
  readinessAddress: string
  resolutionAddress: string
  isReady: () => boolean
  /** Addresses that callers from a failure domain should use, best first. */
  addressesFor: (failureDomain: string | undefined) => readonly string[]
  maxResolutionTtlMs: number
}

export interface Discovery {
  start (): Promise<void>
  close (): void
}

function sendJson (res: ServerResponse, status: number, body: object): void {
  res.writeHead(status, { 'content-type': 'application/json' })
  res.end(JSON.stringify(body))
}

export function createDiscovery (options: DiscoveryOptions): Discovery {
  const { clock, logger, isReady, addressesFor } = options
  const ttlSeconds = Math.min(RESOLUTION_TTL_SECONDS, options.maxResolutionTtlMs / 1000)
  const readinessApp = polka().get('/-/readiness', (_req, res) => sendJson(res, isReady() ? 200 : 503, {}))
  const resolutionApp = polka().get('/-/resolution', (req, res) => {
    const addresses = addressesFor(req.query.zone as string | undefined).slice(0, MAX_ADDRESSES)
    if (addresses.length === 0) return sendJson(res, 503, {})
    sendJson(res, 200, { addresses, 'ttl-s': ttlSeconds })
  })
  const readiness = createServer(readinessApp.handler as RequestListener)
  const resolution = createServer(resolutionApp.handler as RequestListener)
  return {
    start: async () => {
      await Promise.all([listenOn(readiness, options.readinessAddress, clock, logger), listenOn(resolution, options.resolutionAddress, clock, logger)])
    },
    close: () => {
      [readiness, resolution].forEach(server => {
        server.close()
        server.closeIdleConnections()
      })
    }
  }
}
