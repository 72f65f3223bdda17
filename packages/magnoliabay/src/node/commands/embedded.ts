/**
 * The embedded default: stand-ins for the platform and the engines, and a few instances, in one process.
 */
import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'
import type { StandInFleet, StandInFleetOptions } from '@magnoliabay/standins'
import { createSystemClock, sleep } from '../clock'
import type { Clock } from '../clock'
import { resolveSettings } from '../config'
import { createInstance } from '../instance'
import type { Instance } from '../instance'
import type { Logger } from '../logger'
import { operatorKeyDigest } from '../operators'
import { createOperatorClient } from '../operators/client'
import type { OperatorClient } from '../operators/client'
import { createEtcdStore, createInstanceListClient } from '../store'
import { createId } from '../utils'
import { EMBEDDED_FAILURE_DOMAINS, EMBEDDED_CONFIG_TOML, EMBEDDED_MODELS, EMBEDDED_REGION, EMBEDDED_TEAM } from './embeddedConfig'
import { addressesOf, startStandIns } from './standIns'

export interface EmbeddedFleetOptions {
  /** @default 3 */
  instances?: number
  /** First of the entry ports; 0 takes any free ones. @default 0 */
  port?: number
  /** First of the stand-ins' ports; 0 takes any free ones. @default 0 */
  standInPort?: number
  /** Configuration that is applied, in TOML. @default the one in embeddedFleet.ts */
  configToml?: string
  /** Speed of the weight store. @default that of its stand-in */
  weights?: StandInFleetOptions['weights']
  logger: Logger
}

export interface EmbeddedFleet {
  standIns: StandInFleet
  instances: readonly Instance[]
  entryUrls: readonly string[]
  storeUrl: string
  listUrl: string
  callerKey: string
  callerKeyId: string
  operatorKey: string
  operatorClient: OperatorClient
  models: readonly string[]
  close (): Promise<void>
}

const HOST = '127.0.0.1'
const READY_POLL_MS = 50
/** Nobody keeps addresses of an embedded fleet: it ends as a whole. */
const EMBEDDED_LOCATE_KEEP_MS = 200
const FREE_PORTS_FROM = 15_000
const FREE_PORTS_TO = 32_000

export async function startEmbeddedFleet (options: EmbeddedFleetOptions): Promise<EmbeddedFleet> {
  const { logger } = options
  const clock = createSystemClock()
  const standIns = await startStandIns({ firstPort: options.standInPort, weights: options.weights })
  const { storeUrl, listUrl } = addressesOf(standIns)
  const operatorKey = createId('op')
  const store = createEtcdStore({ endpoints: [storeUrl], clock, logger })
  const list = createInstanceListClient(listUrl)

  const count = options.instances ?? 3
  const ports = await choosePorts(options.port ?? 0, count * 3)
  const instances = Array.from({ length: count }, (_, index) => createInstance({
    settings: resolveSettings({
      instance: {
        id: `entry-${index + 1}`,
        site: 'embedded',
        region: EMBEDDED_REGION,
        failureDomain: EMBEDDED_FAILURE_DOMAINS[index % EMBEDDED_FAILURE_DOMAINS.length]!,
        entryAddress: `${HOST}:${ports[index]}`,
        peerAddress: `${HOST}:${ports[count + index]}`,
        operatorAddress: `${HOST}:${ports[2 * count + index]}`
      },
      platform: { store: [storeUrl], instanceList: listUrl },
      operators: { keyDigests: [operatorKeyDigest(operatorKey)] },
      shutdown: { locateKeepMs: EMBEDDED_LOCATE_KEEP_MS }
    }),
    store,
    list,
    clock,
    logger
  }))
  await Promise.all(instances.map(instance => instance.start()))
  const operators = createOperatorClient({ address: instances[0]!.member.operatorAddress, key: operatorKey })
  await operators.applyConfig(options.configToml ?? EMBEDDED_CONFIG_TOML)
  const created = await operators.createKey(EMBEDDED_TEAM)
  await untilReady(clock, instances)

  return {
    standIns,
    instances,
    entryUrls: instances.map(instance => `http://${instance.member.entryAddress}`),
    storeUrl,
    listUrl,
    callerKey: created.key,
    callerKeyId: created.id,
    operatorKey,
    operatorClient: operators,
    models: EMBEDDED_MODELS,
    close: async () => {
      await Promise.all(instances.map(instance => instance.shutdown()))
      await store.close()
      await standIns.close()
    }
  }
}

async function untilReady (clock: Clock, instances: readonly Instance[]): Promise<void> {
  while (!instances.every(instance => instance.isReady())) {
    await sleep(clock, READY_POLL_MS)
  }
}

/**
 * Free ports, each bound once to see that it is. They lie below those that the system gives to outgoing
 * connections: else a connection may take one before its instance binds it, and the start fails.
 */
async function choosePorts (first: number, count: number): Promise<number[]> {
  if (first !== 0) return Array.from({ length: count }, (_, index) => first + index)
  const chosen = new Set<number>()
  while (chosen.size < count) {
    const port = randomInt(FREE_PORTS_FROM, FREE_PORTS_TO)
    if (!chosen.has(port) && await isFree(port)) chosen.add(port)
  }
  return [...chosen]
}

function isFree (port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer()
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => server.close(() => resolve(true)))
  })
}
