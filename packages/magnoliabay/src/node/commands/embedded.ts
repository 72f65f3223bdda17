/**
 * The embedded fleet: stand-ins for the platform and the engines, and a few instances, in one process.
 */
import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'
import type { Socket } from 'node:net'
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
import type { MemberRecord } from '../members'
import type { DialPrimitives } from '../paths'
import { decodeServerStatement } from '../platform'
import { createId } from '../utils'
import { EMBEDDED_FAILURE_DOMAINS, EMBEDDED_CONFIG_TOML, EMBEDDED_MODELS, EMBEDDED_REGION, EMBEDDED_TEAM } from './embeddedConfig'
import { addressesOf, startStandIns } from './standIns'

export interface EmbeddedFleetOptions {
  /** @default 3 */
  instances?: number
  /** First entry port; 0 takes any free ports. @default 0 */
  port?: number
  /** First port of the stand-ins; 0 takes any free ports. @default 0 */
  standInPort?: number
  /** Configuration to apply, in TOML. @default the one in embeddedConfig.ts */
  configToml?: string
  /** How an instance connects to backend servers, by its index; tests and the demo partition instances with it. @default TCP */
  dialPrimitivesOf?: (index: number, clock: Clock, self: MemberRecord) => DialPrimitives<Socket>
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
const READY_POLL_INTERVAL_MS = 50
/** Short, since an embedded fleet stops as a whole and no caller uses its addresses afterwards. */
const EMBEDDED_LOCATE_KEEP_MS = 200
const MIN_FREE_PORT = 15_000
const MAX_FREE_PORT = 32_000

export async function startEmbeddedFleet (options: EmbeddedFleetOptions): Promise<EmbeddedFleet> {
  const { logger } = options
  const clock = createSystemClock()
  const standIns = await startStandIns({ firstPort: options.standInPort, weights: options.weights })
  const { storeUrl, listUrl } = addressesOf(standIns)
  const operatorKey = createId('op')
  const store = createEtcdStore({ endpoints: [storeUrl], clock, logger })
  const list = createInstanceListClient(listUrl, clock)

  const count = options.instances ?? 3
  const ports = await chooseFreePorts(options.port ?? 0, count * 3)
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
    decodeStatement: decodeServerStatement,
    dialPrimitivesOf: options.dialPrimitivesOf === undefined ? undefined : self => options.dialPrimitivesOf!(index, clock, self),
    clock,
    logger
  }))
  await Promise.all(instances.map(instance => instance.start()))
  const operators = createOperatorClient({ address: instances[0]!.member.operatorAddress, key: operatorKey })
  await operators.applyConfig(options.configToml ?? EMBEDDED_CONFIG_TOML)
  const created = await operators.createKey(EMBEDDED_TEAM)
  await waitUntilReady(clock, instances)

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

async function waitUntilReady (clock: Clock, instances: readonly Instance[]): Promise<void> {
  while (!instances.every(instance => instance.isReady())) {
    await sleep(clock, READY_POLL_INTERVAL_MS)
  }
}

/**
 * Chooses free ports, and binds each once to check that it is free. They lie below the range that the system uses for
 * outgoing connections: otherwise a connection might take one before its instance binds it, and the start would fail.
 */
async function chooseFreePorts (first: number, count: number): Promise<number[]> {
  if (first !== 0) return Array.from({ length: count }, (_, index) => first + index)
  const chosen = new Set<number>()
  while (chosen.size < count) {
    const port = randomInt(MIN_FREE_PORT, MAX_FREE_PORT)
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
