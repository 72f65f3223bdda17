/**
 * Streams on the users' platform whose instances are all killed and start again, as real processes, while versions of engines come
 * and leave, the store is in trouble and clocks are stepped. Callers resume their streams; others begin all the while.
 */
import { mkdirSync, rmSync, writeFileSync } from 'node:fs'
import { callStream } from '@magnoliabay/standins'
import type { MetadataStoreFaults, PlatformEngine, StreamCall } from '@magnoliabay/standins'
import type { GuaranteeResult } from './guarantees'
import { pause, startInstance } from './platformInstances'
import type { Instance, PlatformRunOptions } from './platformInstances'
import { STREAM_HEADERS, STREAM_PATH, createPlatformSite } from './platformSite'
import type { PlatformSite } from './platformSite'
import { createRandom } from './random'
import { createFixedCases, drawPlan } from './restartPlans'
import type { RestartPlan, Step, StoreTrouble } from './restartPlans'
import { formatFigures, judgeRestart } from './restartVerdicts'
import type { Disruption, InstanceLife, RestartRecords, ServingTime } from './restartVerdicts'

const NODE_OPTIONS = ['--import', './scripts/fleet/clockSteps.mjs']
const ENGINES_PER_VERSION = 2
const EVENT_INTERVAL_MS = 100
/** Longer than the longest stream. */
const STREAM_TIMEOUT_MS = 20_000
/** Engines that leave serve for this long, and crashed ones are away for as long. */
const DRAIN_MS = 2500
/** An engine writes its entry again after the store was restored from a copy within this time. */
const REGISTER_MS = 1000
const ADDRESS_POLL_MS = 20

const STORE_FAULTS: Readonly<Record<Exclude<StoreTrouble, 'refuses'>, Partial<MetadataStoreFaults>>> = {
  silent: { silent: true },
  slow: { delayMs: 900 },
  rejects: { refuseWith: 503 }
}

type Life = InstanceLife & Pick<Instance, 'child'>

/** Engines with the times at which they are listed and serve. */
function createEngineControl (site: PlatformSite) {
  const times: ServingTime[] = []
  const open = new Map<PlatformEngine, ServingTime>()
  const gone = new Set<PlatformEngine>()
  const begin = (engine: PlatformEngine, afterMs = 0): void => {
    const time = { version: engine.softwareVersion(), fromMs: Date.now() + afterMs, toMs: Infinity }
    times.push(time)
    open.set(engine, time)
  }
  const end = (engine: PlatformEngine): void => {
    const time = open.get(engine)
    if (time !== undefined) time.toMs = Date.now()
    open.delete(engine)
  }
  const ofVersion = (version: string): PlatformEngine[] => site.engines.filter(engine => engine.softwareVersion() === version && !gone.has(engine))
  site.engines.forEach(engine => begin(engine))
  return {
    times: (): readonly ServingTime[] => times,
    add: async (version: string): Promise<void> => {
      for (let count = 0; count < ENGINES_PER_VERSION; count += 1) begin(await site.startEngine(version))
    },
    unlist: (version: string): void => ofVersion(version).forEach(engine => {
      engine.unlist()
      end(engine)
    }),
    relist: (version: string): void => ofVersion(version).filter(engine => !open.has(engine)).forEach(engine => {
      engine.list()
      begin(engine)
    }),
    leave: async (version: string): Promise<void> => {
      const leaving = ofVersion(version)
      leaving.forEach(engine => {
        engine.list('draining')
        end(engine)
        gone.add(engine)
      })
      await pause(DRAIN_MS)
      await Promise.all(leaving.map(engine => engine.crash()))
    },
    comeBack: async (version: string, as: string, entryDelayMs: number): Promise<void> => {
      await Promise.all(ofVersion(version).map(async engine => {
        end(engine)
        await engine.crash()
        await pause(DRAIN_MS)
        await engine.start(as, entryDelayMs)
        begin(engine, entryDelayMs)
      }))
    },
    /** Writes the entries as they were before the store lost them. */
    register: (): void => site.engines.forEach(engine => open.has(engine) ? engine.list() : engine.unlist())
  }
}

/** Runs a plan, and returns what callers and engines saw. */
async function runPlan (plan: RestartPlan, { seed, instances: count, directory }: PlatformRunOptions): Promise<RestartRecords> {
  rmSync(directory, { recursive: true, force: true })
  mkdirSync(directory, { recursive: true })
  writeFileSync(`${directory}/plan.json`, `${JSON.stringify(plan, undefined, 2)}\n`)
  const random = createRandom(seed)
  const site = await createPlatformSite({ softwareVersions: plan.versions.flatMap(version => Array<string>(ENGINES_PER_VERSION).fill(version)), streamTimeoutMs: STREAM_TIMEOUT_MS, events: plan.events, gapMs: EVENT_INTERVAL_MS, storeServerCount: count })
  const engines = createEngineControl(site)
  const lives: Life[] = []
  const current: Array<Life | undefined> = []
  const disruptions: Disruption[] = []
  const start = async (index: number): Promise<void> => {
    const startMs = Date.now()
    const { entryAddress, child } = await startInstance(site, index, directory, NODE_OPTIONS)
    current[index] = { index, address: entryAddress, startMs, child }
    lives.push(current[index])
  }
  /** The next instance that serves, in turn; a caller waits until there is one. */
  const waitForAddress = async (turn: number): Promise<string> => {
    while (current.every(life => life === undefined)) await pause(ADDRESS_POLL_MS)
    const serving = current.flatMap(life => life === undefined ? [] : [life.address])
    return serving[turn % serving.length]!
  }
  const disrupt = async (instances: readonly number[], run: () => Promise<unknown>): Promise<void> => {
    const disruption = { instances, fromMs: Date.now(), toMs: Infinity }
    disruptions.push(disruption)
    await run()
    disruption.toMs = Date.now()
  }
  const all = Array.from({ length: count }, (_, index) => index)
  const handlers: { [Kind in Step['kind']]: (step: Extract<Step, { kind: Kind }>) => unknown } = {
    kill: ({ instances, downMs }) => Promise.all(instances.map(async index => {
      const life = current[index]
      if (life === undefined) return
      current[index] = undefined
      life.child.kill('SIGKILL')
      await pause(downMs)
      await start(index)
    })),
    add: ({ version }) => engines.add(version),
    unlist: ({ version }) => engines.unlist(version),
    relist: ({ version }) => engines.relist(version),
    leave: ({ version }) => engines.leave(version),
    return: ({ version, as, entryDelayMs }) => engines.comeBack(version, as, entryDelayMs),
    trouble: ({ trouble, instances, forMs }) => disrupt(instances, async () => {
      const servers = instances.map(index => site.storeServers[index]!)
      await Promise.all(servers.map(server => trouble === 'refuses' ? server.listener.refuse() : server.faults.set(STORE_FAULTS[trouble])))
      await pause(forMs)
      await Promise.all(servers.map(server => trouble === 'refuses' ? server.listener.accept() : server.faults.reset()))
    }),
    restore: async ({ ageMs }) => {
      const copy = site.store.snapshot()
      await pause(ageMs)
      await disrupt(all, async () => {
        site.store.restore(copy)
        await pause(REGISTER_MS)
        engines.register()
      })
    },
    'step-clock': ({ instance }) => disrupt([instance], async () => { current[instance]?.child.kill('SIGUSR2') })
  }
  /** The copy is made before the store is restored from it. */
  const beginsAtMs = (step: Step): number => step.kind === 'restore' ? Math.max(step.atMs - step.ageMs, 0) : step.atMs
  const inject = async (step: Step): Promise<void> => {
    await pause(beginsAtMs(step))
    await (handlers[step.kind] as (step: Step) => unknown)(step)
  }
  let attempts = 0
  const call = async (atMs: number): Promise<StreamCall> => {
    const firstTurn = random.below(count)
    const returnDelayMs = random.pick(plan.returnDelaysMs)
    await pause(atMs)
    return callStream({
      path: STREAM_PATH,
      headers: { ...STREAM_HEADERS, 'x-magnoliabay-deadline-ms': String(STREAM_TIMEOUT_MS) },
      addressFor: index => waitForAddress(firstTurn + index),
      nextAttemptId: () => `try-${attempts++}`,
      returnDelayMs
    })
  }
  try {
    await Promise.all(all.map(start))
    const [calls] = await Promise.all([Promise.all(plan.streamsAtMs.map(call)), Promise.all(plan.steps.map(inject))])
    writeFileSync(`${directory}/calls.json`, JSON.stringify(calls.map(({ eventIds, softwareVersions, tries, ...rest }) => ({ ...rest, versions: [...softwareVersions], events: eventIds.length, tries: tries.map(({ text, ...each }) => each) }))))
    return { calls, lives, disruptions, serving: engines.times(), firstKillMs: Math.min(...plan.steps.flatMap(step => step.kind === 'kill' ? [step.atMs] : [])) }
  } finally {
    lives.forEach(({ child }) => child.kill('SIGKILL'))
    await site.close()
  }
}

async function judgePlan (plan: RestartPlan, options: PlatformRunOptions): Promise<GuaranteeResult[]> {
  const records = await runPlan(plan, { ...options, directory: `${options.directory}/${plan.name}` })
  process.stdout.write(`${plan.name}: ${formatFigures(records)}\n`)
  return judgeRestart(records).map(result => ({ ...result, promise: `${plan.name}: ${result.promise}` }))
}

/** Runs the plan that the seed draws. */
export async function runRestarts (options: PlatformRunOptions): Promise<GuaranteeResult[]> {
  return judgePlan(drawPlan(options.seed, createRandom(options.seed), options.instances), options)
}

/** Runs the fixed cases one after the other. */
export async function runFixedRestarts (options: PlatformRunOptions): Promise<GuaranteeResult[]> {
  const results: GuaranteeResult[] = []
  for (const plan of createFixedCases(options.instances)) results.push(...await judgePlan(plan, options))
  return results
}
