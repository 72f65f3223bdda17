/** Keeps which engine is reserved for which model, and sends the orders of a reservation one after another. */
import type { Clock } from '../../clock'
import type { Logger } from '../../logger'
import type { Engine, EngineOrders } from './engineOrders'
import { freeWeightsMb } from './engineTracker'
import { tierOf } from './plan'
import type { WeightLoadLimiter } from './weightLoadLimiter'

/**
 * Time after which an engine that was reserved for a model and has not loaded it is available to others, milliseconds.
 */
const MAX_RESERVATION_MS = 15_000
/**
 * Time without a report after an order whose outcome is unknown, milliseconds, after which the requests that wait for the
 * order's model are scheduled on another engine: two intervals of reports.
 */
const OUTCOME_TIMEOUT_MS = 600

/** The model for which an engine is reserved, until it is loaded. */
export interface EngineReservation {
  model: string
  /** Models that are still to be unloaded first. */
  modelsToUnload: readonly string[]
  sinceMs: number
}

export interface EngineReservationsOptions {
  orders: Pick<EngineOrders, 'hasOrderInFlight' | 'mayTryNextOrder' | 'specOf'>
  storeLoads: Pick<WeightLoadLimiter, 'remaining'>
  load: (engine: Engine, model: string) => void
  unload: (engine: Engine, model: string) => void
  clock: Clock
  logger: Logger
}

export interface EngineReservations {
  /** Returns the reservation of an engine's process. */
  of (process: string): EngineReservation | undefined
  /** Reserves an engine for `model`, which is loaded once `modelsToUnload` are unloaded. */
  reserve (process: string, model: string, modelsToUnload: readonly string[]): void
  /** Sends the next order of an engine's reservation as soon as the engine may accept it. */
  continue (engine: Engine): void
  /** Gives up the reservation of an engine that does not report: its waiting requests are scheduled elsewhere. */
  trackOutcome (engine: Engine): void
  /** Whether the outcome of the engine's last order is unknown. */
  isOutcomeUnknown (process: string): boolean
  clear (): void
}

export function createEngineReservations ({ orders, storeLoads, load, unload, clock, logger }: EngineReservationsOptions): EngineReservations {
  const reservations = new Map<string, EngineReservation>()
  /** Time since which the outcome of an engine's last order is unknown, monotonic milliseconds. */
  const outcomeUnknownSinceMs = new Map<string, number>()

  const hasEnded = ({ tracked }: Engine, { model, sinceMs }: EngineReservation): boolean =>
    tracked.models.some(loaded => loaded.name === model) || clock.monotonic() - sinceMs > MAX_RESERVATION_MS
  /** Memory that a pending unload frees is counted: the engine rejects the load until it is free. */
  const hasMemoryFor = ({ tracked, spec }: Engine, model: string): boolean => {
    const weightsMb = orders.specOf(model)?.weightsMb ?? Infinity
    const freedMb = tracked.pending?.operation === 'unload' ? orders.specOf(tracked.pending.model)?.weightsMb ?? 0 : 0
    return freeWeightsMb(tracked, spec) + freedMb >= weightsMb
  }
  const mayLoadFromTier = ({ tracked }: Engine, model: string): boolean => tierOf(tracked, model) !== 'store' || storeLoads.remaining(clock.monotonic()) > 0
  const unloadNext = (engine: Engine, reservation: EngineReservation, nextModel: string, remainingModels: readonly string[]): void => {
    if (engine.tracked.pending !== undefined) return
    reservations.set(engine.process, { ...reservation, modelsToUnload: remainingModels })
    unload(engine, nextModel)
  }
  const loadReserved = (engine: Engine, { model }: EngineReservation): void => {
    if (hasMemoryFor(engine, model) && mayLoadFromTier(engine, model)) return load(engine, model)
    if (engine.tracked.pending === undefined) reservations.delete(engine.process)
  }

  return {
    of: process => reservations.get(process),
    reserve: (process, model, modelsToUnload) => { reservations.set(process, { model, modelsToUnload, sinceMs: clock.monotonic() }) },
    continue: engine => {
      const reservation = reservations.get(engine.process)
      if (reservation === undefined) return
      if (hasEnded(engine, reservation)) {
        reservations.delete(engine.process)
        return
      }
      if (!orders.mayTryNextOrder(engine)) return
      const [nextModel, ...remainingModels] = reservation.modelsToUnload
      if (nextModel !== undefined) return unloadNext(engine, reservation, nextModel, remainingModels)
      loadReserved(engine, reservation)
    },
    trackOutcome: ({ process, tracked }) => {
      if (tracked.acceptedOrders !== undefined || orders.hasOrderInFlight(process)) {
        outcomeUnknownSinceMs.delete(process)
        return
      }
      const sinceMs = outcomeUnknownSinceMs.get(process) ?? clock.monotonic()
      outcomeUnknownSinceMs.set(process, sinceMs)
      const reservation = reservations.get(process)
      if (reservation === undefined || clock.monotonic() - sinceMs < OUTCOME_TIMEOUT_MS) return
      reservations.delete(process)
      logger.info('reservation-moved', { engine: process, model: reservation.model, why: 'the outcome of an order is unknown' })
    },
    isOutcomeUnknown: process => outcomeUnknownSinceMs.has(process),
    clear: () => {
      reservations.clear()
      outcomeUnknownSinceMs.clear()
    }
  }
}
