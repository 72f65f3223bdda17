/** Reads the YAML settings file that the platform provides for a process. It is validated; unknown fields are ignored. */
import * as v from 'valibot'
import { parse } from 'yaml'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { messageOf } from '../utils'

/** Environment variable that contains the path of the settings file. */
export const SETTINGS_PATH_VARIABLE = 'MAGNOLIABAY_CONFIG'

const wireSettings = v.object({
  'node-name': v.string(),
  'ip-address': v.string(),
  zone: v.string(),
  region: v.string(),
  'listen-addresses': v.object({
    frontend: v.string(),
    ready: v.string(),
    'control-plane': v.string(),
    'directory-service': v.string()
  }),
  'internal-port-range': v.tuple([v.number(), v.number()]),
  'seed-nodes': v.optional(v.array(v.string()), []),
  limits: v.optional(v.object({
    'cpu-quota': v.optional(v.number(), 1),
    'cpu-cores': v.optional(v.number(), 1),
    'memory-mb': v.optional(v.pipe(v.number(), v.minValue(1)))
  }), {}),
  /** Not stated by the platform; set by an operator to replace the default. */
  answerBufferMb: v.optional(v.pipe(v.number(), v.minValue(1))),
  /** Not stated by the platform; set by an operator. */
  scheduleEngineTime: v.optional(v.boolean(), false),
  divideAllowance: v.optional(v.boolean(), false),
  chooseByTime: v.optional(v.boolean(), false),
  bootstrap: v.optional(v.boolean(), false),
  // A list that cannot be read must not keep a process from starting.
  contracts: v.optional(v.fallback(v.array(v.string()), []), []),
  bounds: v.object({
    'grace-period-s': v.number(),
    'lease-ms': v.optional(v.number(), 3000),
    'retry-budget-ratio': v.number(),
    'retry-budget-slack': v.number(),
    'ceiling-window-s': v.optional(v.number(), 5),
    ttl_max_s: v.optional(v.number(), 5),
    'quota-window-s': v.optional(v.number(), 8),
    'quota-overshoot': v.optional(v.number(), 0),
    'quota-slack': v.optional(v.number(), 0),
    'cold-overshoot': v.optional(v.number(), 1),
    'cold-slack': v.optional(v.number(), 0)
  }),
  platform: v.object({
    address: v.string(),
    'ttl-min-ms': v.number()
  })
})

export interface PlatformSettings {
  instance: { id: string, failureDomain: string, region: string }
  /** Processor time that the process may use in each second, seconds. */
  processorShare: number
  /** Memory that the process may use, bytes; undefined if it is not stated. */
  memoryBytes: number | undefined
  /** Budget for responses that callers have not read, bytes; undefined if each response is limited by itself. */
  answerBufferBytes?: number
  listen: { entry: string, readiness: string, peers: string, resolution: string, metrics: string }
  /** Peer addresses of at most three instances; they may be outdated. */
  seeds: readonly string[]
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean
  /** Time from the request to stop until the process is killed, milliseconds. */
  gracePeriodMs: number
  /** Minimum time between the orders of two successive leaders, milliseconds. */
  orderLeaseMs: number
  retryBudget: { ratio: number, slack: number }
  /** Window over which rates and bursts of teams are counted, milliseconds. */
  allowanceWindowMs: number
  /** How far a team may exceed its limit, since instances count separately: a fraction of the limit, plus a number of units. */
  allowanceTolerance: { ratio: number, slack: number }
  /** Whether the leader schedules engine time where that is feasible. */
  schedulesEngineTime: boolean
  /** Whether engines are chosen by predicted time where instances or speeds call for it. */
  choosesByTime: boolean
  /** Whether a team's allowance is divided among its routes, since callers may exceed their usual demand. */
  dividesAllowance: boolean
  /** How many requests a cold server may get in a second: a fraction of the rate that it can handle, plus a number of requests. */
  coldRateTolerance: { ratio: number, slack: number }
  /** Window over which loads from the weight store are counted, milliseconds. */
  storeLoadWindowMs: number
  /** Longest time that callers may cache a list of addresses, milliseconds. */
  maxResolutionTtlMs: number
  store: { address: string, minLeaseMs: number }
}

export interface SettingsProblem {
  path: string
  message: string
}

/** Offset from the first internal port of the port on which metrics are served. The deploy file names the port as well. */
const METRICS_PORT_OFFSET = 0

const BYTES_PER_MB = 1_048_576
/** Part of the memory of the process that responses may hold which callers have not read. */
const ANSWER_BUFFER_RATIO = 0.1
/** Smallest default budget for such responses: some dozens of streams that callers read slowly. */
const MIN_ANSWER_BUFFER_MB = 8

/** Contract by which the platform states that callers may exceed their usual demand. */
const PRESSURE_CONTRACT = 'pressure'

/** Whether a team's allowance is divided among its routes: where callers may exceed their usual demand. */
export function dividesAllowance (contracts: readonly string[]): boolean {
  return contracts.includes(PRESSURE_CONTRACT)
}

/** Reads the text of a settings file. */
export function readPlatformSettings (text: string): Result<PlatformSettings, SettingsProblem[]> {
  const parsed = parseYaml(text)
  if (parsed.err) return parsed
  const checked = v.safeParse(wireSettings, parsed.val)
  if (!checked.success) return Err(checked.issues.map(issue => ({ path: v.getDotPath(issue) ?? '', message: issue.message })))
  return Ok(toSettings(checked.output))
}

function parseYaml (text: string): Result<unknown, SettingsProblem[]> {
  try {
    return Ok(parse(text) as unknown)
  } catch (err) {
    return Err([{ path: '', message: messageOf(err) }])
  }
}

/** Resolves the settings of memory; the budget exists only where the memory or the budget itself is stated. */
function resolveMemory (wire: v.InferOutput<typeof wireSettings>): Pick<PlatformSettings, 'memoryBytes' | 'answerBufferBytes'> {
  const memoryMb = wire.limits['memory-mb']
  const defaultMb = memoryMb === undefined ? undefined : Math.max(MIN_ANSWER_BUFFER_MB, memoryMb * ANSWER_BUFFER_RATIO)
  const budgetMb = wire.answerBufferMb ?? defaultMb
  return {
    memoryBytes: memoryMb === undefined ? undefined : memoryMb * BYTES_PER_MB,
    ...(budgetMb === undefined ? {} : { answerBufferBytes: Math.round(budgetMb * BYTES_PER_MB) })
  }
}

function toSettings (wire: v.InferOutput<typeof wireSettings>): PlatformSettings {
  const { bounds, platform } = wire
  const listen = wire['listen-addresses']
  return {
    instance: { id: wire['node-name'], failureDomain: wire.zone, region: wire.region },
    ...resolveMemory(wire),
    processorShare: wire.limits['cpu-quota'] * wire.limits['cpu-cores'],
    listen: {
      entry: listen.frontend,
      readiness: listen.ready,
      peers: listen['control-plane'],
      resolution: listen['directory-service'],
      metrics: `${wire['ip-address']}:${wire['internal-port-range'][0] + METRICS_PORT_OFFSET}`
    },
    seeds: wire['seed-nodes'].filter(seed => seed !== listen['control-plane']),
    isFirstStart: wire.bootstrap,
    gracePeriodMs: bounds['grace-period-s'] * 1000,
    orderLeaseMs: bounds['lease-ms'],
    retryBudget: { ratio: bounds['retry-budget-ratio'], slack: bounds['retry-budget-slack'] },
    allowanceWindowMs: bounds['quota-window-s'] * 1000,
    allowanceTolerance: { ratio: bounds['quota-overshoot'], slack: bounds['quota-slack'] },
    schedulesEngineTime: wire.scheduleEngineTime,
    choosesByTime: wire.chooseByTime,
    dividesAllowance: wire.divideAllowance && dividesAllowance(wire.contracts),
    coldRateTolerance: { ratio: bounds['cold-overshoot'], slack: bounds['cold-slack'] },
    storeLoadWindowMs: bounds['ceiling-window-s'] * 1000,
    maxResolutionTtlMs: bounds.ttl_max_s * 1000,
    store: {
      address: platform.address,
      minLeaseMs: platform['ttl-min-ms']
    }
  }
}
