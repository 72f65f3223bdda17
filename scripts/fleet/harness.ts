/** Harness of one run: stand-ins, instance processes, callers and observations. */
import { createStandInFleet } from '@magnoliabay/standins'
import type { StandInFleet } from '@magnoliabay/standins'
import { request } from 'undici'
import { NoInstanceError, createOperatorClient } from '../../packages/magnoliabay/src/node/operators/client'
import type { OperatorClient } from '../../packages/magnoliabay/src/node/operators/client'
import { createCallers } from './callers'
import type { Callers, TeamKey } from './callers'
import { createInstanceProcesses } from './processes'
import type { InstanceProcess, InstanceProcesses } from './processes'
import { createRandom } from './random'
import type { Random } from './random'
import { createObservations } from './records'
import type { ConfigProbe, Observations } from './records'
import { ENGINES, ENGINE_MEMORY_MIB, FAILURE_DOMAINS, LIST_LAG_MS, REGION, SERVICE, TEAMS, fleetConfigToml } from './fleetConfig'

export interface HarnessOptions {
  seed: number
  instances: number
  /** Arrivals per second. */
  rate: number
  directory: string
}

export interface Harness {
  readonly random: Random
  readonly standIns: StandInFleet
  readonly processes: InstanceProcesses
  readonly callers: Callers
  readonly observations: Observations
  operators (): OperatorClient
  /** Starts another instance; resolves as `InstanceProcesses.start` does. */
  addInstance (): Promise<InstanceProcess>
  /** Creates a new key for a team and withdraws the old one. */
  replaceKey (team: string): Promise<void>
  /** Adds a model to the configuration and records when each instance lists it. */
  probeConfig (): Promise<void>
  drainEngine (id: string): void
  close (): Promise<void>
}

const SAMPLE_INTERVAL_MS = 50
const PROBE_POLL_INTERVAL_MS = 100
const PROBE_DURATION_MS = 18_000
const START_POLL_INTERVAL_MS = 200
const OPERATOR_KEY = 'op-fleet-check'

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

/** Applies the configuration as soon as an instance can be reached: how long a start takes depends on the machine. */
async function applyFirstConfig (operators: () => OperatorClient): Promise<void> {
  for (;;) {
    try {
      await operators().applyConfig(fleetConfigToml())
      return
    } catch (err) {
      if (!(err instanceof NoInstanceError)) throw err
      await pause(START_POLL_INTERVAL_MS)
    }
  }
}

export async function createHarness (options: HarnessOptions): Promise<Harness> {
  const random = createRandom(options.seed)
  const observations = createObservations()
  const standIns = await createStandInFleet({
    region: REGION,
    failureDomains: FAILURE_DOMAINS,
    engines: ENGINES,
    engineDefaults: { memoryMiB: ENGINE_MEMORY_MIB, firstTokenMs: 20, tokenMs: 5 },
    services: [SERVICE, SERVICE],
    listLagMs: LIST_LAG_MS,
    weights: { loadsPerSecond: 2, fullSpeedLoads: 4, loadMsPerGiB: 60, seed: options.seed }
  })
  const processes = createInstanceProcesses({ standIns, directory: options.directory, operatorKey: OPERATOR_KEY })
  const keys = new Map<string, TeamKey>()
  const extraModels: string[] = []
  let nextInstance = 1

  const operators = (): OperatorClient => {
    const instance = random.pick(processes.live())
    return createOperatorClient({ address: instance.operatorAddress, key: OPERATOR_KEY })
  }
  const addInstance = (): Promise<InstanceProcess> => {
    const number = nextInstance++
    return processes.start(`entry-${number}`, number)
  }
  const first = Array.from({ length: options.instances }, addInstance)
  while (processes.live().length === 0) await pause(START_POLL_INTERVAL_MS)
  await applyFirstConfig(operators)
  await Promise.all(first)
  await Promise.all(TEAMS.map(async team => keys.set(team.name, await operators().createKey(team.name))))

  const callers = createCallers({
    random,
    observations,
    seeds: () => processes.live().map(instance => instance.entryAddress),
    instanceAt: address => processes.all().find(instance => instance.entryAddress === address)?.id ?? address,
    keyOf: team => keys.get(team)!,
    rate: options.rate
  })
  const sample = (): void => {
    const atMs = Date.now()
    standIns.engines.forEach(engine => {
      const { models } = engine.state.state()
      observations.engineSamples.push({
        atMs,
        engine: engine.id,
        loaded: models.filter(model => model.state === 'loaded').map(model => model.model),
        models: models.map(model => model.model),
        running: engine.state.records().requests.filter(req => req.outcome === 'running').length
      })
    })
  }
  const sampler = setInterval(sample, SAMPLE_INTERVAL_MS)

  const listsModel = async (instance: InstanceProcess, model: string): Promise<boolean | undefined> => {
    try {
      const res = await request(`http://${instance.entryAddress}/v1/models`, {
        headers: { authorization: `Bearer ${keys.get(TEAMS[0]!.name)!.key}` }, headersTimeout: 1000
      })
      const text = await res.body.text()
      return res.statusCode === 200 ? text.includes(`"${model}"`) : undefined
    } catch {
      return undefined
    }
  }
  const probeConfig = async (): Promise<void> => {
    const model = `added-${extraModels.length + 1}`
    extraModels.push(model)
    const instances = processes.live()
    await operators().applyConfig(fleetConfigToml(extraModels))
    const probe: ConfigProbe = { model, appliedAtMs: Date.now(), listedAtMs: {}, reverted: [], expected: [] }
    observations.probes.push(probe)
    const deadlineMs = Date.now() + PROBE_DURATION_MS
    while (Date.now() < deadlineMs) {
      await Promise.all(instances.map(async instance => {
        const lists = await listsModel(instance, model)
        if (lists === true) probe.listedAtMs[instance.id] ??= Date.now()
        if (lists === false && probe.listedAtMs[instance.id] !== undefined) probe.reverted.push(instance.id)
      }))
      await pause(PROBE_POLL_INTERVAL_MS)
    }
    probe.expected = instances
      .filter(instance => instance.end === undefined && instance.shutdownRequestedAtMs === undefined && instance.pauses.length === 0)
      .map(instance => instance.id)
  }

  return {
    random,
    standIns,
    processes,
    callers,
    observations,
    operators,
    addInstance,
    probeConfig,
    replaceKey: async team => {
      const old = keys.get(team)!
      const created = await operators().createKey(team)
      await operators().withdrawKey(old.id)
      observations.withdrawals.push({ keyId: old.id, key: old.key, atMs: Date.now() })
      await pause(1000)
      keys.set(team, created)
    },
    drainEngine: id => {
      standIns.startDraining(id)
      observations.leavingEngines.push({ id, atMs: Date.now() })
    },
    close: async () => {
      clearInterval(sampler)
      await processes.stopAll()
      await standIns.close()
    }
  }
}
