/**
 * The product's entry server in a separate process, with its real relay, checks and outcomes. Its dependencies (store,
 * peers, routing) are fakes, so that the benchmark measures only the data path.
 */
import { createEngineClient, createConnectionPools } from '../../packages/magnoliabay/src/node/backend'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import { resolveSettings } from '../../packages/magnoliabay/src/node/config'
import { createEntryServer } from '../../packages/magnoliabay/src/node/entry'
import type { EntryServerOptions } from '../../packages/magnoliabay/src/node/entry'
import { createLogger } from '../../packages/magnoliabay/src/node/logger'
import { createMetrics } from '../../packages/magnoliabay/src/node/metrics'
import { Ok } from '../../packages/magnoliabay/src/node/result'

interface StartMessage {
  entryPort: number
  engines: readonly string[]
}

export interface Usage {
  cpuMicros: number
  rss: number
}

async function start ({ entryPort, engines }: StartMessage): Promise<void> {
  const clock = createSystemClock()
  const address = (port: number): string => `127.0.0.1:${port}`
  const settings = resolveSettings({
    instance: { id: 'bench', site: 's', region: 'r', failureDomain: 'z', entryAddress: address(entryPort), peerAddress: address(1), operatorAddress: address(2) },
    platform: { store: ['http://127.0.0.1:1'], instanceList: 'http://127.0.0.1:1/' }
  })
  let acquiredCount = 0
  const entry = createEntryServer({
    settings,
    cfg: { model: () => ({}), adapter: () => undefined, team: () => ({ allow: ['*'] }), service: () => undefined },
    keyring: { authenticate: () => Ok({ team: 'bench', keyId: 'k' }), onWithdrawn: () => () => {} },
    allowance: { reserve: async (team: string, tokens: number) => Ok({ team, tokens }), settle: () => {}, homeMembers: () => [] },
    queue: { acquire: async () => Ok({ release: () => {} }) },
    report: { recordRequest: () => {} },
    routing: {
      inFlight: () => 0,
      acquireReplica: async () => {
        acquiredCount += 1
        return Ok({ replica: { engine: 'e', address: engines[acquiredCount % engines.length]! }, release: () => {} })
      }
    },
    directory: { services: () => [] },
    idempotencyClaims: {},
    connectionPools: createConnectionPools(null),
    engineClient: createEngineClient(),
    peers: { self: { leaving: false }, members: () => [], listen: () => {}, notifyAll: () => {}, serve: () => {} },
    clock,
    logger: createLogger({ level: 'error' }),
    metrics: createMetrics(),
    isReady: () => true
  } as unknown as EntryServerOptions)
  await entry.start()
  process.send?.({ ready: true })
}

function usage (): Usage {
  (globalThis as { gc?: () => void }).gc?.()
  const { user, system } = process.cpuUsage()
  return { cpuMicros: user + system, rss: process.memoryUsage().rss }
}

process.on('message', (message: StartMessage | 'usage') => {
  if (message === 'usage') process.send?.(usage())
  else start(message).catch(() => process.exit(1))
})
