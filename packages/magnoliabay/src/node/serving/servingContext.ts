/** The parts of the process that request handling depends on. */
import type { WakeupCounter } from '../wakeups'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { CrashAttribution } from '../crashes'
import type { RetryBudget } from '../outcomes'
import type { BrittleServers, BrittleServices, LimitedServers, ServerLimits, ServerBackoffs } from '../statements'
import type { AnswerBuffers } from './answerBuffers'
import type { AllowanceLimiter } from './allowance/allowanceLimiter'
import type { ColdStarts } from './coldStarts'
import type { ServingConfigProvider } from './servingConfigProvider'
import type { Connections } from './exchange'
import type { FleetView } from './fleetView'
import type { ServingMetrics } from './metrics'
import type { PlacementClient } from './placement/placementClient'
import type { ServerHealth } from './serverHealth'
import type { ServerList } from './serverList'
import type { RequestKind } from './types'
import type { ServingProtocol } from './servingProtocol'
import type { InputMonitor } from '../inputs'
import type { RunCalls } from './streams/runCalls'
import type { StreamVersions } from './versions'

export interface ServingContext {
  cfg: ServingConfigProvider
  protocol: ServingProtocol
  servers: ServerList
  health: ServerHealth
  serverLimits: ServerLimits
  limitedServers: LimitedServers
  serverBackoffs: ServerBackoffs
  brittleServices: BrittleServices
  brittleServers: BrittleServers
  fleetView: FleetView
  /** Whether engines are chosen by predicted time where instances or speeds call for it. @default true */
  choosesByTime?: boolean
  placement: PlacementClient
  allowance: AllowanceLimiter
  connections: Connections
  /** Logs and counts responses that are none. @default they end their attempts only */
  inputs?: Pick<InputMonitor, 'recordRefused'>
  /** Undefined if the engines of no service can move runs. */
  runCalls?: RunCalls
  coldStarts: ColdStarts
  streamVersions: StreamVersions
  /** The budget for responses that callers have not read. @default each response is limited by itself */
  answerBuffers?: AnswerBuffers
  /** Prompt parts and requests that crash servers. */
  crashes: CrashAttribution
  /** The budget for sending requests of a service more than once. */
  retryBudget: (service: string) => RetryBudget
  /** Counts a request for a model. */
  recordDemand: (model: string) => void
  /** Called when a server's first request for a model starts or its last one ends: the leader must know before it unloads models. */
  onModelUseChanged: () => void
  /** Counts a wakeup of the process by its cause. */
  recordWakeup: WakeupCounter['note']
  /** Whether this process ends too soon for a request of that kind to finish. */
  isClosingFor: (kind: RequestKind) => boolean
  metrics: ServingMetrics
  clock: Clock
  logger: Logger
  failureDomain: string
  /** Returns a number from 0 to below 1. */
  random: () => number
  pause: (ms: number) => Promise<void>
}
