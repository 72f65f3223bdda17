/**
 * Requests that wait for a replica: each has one deadline and one timer and settles exactly once; all that wait
 * for one model tell the stewards together.
 */
import type { Cells } from '../cells'
import { sleep } from '../clock'
import type { CancelTimer, Clock } from '../clock'

/** How often those who wait tell the steward again; it also meets a demand that got lost. */
const DEMAND_PERIOD_MS = 1000

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

export function createWaitingRoom (cells: Cells, clock: Clock): WaitingRoom {
  const waiters = new Map<string, Set<Waiter>>()
  const reasons = new Map<string, string>()

  const tell = async (model: string, here: ReadonlySet<Waiter>): Promise<void> => {
    const all = [...here]
    const deadlineMs = Math.min(...all.map(waiter => waiter.deadlineMs))
    const adapters = new Set(all.map(waiter => waiter.adapter))
    const common = {
      model,
      waiting: all.length,
      patienceMs: Math.max(0, deadlineMs - clock.monotonic()),
      weight: Math.max(...all.map(waiter => waiter.weight))
    }
    const replies = await Promise.all([...adapters].map(adapter => cells.demand({ ...common, adapter })))
    replies.forEach(reply => reasons.set(model, reply.reason))
    // The reply may have brought a table that a lost notice should have brought.
    const standing = [...here]
    standing.forEach(waiter => waiter.retry())
  }
  /** One loop for each model that is waited for, for as long as anybody waits. */
  const keepTelling = async (model: string, here: ReadonlySet<Waiter>): Promise<void> => {
    while (here.size > 0) {
      await tell(model, here)
      if (here.size > 0) await sleep(clock, DEMAND_PERIOD_MS)
    }
    if (waiters.get(model) === here) waiters.delete(model)
  }
  const add = (waiter: Waiter): void => {
    const here = waiters.get(waiter.model)
    if (here === undefined) {
      const created = new Set([waiter])
      waiters.set(waiter.model, created)
      keepTelling(waiter.model, created)
      return
    }
    here.add(waiter)
    // The loop is between two rounds, and nobody has been waiting since the last.
    if (here.size === 1) tell(waiter.model, here)
  }
  cells.replicas.onChanged(() => waiters.forEach(here => {
    const standing = [...here]
    standing.forEach(waiter => waiter.retry())
  }))

  return {
    reasonFor: model => reasons.get(model),
    wait: <T>(req: WaitRequest<T>) => new Promise<T | undefined>(resolve => {
      if (req.signal.aborted) return resolve(undefined)
      let cancelTimer: CancelTimer = () => {}
      const settle = (value: T | undefined): void => {
        waiters.get(req.model)?.delete(waiter)
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
