/**
 * Chooses the engine for a request where the view of many instances is too old for the least loaded engine, or where
 * engines differ in speed. Elsewhere `chooseServer` decides.
 */
import type { Candidate } from '../chooseServer'
import type { RequestRun } from '../requestRun'
import type { ServingContext } from '../servingContext'
import { serverProcessId } from '../types'
import type { BackendServer, Service } from '../types'
import { areSpeedsUneven, isSpreadingNeeded } from './conditions'
import { chooseBySpread } from './spreadChoice'
import type { SpreadCandidate, SpreadChoice } from './spreadChoice'
import { predictStart } from './startPrediction'

/** A server with what decides about it, other than its places and speed. */
export interface DescribedServer {
  server: BackendServer
  candidate: Candidate
}

/** What the choice needs to know of a request. */
export type RunInput = Pick<RequestRun, 'caller' | 'admitted'>

export interface EngineChooser {
  /** Whether engines of the service are chosen here. */
  isActiveFor (service: Service): boolean
  choose (run: RunInput, described: readonly DescribedServer[]): BackendServer | undefined
  /** Whether an engine has as many requests as it held when it last rejected one. */
  isKnownFull (server: BackendServer): boolean
}

export type EngineChoiceContext = Pick<ServingContext, 'health' | 'fleetView' | 'servers' | 'metrics' | 'clock' | 'logger' | 'random' | 'choosesByTime'>

/** Speeds change with the summaries, twice a second, milliseconds. */
const SPEED_CHECK_INTERVAL_MS = 250

export function createEngineChooser (ctx: EngineChoiceContext): EngineChooser {
  const { health, fleetView, logger, metrics } = ctx

  const loadOf = (id: string): number => health.inFlight(id) + fleetView.inFlightElsewhereAtSummary(id)
  /** Whether the speeds of a service's engines are uneven, with the time of the check. */
  const speedChecks = new Map<string, { isUneven: boolean, atMs: number }>()
  const areUneven = ({ name }: Service): boolean => {
    const now = ctx.clock.monotonic()
    const known = speedChecks.get(name)
    if (known !== undefined && now - known.atMs < SPEED_CHECK_INTERVAL_MS) return known.isUneven
    const isUneven = areSpeedsUneven(ctx.servers.usable(name).map(server => health.speeds.usualSpeedOf(serverProcessId(server))))
    speedChecks.set(name, { isUneven, atMs: now })
    return isUneven
  }
  /** Speeds that count as equal affect neither the predicted time nor whether gaps meet the objective. */
  const speedFields = ({ caller, admitted }: RunInput, { id, slots }: Candidate, load: number, isUneven: boolean): Pick<SpreadCandidate, 'speed' | 'startMs' | 'meetsGap'> => {
    const { speeds } = health
    const speed = isUneven ? speeds.speedOf(id) : 1
    const firstEventMs = speeds.firstEventMs(caller.tokens?.prompt ?? 0)
    const { maxEventGapMs } = admitted.route
    const isLimited = isUneven && maxEventGapMs > 0 && caller.model !== undefined
    return {
      speed,
      startMs: predictStart({ load, slots, speed, firstEventMs, runMs: speeds.runMs() }),
      meetsGap: !isLimited || speeds.longestGapMs(id, caller.model!, (load + 1) / slots) <= maxEventGapMs
    }
  }
  const toSpreadCandidate = (run: RunInput, { candidate }: DescribedServer, isUneven: boolean): SpreadCandidate => {
    const { id, slots } = candidate
    const load = loadOf(id)
    return {
      ...candidate,
      load,
      places: health.rejections.placesOf(id, slots),
      isRejecting: health.rejections.isRejecting(id),
      ...speedFields(run, candidate, load, isUneven)
    }
  }
  const record = (run: RunInput, { chosen, engineClass }: SpreadChoice, server: BackendServer, candidateCount: number): void => {
    metrics.engineChoices.inc({ reason: engineClass })
    if (engineClass === 'free') return
    logger.info('engine-choice', {
      request: run.caller.attemptId,
      server: server.id,
      reason: engineClass,
      load: chosen.load,
      slots: chosen.slots,
      places: chosen.places,
      startMs: Math.round(chosen.startMs),
      speed: chosen.speed.toFixed(1),
      meetsGap: chosen.meetsGap,
      candidates: candidateCount
    })
  }

  return {
    isActiveFor: service => ctx.choosesByTime !== false && service.engine !== undefined && (isSpreadingNeeded(fleetView.instanceCount(), service.engine.slots) || areUneven(service)),
    choose: (run, described) => {
      const isUneven = areUneven(run.admitted.service)
      const choice = chooseBySpread(described.map(each => toSpreadCandidate(run, each, isUneven)), ctx.random(), { objectiveMs: run.admitted.route.latencyObjectiveMs })
      const server = described.find(({ candidate }) => candidate.id === choice?.chosen.id)?.server
      if (choice !== undefined && server !== undefined) record(run, choice, server, described.length)
      return server
    },
    isKnownFull: server => {
      const id = serverProcessId(server)
      return health.rejections.isLearned(id) && loadOf(id) >= health.rejections.placesOf(id, server.slots)
    }
  }
}
