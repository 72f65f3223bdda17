/**
 * Token bucket over all store calls of this instance. When it runs low, calls of low priority are refused
 * first, so that claims and ledgers can't crowd out a change of configuration or the renewal of a lease,
 * and the fleet as a whole can't overload the platform's service.
 */
import type { Clock } from '../clock'
import { Err } from '../result'
import type { Result } from '../result'
import type { Store, StoreError, StorePriority } from './store'

export interface StoreBudgetOptions {
  /** Average calls per second; read at each refill, since it depends on the size of the fleet. */
  callsPerSecond: () => number
  /** Capacity of the bucket: calls that may be sent at once after a pause. */
  burstCalls: number
  clock: Clock
  /** Called after every call, refused ones included. @default no callback */
  onCall?: (call: StoreCallReport) => void
}

export type StoreCallOutcome = 'ok' | StoreError['kind']

export interface StoreCallReport {
  priority: StorePriority
  outcome: StoreCallOutcome
  /** Seconds until the response; 0 for a call that was not sent. */
  seconds: number
}

export interface StoreBudget {
  /** Takes one call, unless that would use calls reserved for higher priorities. Returns whether it was taken. */
  tryTake (priority: StorePriority): boolean
  /** Counts calls that are sent regardless of the budget, such as those of a restarted watch. */
  recordCalls (calls: number): void
  /** Calls in the bucket now. */
  availableCalls (): number
}

/** Fraction of the burst that a call of each priority must leave to higher priorities. */
const RESERVED_BURST_RATIO: Record<StorePriority, number> = { config: 0, ownership: 0.1, once: 0.25, ledger: 0.5 }
/** One read of the prefix, and the watch call itself. */
const CALLS_PER_WATCH = 2

export function createStoreBudget (options: Pick<StoreBudgetOptions, 'callsPerSecond' | 'burstCalls' | 'clock'>): StoreBudget {
  const { callsPerSecond, burstCalls, clock } = options
  let availableCalls = burstCalls
  let refilledAtMs = clock.monotonic()

  const refill = (): number => {
    const nowMs = clock.monotonic()
    availableCalls = Math.min(burstCalls, availableCalls + (nowMs - refilledAtMs) * callsPerSecond() / 1000)
    refilledAtMs = nowMs
    return availableCalls
  }
  return {
    tryTake: priority => {
      if (refill() - 1 < RESERVED_BURST_RATIO[priority] * burstCalls) return false
      availableCalls -= 1
      return true
    },
    recordCalls: calls => { availableCalls = Math.max(-burstCalls, refill() - calls) },
    availableCalls: refill
  }
}

/** Wraps `store` with a budget: calls beyond it fail with `over-budget` and are not sent. */
export function createBudgetedStore (store: Store, options: StoreBudgetOptions): Store {
  const { clock } = options
  const budget = createStoreBudget(options)
  const report = options.onCall ?? (() => {})

  const runWithinBudget = async <T>(priority: StorePriority, run: () => Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> => {
    if (!budget.tryTake(priority)) {
      report({ priority, outcome: 'over-budget', seconds: 0 })
      return Err({ kind: 'over-budget', message: `This instance's share of the store's calls is spent (priority ${priority}).` })
    }
    const startedMs = clock.monotonic()
    const result = await run()
    report({ priority, outcome: result.ok ? 'ok' : result.val.kind, seconds: (clock.monotonic() - startedMs) / 1000 })
    return result
  }
  return {
    get: (key, call) => runWithinBudget(call?.priority ?? 'ledger', () => store.get(key, call)),
    range: (prefix, call) => runWithinBudget(call?.priority ?? 'ledger', () => store.range(prefix, call)),
    transact: (transaction, call) => runWithinBudget(call?.priority ?? 'ledger', () => store.transact(transaction, call)),
    grantLease: ttlSeconds => runWithinBudget('ownership', () => store.grantLease(ttlSeconds)),
    renewLease: leaseId => runWithinBudget('ownership', () => store.renewLease(leaseId)),
    revokeLease: leaseId => runWithinBudget('ownership', () => store.revokeLease(leaseId)),
    watch: (prefix, handlers, signal) => store.watch(prefix, {
      onEvent: handlers.onEvent,
      onSnapshot: snapshot => {
        budget.recordCalls(CALLS_PER_WATCH)
        handlers.onSnapshot(snapshot)
      }
    }, signal)
  }
}
