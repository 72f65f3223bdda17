/**
 * Test harness: entry instances with stand-in engines, services and store, on loopback. Short timers take real
 * time; long ones (stalls, deadlines) fire only when a test advances the clock, so that a slow machine does not
 * change results.
 */
import { createStandInFleet, createDirectStore, createKvFaults } from '@magnoliabay/standins'
import type { FleetEngineOptions, KvFaults, StandInFleet } from '@magnoliabay/standins'
import type { FaultSwitches } from '@magnoliabay/standins/faults'
import { AssertionError } from 'chai'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { request } from 'undici'
import type { Caller } from '../../admission'
import { createEngineClient, createConnectionPools } from '../../backend'
import { createBackendStatements } from '../../backend/backendStatements'
import { createLeavingBackends } from '../../backend/leavingBackends'
import type { Clock } from '../../clock'
import type { ServiceConfig } from '../../config'
import { resolveSettings } from '../../config'
import type { Settings } from '../../config'
import { createCrashAttribution } from '../../crashes'
import { createRefusal } from '../../failures'
import type { Failure } from '../../failures'
import { createSilentLogger } from '../../logger'
import { createListeners } from '../../members/dispatch'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemoryNetwork } from '../../members/memoryNetwork'
import type { MemberRecord } from '../../members'
import { createMetrics } from '../../metrics'
import { createBatchWriter, createIdempotencyClaims, createRetentionLease, createForwardingWriter } from '../../once'
import { decodeServerStatement } from '../../platform'
import { Err, Ok } from '../../result'
import type { Result } from '../../result'
import { createEntryServer } from '..'
import type { EntryServer, EntryServerOptions } from '..'

const MIN_CONTROLLED_DELAY_MS = 1000
const HOST = '127.0.0.1'
const MODEL = 'm'
export const SERVICE = 'notes'
export const TEAM = 'parish'

export interface ControlledClock extends Clock {
  /** Advances the clock by `ms`, and fires the due timers among those scheduled for at least a second. */
  elapse (ms: number): void
}

export function createControlledClock (): ControlledClock {
  const pendingTimers = new Set<{ atMs: number, callback: () => void }>()
  let offsetMs = 0
  const monotonic = (): number => performance.now() + offsetMs
  return {
    now: () => Date.now() + offsetMs,
    monotonic,
    schedule: (delayMs, callback) => {
      if (delayMs < MIN_CONTROLLED_DELAY_MS) {
        const timer = setTimeout(callback, delayMs)
        return () => clearTimeout(timer)
      }
      const entry = { atMs: monotonic() + delayMs, callback }
      pendingTimers.add(entry)
      return () => pendingTimers.delete(entry)
    },
    elapse: ms => {
      offsetMs += ms
      const due = [...pendingTimers].filter(entry => entry.atMs <= monotonic())
      due.forEach(entry => {
        pendingTimers.delete(entry)
        entry.callback()
      })
    }
  }
}

export interface ClientResponse {
  status: number
  headers: Readonly<Record<string, unknown>>
  text: string
  /** Whether the connection broke before the end of the response. */
  isCut: boolean
}

export interface EntryHarnessOptions {
  /** @default 1 */
  entries?: number
  engines?: readonly FleetEngineOptions[]
  services?: readonly string[]
  limits?: Settings['limits']
  shutdown?: Settings['shutdown']
  /** Engine addresses that routing returns in place of those of the stand-ins. */
  engineAddresses?: readonly string[]
  /** Addresses of the service's servers in place of those of the stand-ins. */
  serviceAddresses?: readonly string[]
  /** Requests wait for a place at a backend server until it resolves. @default they do not wait */
  placeGate?: Promise<void>
  /** Whether an engine that broke off has crashed is known once it resolves. @default it is asked for its state */
  crashGate?: Promise<boolean>
  /** Whether all requests wait in the queue, or for a replica, until they are aborted. @default neither */
  waitsFor?: 'turn' | 'replica'
}

export interface EntryHarness {
  clock: ControlledClock
  fleet: StandInFleet
  network: MemoryNetwork
  storeFaults: FaultSwitches<KvFaults>
  entries: ReadonlyArray<{ entry: EntryServer, address: string, member: MemberRecord }>
  withdraw (keyId: string): void
  /** Calls the entry instance `index`. */
  call (index: number, path: string, body: unknown, headers?: Record<string, string>, signal?: AbortSignal): Promise<ClientResponse>
  chat (index: number, prompt: string, more?: object, headers?: Record<string, string>): Promise<ClientResponse>
  close (): Promise<void>
}

export async function createEntryHarness (options: EntryHarnessOptions = {}): Promise<EntryHarness> {
  const clock = createControlledClock()
  const fleet = await createStandInFleet({
    engines: options.engines ?? [{}, {}],
    engineDefaults: { firstTokenMs: 1, tokenMs: 0, checkpoints: { [MODEL]: 'memory' } },
    services: options.services ?? [SERVICE, SERVICE],
    weights: { loadMsPerGiB: 1 }
  })
  await Promise.all(fleet.engines.map(engine => engine.state.executeOrder({ orderId: `load-${engine.id}`, fence: 1, action: 'load', model: MODEL, memoryMiB: 8 })))
  const network = createMemoryNetwork({ clock })
  const storeFaults = createKvFaults()
  const withdrawals = createListeners<[string]>()
  const shared = { clock, fleet, network, storeFaults, withdrawals, options }
  const entries = await Promise.all(Array.from({ length: options.entries ?? 1 }, (_, index) => startEntry(shared, index)))
  const call: EntryHarness['call'] = (index, path, body, headers = {}, signal) => callAt(entries[index]!.address, path, body, headers, signal)
  return {
    clock,
    fleet,
    network,
    storeFaults,
    entries,
    withdraw: withdrawals.emit,
    call,
    chat: (index, prompt, more = {}, headers = {}) =>
      call(index, '/v1/chat/completions', { model: MODEL, messages: [{ role: 'user', content: prompt }], ...more }, headers),
    close: async () => {
      await Promise.all(entries.map(({ entry }) => entry.close(0)))
      await Promise.all(entries.map(({ stop }) => stop()))
      await fleet.close()
    }
  }
}

interface SharedFixtures {
  clock: ControlledClock
  fleet: StandInFleet
  network: MemoryNetwork
  storeFaults: FaultSwitches<KvFaults>
  withdrawals: ReturnType<typeof createListeners<[string]>>
  options: EntryHarnessOptions
}

async function startEntry (shared: SharedFixtures, index: number): Promise<{ entry: EntryServer, address: string, member: MemberRecord, stop: () => Promise<void> }> {
  const { clock, fleet, network, options } = shared
  const [entryAddress, peerAddress, operatorAddress] = await Promise.all([freeAddress(), freeAddress(), freeAddress()])
  const id = `entry-${index + 1}`
  const settings = resolveSettings({
    instance: { id, site: 's', region: 'r', failureDomain: `zone-${index % 3}`, entryAddress, peerAddress, operatorAddress },
    platform: { store: ['http://127.0.0.1:1'], instanceList: 'http://127.0.0.1:1/' },
    limits: options.limits,
    shutdown: options.shutdown
  })
  const member: MemberRecord = { id, incarnation: id, startedAtMs: 0, region: 'r', failureDomain: `zone-${index % 3}`, peerAddress, entryAddress, operatorAddress, leaving: false, processorShare: 0 }
  const peers = network.join(member)
  const store = createDirectStore(fleet.kv.state, { clock, faults: shared.storeFaults, caller: id })
  const logger = createSilentLogger()
  const lease = createRetentionLease({ store, clock, retentionSeconds: settings.once.retentionSeconds })
  const writer = createForwardingWriter({ peers, localWriter: createBatchWriter({ store, lease, clock }) })
  const pools = createConnectionPools(null)
  const engines = createEngineClient()
  const leavingBackends = createLeavingBackends({ peers, clock })
  const backendStatements = createBackendStatements({ peers, leavingBackends, decode: decodeServerStatement, clock, logger, random: () => 0 })
  const statements: EntryServerOptions['statements'] = {
    ...backendStatements,
    takePlace: async address => {
      await options.placeGate
      return await backendStatements.takePlace(address)
    }
  }
  const entry = createEntryServer({
    settings,
    cfg: createFakeConfig(),
    keyring: createFakeKeyring(shared.withdrawals),
    allowance: createFakeAllowance(network, peers),
    routing: options.waitsFor === 'replica' ? { acquireReplica: waitForAbort } as never : createFakeRouting(options.engineAddresses ?? fleet.engines.map(engine => engine.address), statements, leavingBackends),
    directory: createFakeDirectory(fleet, options.serviceAddresses),
    idempotencyClaims: createIdempotencyClaims({ store, writer, owner: id, clock, logger, inProgressTimeoutMs: 90_000 }),
    connectionPools: pools,
    engineClient: engines,
    statements,
    leavingBackends,
    crashes: createCrashAttribution({ peers, hasCrashed: async address => await options.crashGate ?? (await engines.state(address)).err, crashesToBlame: 2, clock, logger }),
    peers,
    clock,
    logger,
    metrics: createMetrics(),
    queue: { acquire: options.waitsFor === 'turn' ? waitForAbort : async () => Ok({ release: () => {} }) },
    report: { recordRequest: () => {} },
    isReady: () => true
  } as unknown as EntryServerOptions)
  await entry.start()
  return { entry, address: entryAddress, member, stop: async () => { await Promise.all([pools.close(), engines.close()]) } }
}

/** Waits like the queue and the router until the request is aborted. */
async function waitForAbort ({ signal }: { signal: AbortSignal }): Promise<Result<never, Failure>> {
  await new Promise(resolve => signal.addEventListener('abort', resolve, { once: true }))
  return Err(createRefusal('deadline_exceeded', 'The request waited until it was aborted.', 1))
}

function createFakeConfig (): Partial<EntryServerOptions['cfg']> {
  return {
    model: name => name === MODEL ? { name, memoryMiB: 8, version: '1', maxReplicas: 2 } as never : undefined,
    team: name => ({ name, allow: ['*'] }) as never,
    service: name => name === SERVICE ? { name, nonIdempotent: ['POST'] } as ServiceConfig : undefined,
    onChanged: () => () => {}
  }
}

function createFakeKeyring (withdrawals: SharedFixtures['withdrawals']): Partial<EntryServerOptions['keyring']> {
  const caller: Caller = { team: TEAM, keyId: 'key-1' }
  return { authenticate: () => Ok(caller), onWithdrawn: withdrawals.add }
}

function createFakeAllowance (_network: MemoryNetwork, peers: EntryServerOptions['peers']): EntryServerOptions['allowance'] {
  return {
    reserve: async (team: string, tokens: number) => Ok({ team, tokens }),
    settle: () => {},
    homeMembers: () => peers.members().map(member => member.id)
  } as unknown as EntryServerOptions['allowance']
}

function createFakeRouting (addresses: readonly string[], statements: EntryServerOptions['statements'], leavingBackends: EntryServerOptions['leavingBackends']): EntryServerOptions['routing'] {
  const replicas = addresses.map((address, index) => ({ engine: `engine-${index + 1}`, address }))
  return {
    inFlight: () => 0,
    acquireReplica: async ({ excludedEngines }: { excludedEngines: ReadonlySet<string> }) => {
      const replica = replicas.find(({ engine, address }) => !excludedEngines.has(engine) && statements.refusedForMs(address) === 0 && !leavingBackends.isLeaving(address))
      return replica === undefined ? Err(createRefusal('no_capacity', 'No engine is left.', 1)) : Ok({ replica, release: () => {} })
    }
  } as unknown as EntryServerOptions['routing']
}

function createFakeDirectory (fleet: StandInFleet, addresses?: readonly string[]): Partial<EntryServerOptions['directory']> {
  const servers = addresses?.map((address, index) => ({ id: `service-${index + 1}`, address, failureDomain: `zone-${index % 3}` })) ?? fleet.services
  return {
    services: name => servers
      .filter(() => name === SERVICE)
      .map(({ id, address, failureDomain }) => ({ id, role: 'service', address, failureDomain, region: 'r', status: 'live', service: name }))
  }
}

async function callAt (address: string, path: string, body: unknown, headers: Record<string, string>, signal?: AbortSignal): Promise<ClientResponse> {
  const res = await request(`http://${address}${path}`, {
    method: 'POST',
    body: typeof body === 'string' ? body : JSON.stringify(body),
    headers: { authorization: 'Bearer k', ...headers },
    signal
  })
  let text = ''
  try {
    for await (const chunk of res.body) text += String(chunk)
    return { status: res.statusCode, headers: res.headers, text, isCut: false }
  } catch {
    return { status: res.statusCode, headers: res.headers, text, isCut: true }
  }
}

async function freeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, HOST, resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return `${HOST}:${port}`
}

/** Turns of the event loop after which `waitUntil` rejects, so that a failing test ends. */
const MAX_TURNS = 2_000_000

/** Resolves when `condition` holds; rejects after `MAX_TURNS` turns of the event loop. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  for (let turn = 0; !condition(); turn += 1) {
    if (turn > MAX_TURNS) await Promise.reject(new AssertionError('the condition was never met'))
    await new Promise(resolve => setImmediate(resolve))
  }
}

export interface ErrorBody {
  error: { code: string, not_run: boolean, request_id: string, retry_after?: number }
}

/** Returns the typed error of a response, from its body or from the last event of an aborted stream. */
export function errorOf (response: ClientResponse): ErrorBody['error'] | undefined {
  const text = response.text.includes('event: error\ndata: ') ? response.text.split('event: error\ndata: ')[1]! : response.text
  try {
    return (JSON.parse(text) as ErrorBody).error
  } catch {
    return undefined
  }
}

/** Returns the completion text of a streamed or whole response. */
export function contentOf (response: ClientResponse): string {
  if (response.headers['content-type'] === 'application/json') return (JSON.parse(response.text) as { choices: Array<{ message: { content: string } }> }).choices[0]!.message.content
  return response.text.split('\n')
    .filter(line => line.startsWith('data: {') && !line.includes('"error"'))
    .map(line => (JSON.parse(line.slice('data: '.length)) as { choices: Array<{ delta: { content?: string } }> }).choices[0]?.delta.content ?? '')
    .join('')
}
