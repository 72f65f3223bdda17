/** The users' platform on loopback: its store with a configuration, engines of two software versions, and settings of instances. */
import { createKvState, createMetadataStoreServer, createPlatformEngine } from '@magnoliabay/standins'
import type { KvState, MetadataStoreServer, PlatformEngine } from '@magnoliabay/standins'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import { HOST, freePorts } from './freePorts'

export const STREAM_PATH = '/stream/1'
export const STREAM_HEADERS: Readonly<Record<string, string>> = { host: 'site.example', 'x-magnoliabay-model': 'm1', 'x-magnoliabay-token-usage': '100,40', 'x-magnoliabay-deadline-ms': '15000' }
export const FAILURE_DOMAINS = ['zone-a', 'zone-b', 'zone-c']

const SERVICE = 'llm'
const MODEL = 'm1'
/** A model that no engine has: requests for it make the leader give orders. */
export const RARE_MODEL = 'm2'
/** Two engines of each version: one may be lost. */
const VERSIONS = ['v1', 'v1', 'v1.1', 'v1.1']

/** A plain service, whose servers the run adds. */
export const PLAIN_SERVICE = 'desk'
export const READ_PATH = '/read/1'
export const WRITE_PATH = '/write/1'
/** A stream of the plain service that cannot go on after a break. */
export const TELL_PREFIX = '/tell/'
/** A stream of the plain service that may go on at another server. */
export const FOLLOW_PREFIX = '/follow/'

const DEFAULT_PLAIN_TIMEOUT_MS = 5000
const DEFAULT_STREAM_TIMEOUT_MS = 15_000
const plainRoute = (name: string, kind: string, timeoutMs: number): object => ({ name, hostname: 'site.example', prefix: `/${name}/`, 'route-kind': kind, 'timeout-ms': timeoutMs, 'target-latency-ms': 500, priority: 0, service: PLAIN_SERVICE, 'max-attempts': 2, anonymous: true })

const createConfig = (timeoutMs: number, streamTimeoutMs: number) => ({
  version: 1,
  routes: [plainRoute('read', 'idempotent', timeoutMs), plainRoute('write', 'non_idempotent', timeoutMs), { ...plainRoute('tell', 'streaming', timeoutMs), 'gap-target-ms': 300 }, { ...plainRoute('follow', 'streaming', timeoutMs), 'gap-target-ms': 300, resumable: true }, { name: 'r1', hostname: 'site.example', prefix: '/stream/', 'route-kind': 'streaming', 'timeout-ms': streamTimeoutMs, 'target-latency-ms': 1000, priority: 0, service: SERVICE, 'max-attempts': 2, anonymous: true, resumable: true, 'gap-target-ms': 300 }],
  services: [{ name: PLAIN_SERVICE, 'connection-limit': 300 }, { name: SERVICE, 'connection-limit': 300, engine: { slots: 64, 'kv-cache-tokens': 100_000, 'weights-mb': 1000, 'adapter-capacity': 0, 'loads-per-s': 2, models: [MODEL, RARE_MODEL].map(name => ({ name, 'weights-mb': 100, 'load-time-s': 1 })) } }],
  limits: { 'max-header-bytes': 16_384, 'max-body-bytes': 1_048_576, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000 }
})

export interface PlatformSite {
  store: KvState
  storeServer: MetadataStoreServer
  /** Servers of the one store; instances use them in turn. */
  storeServers: readonly MetadataStoreServer[]
  engines: readonly PlatformEngine[]
  /** Adds an engine under an id of its own. */
  startEngine (softwareVersion: string): Promise<PlatformEngine>
  /** Returns the settings file of an instance, with ports that are free now. */
  settingsOf (index: number): Promise<{ text: string, entryAddress: string, peersAddress: string, readyUrl: string }>
  /** Writes the next version of the configuration. */
  changeConfig (): void
  close (): Promise<void>
}

export interface PlatformSiteOptions {
  /** Software versions of the engines. @default two engines of each of two versions */
  softwareVersions?: readonly string[]
  /** Whether the answers of the engine with this index end with their connection. @default none do */
  endsWithConnection?: (index: number) => boolean
  /** Returns the body of a report in place of the sound one. @default reports are sound */
  spoilReport?: (sound: string) => string | undefined
  /** Returns the body of an answer to an order in place of the sound one. @default they are sound */
  spoilOrderAnswer?: (sound: string) => string | undefined
  /** Timeout of the routes of the plain service. @default 5000 */
  plainTimeoutMs?: number
  /** Timeout of the route of streams, milliseconds. @default 15000 */
  streamTimeoutMs?: number
  /** Events of a stream. @default the engine's own */
  events?: number
  /** Time between events, milliseconds. @default the engine's own */
  gapMs?: number
  /** Number of servers of the store. @default 1 */
  storeServerCount?: number
}

export async function createPlatformSite ({ softwareVersions = VERSIONS, endsWithConnection = () => false, spoilReport, spoilOrderAnswer, plainTimeoutMs = DEFAULT_PLAIN_TIMEOUT_MS, streamTimeoutMs = DEFAULT_STREAM_TIMEOUT_MS, events, gapMs, storeServerCount = 1 }: PlatformSiteOptions = {}): Promise<PlatformSite> {
  const clock = createSystemClock()
  const state: KvState = createKvState({ clock })
  const storeServers = await Promise.all(Array.from({ length: storeServerCount }, () => createMetadataStoreServer({ state, clock })))
  const config = createConfig(plainTimeoutMs, streamTimeoutMs)
  let { version } = config
  const writeConfig = (): void => { state.transact({ compares: [], success: [{ kind: 'put', key: 'op/config', value: JSON.stringify({ ...config, version }), leaseId: '0' }], failure: [] }) }
  writeConfig()
  const createEngine = (softwareVersion: string, index: number): Promise<PlatformEngine> =>
    createPlatformEngine({ id: `engine-${index + 1}`, service: SERVICE, softwareVersion, models: [MODEL], failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!, store: state, clock, events, gapMs, endsWithConnection: endsWithConnection(index), spoilReport, spoilOrderAnswer })
  const engines = await Promise.all(softwareVersions.map(createEngine))
  let engineCount = engines.length
  return {
    store: state,
    storeServer: storeServers[0]!,
    storeServers,
    engines,
    startEngine: async softwareVersion => {
      const engine = await createEngine(softwareVersion, engineCount++)
      engines.push(engine)
      return engine
    },
    settingsOf: async index => {
      const [entry, ready, peers, resolution, metrics] = await freePorts(5)
      const text = settingsText({ index, entry: entry!, ready: ready!, peers: peers!, resolution: resolution!, metrics: metrics!, store: storeServers[index % storeServers.length]!.address })
      return { text, entryAddress: `${HOST}:${entry}`, peersAddress: `${HOST}:${peers}`, readyUrl: `http://${HOST}:${ready}/-/readiness` }
    },
    changeConfig: () => {
      version += 1
      writeConfig()
    },
    close: async () => {
      await Promise.all([...engines, ...storeServers].map(server => server.close()))
      state.close()
    }
  }
}

interface SettingsValues {
  index: number
  entry: number
  ready: number
  peers: number
  resolution: number
  metrics: number
  store: string
}

function settingsText ({ index, entry, ready, peers, resolution, metrics, store }: SettingsValues): string {
  return `node-name: "frontend-${index + 1}"
zone: "${FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]}"
region: "region-1"
ip-address: "${HOST}"
listen-addresses: { frontend: "${HOST}:${entry}", ready: "${HOST}:${ready}", control-plane: "${HOST}:${peers}", directory-service: "${HOST}:${resolution}" }
internal-port-range: [${metrics}, ${metrics}]
seed-nodes: []
bootstrap: true
bounds: { grace-period-s: 8, lease-ms: 3000, retry-budget-ratio: 1, retry-budget-slack: 1000, quota-window-s: 8, ttl_max_s: 5 }
platform: { address: "${store}", ttl-min-ms: 1000 }
`
}
