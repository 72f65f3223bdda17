/**
 * Requests that may run once, on the users' platform, as real processes: servers refuse, run and fail, send extra answers late
 * and bytes without end; instances are killed and paused; links to servers are cut and heal late; servers drain, and others start in their place;
 * the configuration changes. Judged by what the callers and the servers saw.
 */
import { mkdirSync, readFileSync } from 'node:fs'
import { EXTRA_ANSWERS, createLateServer, createLoopbackProxy } from '@magnoliabay/standins'
import type { Handling, KvState, LateRun, LateServer, LoopbackProxy } from '@magnoliabay/standins'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import type { GuaranteeResult } from './guarantees'
import { createKeptCaller } from './oddCallers'
import type { OddCall } from './oddCallers'
import { pause, startInstance } from './platformInstances'
import type { Instance } from './platformInstances'
import { FAILURE_DOMAINS, PLAIN_SERVICE, TELL_PREFIX, WRITE_PATH, createPlatformSite } from './platformSite'
import { createRandom } from './random'
import type { Random } from './random'

export interface RefusedTwiceOptions {
  seed: number
  instances: number
  directory: string
}

const MAX_SERVERS = 3
const SLOTS = 64
const CALLERS_PER_INSTANCE = 5
const RUN_MS = 10_000
/** The time between two faults is drawn up to this. */
const MAX_FAULT_PAUSE_MS = 900
const MAX_CUT_MS = 1200
const MAX_RUN_MS = 60
/** After the last call: what a link or a paused process still holds has arrived by then. */
const SETTLE_MS = 1500
/** Limit of a process by the platform's settings. */
const MAX_MEMORY_MB = 350
/** Answers are weighted: a fleet that mostly fails shows nothing of what follows its refusals. */
const HANDLING_WEIGHTS: Readonly<Record<Handling, number>> = {
  answer: 60, fail: 3, refuse: 20, misdirect: 4, 'break-off': 2, 'stay-silent': 0.3, 'send-garbage': 2, 'bare-refusal': 2, 'endless-refusal': 0.5, 'endless-hints': 0.3, 'endless-head': 0.3, 'endless-extension': 0.3
}
const EXTRA_RATIO = 0.4
/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503])

function chooseHandling (random: Random): Handling {
  const weights = Object.entries(HANDLING_WEIGHTS) as Array<[Handling, number]>
  let left = random.next() * weights.reduce((sum, [, weight]) => sum + weight, 0)
  return weights.find(([, weight]) => {
    left -= weight
    return left < 0
  })?.[0] ?? 'answer'
}

interface Backend {
  server: LateServer
  link: LoopbackProxy
  /** Its process leaves: its entry says so. */
  drain (): void
  /** Another process starts at its address, under its id. */
  restart (): void
}

/** Starts a server behind a link, and lists it by the address of the link. */
async function startBackend (index: number, store: KvState, random: Random): Promise<Backend> {
  const id = `late-${index + 1}`
  const server = await createLateServer({
    id,
    clock: createSystemClock(),
    chooseHandling: () => chooseHandling(random),
    chooseExtra: () => random.next() < EXTRA_RATIO ? random.pick(EXTRA_ANSWERS) : undefined,
    streamPrefix: TELL_PREFIX,
    chooseRunMs: () => random.below(MAX_RUN_MS)
  })
  const link = await createLoopbackProxy(server.address)
  let bornMs = Date.now()
  const list = (state: 'ready' | 'draining'): void => {
    const value = JSON.stringify({ service: PLAIN_SERVICE, address: link.address, zone: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length], version: 'v1', slots: SLOTS, state, born: bornMs, sequence: 0 })
    store.transact({ compares: [], success: [{ kind: 'put', key: `servers/${id}`, value, leaseId: '0' }], failure: [] })
  }
  list('ready')
  return {
    server,
    link,
    drain: () => list('draining'),
    restart: () => {
      link.reset()
      bornMs = Date.now()
      list('ready')
    }
  }
}

/** Highest memory that a process has used, MB; 0 where the operating system does not tell. */
function peakMemoryMb (pid: number): number {
  try {
    return Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / 1024
  } catch {
    return 0
  }
}

interface Judged {
  calls: readonly OddCall[]
  servers: readonly LateServer[]
  peaksMb: readonly number[]
  /** Instances whose processes ended by themselves. */
  ended: readonly string[]
}

const describe = ({ attemptId, status, body }: OddCall, runs: number): string => `${attemptId}: got ${status} and ${body.length} bytes, ran ${runs} times`

function verdictsOf ({ calls, servers, peaksMb, ended }: Judged): GuaranteeResult[] {
  const runs = new Map<string, LateRun[]>()
  servers.flatMap(server => server.runs()).forEach(run => runs.set(run.attemptId, [...runs.get(run.attemptId) ?? [], run]))
  const runsOf = (call: OddCall): number => runs.get(call.attemptId)?.length ?? 0
  /** Whether a server gave this answer to this request. */
  const isGiven = ({ attemptId, status, body, isSigned }: OddCall): boolean =>
    isSigned && (runs.get(attemptId) ?? []).some(({ answer }) => answer?.status === status && answer?.body === body)
  const answered = calls.filter(({ status }) => status !== undefined)
  const promised = answered.filter(({ status }) => PROMISES.has(status!))
  const successes = answered.filter(({ status, isWhole }) => isWhole && status === 200)
  const failures = answered.filter(({ status, isWhole, isSigned }) => isWhole && isSigned && status === 500)
  const mixed = [...successes, ...failures].filter(call => !isGiven(call))
  const list = (violating: readonly OddCall[]): string[] => violating.map(call => describe(call, runsOf(call)))
  const tooLarge = peaksMb.filter(peak => peak > MAX_MEMORY_MB).map(peak => `a process used ${Math.round(peak)} MB`)
  return [
    { promise: 'REFUSED: what is refused has not run', checked: promised.length, violations: list(promised.filter(call => runsOf(call) > 0)), isSafety: true },
    { promise: 'TWICE: nothing runs twice', checked: calls.length, violations: list(calls.filter(call => runsOf(call) > 1)), isSafety: true },
    { promise: 'MIXED: an answer belongs to its request', checked: successes.length + failures.length, violations: list(mixed), isSafety: true },
    { promise: 'most requests are answered', checked: answered.length, violations: successes.length * 2 > answered.length ? [] : [`${successes.length} of ${answered.length} answers are successes`], isSafety: false },
    { promise: `no process uses more than ${MAX_MEMORY_MB} MB`, checked: peaksMb.length, violations: tooLarge, isSafety: true },
    { promise: 'no process ends by itself', checked: peaksMb.length, violations: [...ended], isSafety: true }
  ]
}

export async function runRefusedTwice ({ seed, instances: count, directory }: RefusedTwiceOptions): Promise<GuaranteeResult[]> {
  mkdirSync(directory, { recursive: true })
  const random = createRandom(seed)
  const site = await createPlatformSite({ softwareVersions: ['v1'] })
  const backends = await Promise.all(Array.from({ length: 1 + random.below(MAX_SERVERS) }, (_, index) => startBackend(index, site.store, random)))
  const run = { isOver: false }
  const ended: string[] = []
  const peaksMb: number[] = []
  const killed = new Set<Instance['child']>()
  const watch = (instance: Instance, index: number): Instance => {
    instance.child.once('exit', code => { if (!run.isOver && !killed.has(instance.child)) ended.push(`instance ${index + 1} ended with code ${code}`) })
    return instance
  }
  const start = async (index: number): Promise<Instance> => watch(await startInstance(site, index, directory), index)
  const instances = await Promise.all(Array.from({ length: count }, (_, index) => start(index)))
  const recordPeak = ({ child }: Instance): void => { peaksMb.push(peakMemoryMb(child.pid!)) }

  const faults: ReadonlyArray<() => Promise<void>> = [
    async () => {
      const index = random.below(count)
      const instance = instances[index]!
      recordPeak(instance)
      killed.add(instance.child)
      instance.child.kill('SIGKILL')
      instances[index] = await start(index)
    },
    async () => {
      const { child } = random.pick(instances)
      child.kill('SIGSTOP')
      await pause(random.below(MAX_CUT_MS))
      child.kill('SIGCONT')
    },
    async () => {
      const { link } = random.pick(backends)
      link.cut()
      await pause(random.below(MAX_CUT_MS))
      link.heal()
    },
    async () => random.pick(backends).link.reset(),
    async () => {
      const backend = random.pick(backends)
      backend.drain()
      await pause(random.below(MAX_CUT_MS))
      backend.restart()
    },
    async () => site.changeConfig()
  ]
  const injectFaults = async (): Promise<void> => {
    while (!run.isOver) {
      await pause(random.below(MAX_FAULT_PAUSE_MS))
      if (!run.isOver) await random.pick(faults)()
    }
  }
  const calls: OddCall[] = []
  const callOn = async (instance: number, caller: number): Promise<void> => {
    const kept = createKeptCaller()
    for (let number = 0; !run.isOver; number += 1) {
      const path = random.below(3) === 0 ? `${TELL_PREFIX}1` : WRITE_PATH
      calls.push(await kept.call({ attemptId: `try-${instance}-${caller}-${number}`, instance, method: 'POST', address: instances[instance]!.entryAddress, path }))
      // Without an answer at once, as from a process that has ended.
      if (calls.at(-1)!.status === undefined) await pause(50)
    }
    kept.close()
  }
  const callers = instances.flatMap((_, instance) => Array.from({ length: CALLERS_PER_INSTANCE }, (_, caller) => callOn(instance, caller)))
  try {
    const injecting = injectFaults()
    await pause(RUN_MS)
    run.isOver = true
    await injecting
    await Promise.all(callers)
    await pause(SETTLE_MS)
    instances.forEach(recordPeak)
    return verdictsOf({ calls, servers: backends.map(({ server }) => server), peaksMb, ended })
  } finally {
    run.isOver = true
    instances.forEach(({ child }) => child.kill('SIGKILL'))
    backends.forEach(({ link, server }) => {
      link.close()
      server.close()
    })
    await site.close()
  }
}
