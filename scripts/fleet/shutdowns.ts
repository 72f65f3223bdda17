/**
 * Instances that shut down while requests wait, on the users' platform, as real processes: they get SIGTERM in series and
 * overlapping, SIGHUP and SIGKILL, and start again; the configuration changes in bursts; the store is away or silent; links
 * to servers are cut, so that connections go through an instance that leaves. Servers are slow, silent, full and leaving.
 * Judged by what the callers and the servers saw.
 */
import { mkdirSync, writeFileSync } from 'node:fs'
import { createSlowServer } from '@magnoliabay/standins'
import type { AnswerSchedule, SlowServer } from '@magnoliabay/standins'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import type { GuaranteeResult } from './guarantees'
import { pause, startInstance } from './platformInstances'
import type { PlatformRunOptions } from './platformInstances'
import { FAILURE_DOMAINS, FOLLOW_PREFIX, PLAIN_SERVICE, TELL_PREFIX, createPlatformSite } from './platformSite'
import type { PlatformSite } from './platformSite'
import { createRandom } from './random'
import type { Random } from './random'
import { callInstance, sendSignal, startLife } from './shutdownCallers'
import type { Life, ShutdownCall } from './shutdownCallers'
import { GRACE_MS, judgeShutdowns } from './shutdownVerdicts'

const NODE_OPTIONS = ['--import', './scripts/fleet/serverLinks.mjs']
const SERVERS_HOST = '127.0.0.2'
const MIN_SERVERS = 2
const MAX_SERVERS = 5
const RUN_MS = 13_000
const MEAN_CALL_INTERVAL_MS = 45
const MAX_FAULT_PAUSE_MS = 1200
const ROUTE_TIMEOUTS_MS = [9000, 14_000, 20_000]
/** Callers use the address of an instance for this long after its SIGTERM. */
const ADDRESS_USE_MS = 6000
/** Kinds of servers in a run: with few, there are runs in which all servers are slow, or silent. */
const MAX_KINDS = 3
/** Longer than any route's timeout. */
const NEVER_MS = 60_000
/** After the last process has ended: by then servers have begun or dropped what still waits there. */
const SETTLE_MS = 1000

interface ServerKind {
  slots: number
  schedule: (random: Random) => AnswerSchedule
}

const MANY_SLOTS = 64
const answerAfter = (minMs: number, maxMs: number) => (random: Random): AnswerSchedule => {
  const bodyMs = minMs + random.below(maxMs - minMs)
  return { headMs: bodyMs, bodyMs, gapMs: 20 + random.below(300) }
}
const SERVER_KINDS: readonly ServerKind[] = [
  { slots: MANY_SLOTS, schedule: answerAfter(0, 300) },
  { slots: MANY_SLOTS, schedule: answerAfter(1000, 6000) },
  { slots: MANY_SLOTS, schedule: answerAfter(GRACE_MS, 2 * GRACE_MS) },
  { slots: MANY_SLOTS, schedule: answerAfter(NEVER_MS, 2 * NEVER_MS) },
  { slots: MANY_SLOTS, schedule: random => ({ headMs: random.below(300), bodyMs: random.pick([3000, GRACE_MS, NEVER_MS]), gapMs: 100 }) },
  { slots: 2, schedule: answerAfter(300, 2500) }
]

interface Backend {
  server: SlowServer
  /** Its entry says that it drains; later it has no entry, and its process ends. */
  leave (drainMs: number): Promise<void>
}

async function startBackend (id: string, { slots, schedule }: ServerKind, { store }: PlatformSite, random: Random): Promise<Backend> {
  const server = await createSlowServer({ id, host: SERVERS_HOST, clock: createSystemClock(), slots, chooseSchedule: () => schedule(random), isStream: path => path.startsWith(TELL_PREFIX) || path.startsWith(FOLLOW_PREFIX) })
  const key = `servers/${id}`
  const entry = { service: PLAIN_SERVICE, address: server.address, zone: random.pick(FAILURE_DOMAINS), version: 'v1', slots: random.pick([slots, MANY_SLOTS]), born: Date.now(), sequence: 0 }
  const list = (state: 'ready' | 'draining'): void => { store.transact({ compares: [], success: [{ kind: 'put', key, value: JSON.stringify({ ...entry, state }), leaseId: '0' }], failure: [] }) }
  list('ready')
  return {
    server,
    leave: async drainMs => {
      list('draining')
      await pause(drainMs)
      store.transact({ compares: [], success: [{ kind: 'delete', range: { key } }], failure: [] })
      await server.close()
    }
  }
}

export async function runShutdowns ({ seed, instances: count, directory }: PlatformRunOptions): Promise<GuaranteeResult[]> {
  mkdirSync(directory, { recursive: true })
  const random = createRandom(seed)
  const timeoutMs = random.pick(ROUTE_TIMEOUTS_MS)
  const site = await createPlatformSite({ softwareVersions: ['v1'], plainTimeoutMs: timeoutMs })
  const kinds = Array.from({ length: 1 + random.below(MAX_KINDS) }, () => random.pick(SERVER_KINDS))
  const run = { isOver: false }
  const servers: SlowServer[] = []
  const lives: Life[] = []
  const injected: string[] = []
  const startServer = async (): Promise<Backend> => {
    const backend = await startBackend(`slow-${servers.length + 1}`, random.pick(kinds), site, random)
    servers.push(backend.server)
    return backend
  }
  const start = async (index: number): Promise<Life> => {
    const life = startLife({ name: `frontend-${index + 1}`, ...await startInstance(site, index, directory, NODE_OPTIONS) })
    lives.push(life)
    return life
  }
  const backends = await Promise.all(Array.from({ length: MIN_SERVERS + random.below(MAX_SERVERS - MIN_SERVERS + 1) }, startServer))
  const instances = await Promise.all(Array.from({ length: count }, (_, index) => start(index)))
  const serving = (): number[] => instances.flatMap(({ termMs, exitMs }, index) => (termMs ?? exitMs) === undefined ? [index] : [])

  const waitForExit = async (life: Life): Promise<void> => {
    while (life.exitMs === undefined) {
      await pause(20)
      if (Date.now() - (life.termMs ?? Infinity) > GRACE_MS + 500) sendSignal(life, 'SIGKILL')
    }
  }
  const changeConfig = async (): Promise<void> => {
    for (let left = 1 + random.below(5); left > 0; left -= 1) {
      site.changeConfig()
      await pause(random.below(300))
    }
  }
  const end = async (signal: NodeJS.Signals): Promise<void> => {
    const index = random.pick(serving())
    const life = instances[index]
    if (life === undefined) return
    if (random.below(3) === 0) changeConfig()
    sendSignal(life, signal)
    if (random.below(3) === 0) pause(random.below(5000)).then(() => sendSignal(life, signal))
    await waitForExit(life)
    if (!run.isOver) instances[index] = await start(index)
  }
  const injecting: Array<Promise<void>> = []
  const cutLinks = async (): Promise<void> => {
    const life = random.pick(instances)
    if (life.exitMs !== undefined || life.cuts.some(({ toMs }) => toMs === Infinity)) return
    const cut = { fromMs: Date.now(), toMs: Infinity }
    life.cuts.push(cut)
    life.child.kill('SIGUSR2')
    // It may be an instance through which connections go by then.
    injecting.push(pause(500 + random.below(2500)).then(() => end('SIGTERM')))
    await pause(3000 + random.below(7000))
    life.child.kill('SIGUSR2')
    cut.toMs = Date.now()
  }
  const replaceServer = async (): Promise<void> => {
    const index = random.below(backends.length)
    const { leave } = backends[index]!
    backends[index] = await startServer()
    await leave(500 + random.below(4000))
  }
  const disturbStore = async (disturb: () => Promise<void>): Promise<void> => {
    await disturb()
    await pause(1000 + random.below(3000))
    await site.storeServer.faults.reset()
    await site.storeServer.listener.accept()
  }
  const faults: ReadonlyArray<{ name: string, weight: number, inject: () => Promise<void> }> = [
    { name: 'terminate', weight: 10, inject: () => end('SIGTERM') },
    { name: 'kill', weight: 2, inject: () => end('SIGKILL') },
    { name: 'hang up', weight: 2, inject: async () => sendSignal(random.pick(instances), 'SIGHUP') },
    { name: 'change config', weight: 2, inject: changeConfig },
    { name: 'store silent', weight: 1, inject: () => disturbStore(() => site.storeServer.faults.set({ silent: true })) },
    { name: 'store refuses', weight: 1, inject: () => disturbStore(site.storeServer.listener.refuse) },
    { name: 'cut links', weight: 4, inject: cutLinks },
    { name: 'replace server', weight: 4, inject: replaceServer }
  ]
  const weighted = faults.flatMap(fault => Array<typeof fault>(fault.weight).fill(fault))
  const injectFaults = async (): Promise<void> => {
    while (!run.isOver) {
      const fault = random.pick(weighted)
      injected.push(`${Date.now()} ${fault.name}\n`)
      injecting.push(fault.inject())
      await pause(random.below(MAX_FAULT_PAUSE_MS))
    }
    // Requests that outlive every process are open.
    await Promise.all(lives.map(async life => {
      await pause(random.below(1000))
      sendSignal(life, 'SIGTERM')
      await waitForExit(life)
    }))
    await Promise.all(injecting)
  }
  const calls: Array<Promise<ShutdownCall>> = []
  const callAll = async (): Promise<void> => {
    while (!run.isOver) {
      await pause(random.exponential(MEAN_CALL_INTERVAL_MS))
      const usable = instances.filter(({ termMs = Infinity, exitMs }) => exitMs === undefined && Date.now() - termMs < ADDRESS_USE_MS)
      if (usable.length > 0) calls.push(callInstance(random.pick(usable), `call-${calls.length}`, timeoutMs, random))
    }
  }
  try {
    const working = Promise.all([injectFaults(), callAll()])
    await pause(RUN_MS)
    run.isOver = true
    await working
    await pause(SETTLE_MS)
    writeFileSync(`${directory}/faults.log`, injected.join(''))
    return judgeShutdowns(await Promise.all(calls), servers.flatMap(server => server.runs()), lives, timeoutMs)
  } finally {
    run.isOver = true
    lives.forEach(life => sendSignal(life, 'SIGKILL'))
    await Promise.all(servers.map(server => server.close()))
    await site.close()
  }
}
