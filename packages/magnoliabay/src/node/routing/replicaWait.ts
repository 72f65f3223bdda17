/**
 * Requests that wait for a replica: each has one deadline and one timer and settles exactly once; all that wait
 * for one model tell the stewards together.
 */
import type { Cells } from '../cells'
import { sleep } from '../clock'
import type { CancelTimer, Clock } from '../clock'

/** How often those who wait tell the steward again; it also meets a demand that got lost. */
const DEMAND_PERIOD_MS = 1000
const GATHER_MS = 5

export interface WaitRequest<T> {
  model: string
  adapter?: string
  /** Monotonic milliseconds. */
  deadlineMs: number
  weight: number
  signal: AbortSignal
  /** Tried whenever something has changed; undefined to go on waiting. */
  attempt: () => T | undefined
}

export interface WaitingRoom {
  /** Resolves to what `attempt` gave, or to undefined at the deadline or when `signal` aborts. */
  wait<T> (req: WaitRequest<T>): Promise<T | undefined>
  /** Why the model is not there yet, as the steward last said. */
  reasonFor (model: string): string | undefined
}

interface Waiter {
  model: string
  adapter?: string
  deadlineMs: number
  weight: number
  retry: () => void
}

/** Those who wait for one model. */
interface Room {
  standing: Set<Waiter>
  /** Adapters that the steward has been told of in this round. */
  told: Set<string>
  isTellingSoon: boolean
}

function retryAll (standing: ReadonlySet<Waiter>): void {
  const all = [...standing]
  all.forEach(waiter => waiter.retry())
}

export function createWaitingRoom (cells: Cells, clock: Clock): WaitingRoom {
  const rooms = new Map<string, Room>()
  const reasons = new Map<string, string>()

  const tell = async (model: string, { standing, told }: Room): Promise<void> => {
    const all = [...standing]
    if (all.length === 0) return
    const adapters = [...new Set(all.flatMap(waiter => waiter.adapter ?? []))]
    adapters.forEach(adapter => told.add(adapter))
    const deadlineMs = Math.min(...all.map(waiter => waiter.deadlineMs))
    const reply = await cells.requestReplica({
      model,
      adapters,
      waiting: all.length,
      patienceMs: Math.max(0, deadlineMs - clock.monotonic()),
      weight: Math.max(...all.map(waiter => waiter.weight))
    })
    reasons.set(model, reply.reason)
    // The reply may have brought a table that a lost notice should have brought.
    retryAll(standing)
  }
  /** One loop for each model that is waited for, for as long as anybody waits. */
  const keepTelling = async (model: string, room: Room): Promise<void> => {
    while (room.standing.size > 0) {
      room.told.clear()
      await tell(model, room)
      if (room.standing.size > 0) await sleep(clock, DEMAND_PERIOD_MS)
    }
    if (rooms.get(model) === room) rooms.delete(model)
  }
  /** What the steward has not heard of yet is told at once, together with what else comes in the next moment. */
  const tellSoon = (model: string, room: Room): void => {
    if (room.isTellingSoon) return
    room.isTellingSoon = true
    clock.schedule(GATHER_MS, () => {
      room.isTellingSoon = false
      tell(model, room)
    })
  }
  const add = (waiter: Waiter): void => {
    const room = rooms.get(waiter.model)
    if (room === undefined) {
      const created: Room = { standing: new Set([waiter]), told: new Set(), isTellingSoon: false }
      rooms.set(waiter.model, created)
      keepTelling(waiter.model, created)
      return
    }
    room.standing.add(waiter)
    const isNews = waiter.adapter !== undefined && !room.told.has(waiter.adapter)
    if (isNews || room.standing.size === 1) tellSoon(waiter.model, room)
  }
  cells.replicas.onChanged(() => rooms.forEach(room => retryAll(room.standing)))

  return {
    reasonFor: model => reasons.get(model),
    wait: <T>(req: WaitRequest<T>) => new Promise<T | undefined>(resolve => {
      if (req.signal.aborted) return resolve(undefined)
      let cancelTimer: CancelTimer = () => {}
      const settle = (value: T | undefined): void => {
        rooms.get(req.model)?.standing.delete(waiter)
        cancelTimer()
        req.signal.removeEventListener('abort', giveUp)
        resolve(value)
      }
      const giveUp = (): void => settle(undefined)
      const retry = (): void => {
        const value = req.attempt()
        if (value !== undefined) settle(value)
      }
      const waiter: Waiter = { model: req.model, adapter: req.adapter, deadlineMs: req.deadlineMs, weight: req.weight, retry }
      cancelTimer = clock.schedule(req.deadlineMs - clock.monotonic(), giveUp)
      req.signal.addEventListener('abort', giveUp, { once: true })
      add(waiter)
    })
  }
}
