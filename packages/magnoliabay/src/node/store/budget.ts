/**
 * This instance's share of the store's rate: a token bucket over all our calls. When it runs low, what
 * matters least is refused first, so that claims and ledgers can't crowd out a change of configuration
 * or a lease's renewal, and the fleet as a whole can't drown the platform's service.
 */
import type { Clock } from '../clock'
import { Err } from '../result'
import type { Result } from '../result'
import type { Store, StoreError, StorePriority } from './store'

export interface StoreBudgetOptions {
  /** Calls a second, on average; asked again and again, since the fleet's size changes. */
  callsPerSecond: () => number
  /** Calls at once after a pause. */
  burstCalls: number
  clock: Clock
  /** Told of every call, refused ones too. @default nobody */
  onCall?: (call: StoreCallReport) => void
}

export type StoreCallOutcome = 'ok' | StoreError['kind']

export interface StoreCallReport {
  priority: StorePriority
  outcome: StoreCallOutcome
  /** Seconds until the answer; 0 for a call that was not sent. */
  seconds: number
}

export interface StoreBudget {
  /** Takes one call, unless it would leave less than more important ones are kept. */
  trySpend (priority: StorePriority): boolean
  /** Takes calls that are made in any case, such as a watch begun anew. */
  spend (calls: number): void
  /** Calls that could be made now. */
  level (): number
}

/** Share of the burst that a call of each priority must leave to the more important ones. */
const LEFT_TO_OTHERS: Record<StorePriority, number> = { config: 0, ownership: 0.1, once: 0.25, ledger: 0.5 }
/** A watch costs a read of the prefix and the watch itself. */
const CALLS_OF_A_WATCH = 2

export function createStoreBudget (options: Pick<StoreBudgetOptions, 'callsPerSecond' | 'burstCalls' | 'clock'>): StoreBudget {
  const { callsPerSecond, burstCalls, clock } = options
  let level = burstCalls
  let filledAtMs = clock.monotonic()

  const fill = (): number => {
    const nowMs = clock.monotonic()
    level = Math.min(burstCalls, level + (nowMs - filledAtMs) * callsPerSecond() / 1000)
    filledAtMs = nowMs
    return level
  }
  return {
    trySpend: priority => {
      if (fill() - 1 < LEFT_TO_OTHERS[priority] * burstCalls) return false
      level -= 1
      return true
    },
    spend: calls => { level = Math.max(-burstCalls, fill() - calls) },
    level: fill
  }
}

/** The same store within a budget: calls beyond it fail with `over-budget` and are not sent. */
export function createBudgetedStore (store: Store, options: StoreBudgetOptions): Store {
  const { clock } = options
  const budget = createStoreBudget(options)
  const report = options.onCall ?? (() => {})

  const within = async <T>(priority: StorePriority, run: () => Promise<Result<T, StoreError>>): Promise<Result<T, StoreError>> => {
    if (!budget.trySpend(priority)) {
      report({ priority, outcome: 'over-budget', seconds: 0 })
      return Err({ kind: 'over-budget', message: `This instance's share of the store's calls is spent (priority ${priority}).` })
    }
    const startedMs = clock.monotonic()
    const result = await run()
    report({ priority, outcome: result.ok ? 'ok' : result.val.kind, seconds: (clock.monotonic() - startedMs) / 1000 })
    return result
  }
  return {
    get: (key, call) => within(call?.priority ?? 'ledger', () => store.get(key, call)),
    range: (prefix, call) => within(call?.priority ?? 'ledger', () => store.range(prefix, call)),
    transact: (transaction, call) => within(call?.priority ?? 'ledger', () => store.transact(transaction, call)),
    grantLease: ttlSeconds => within('ownership', () => store.grantLease(ttlSeconds)),
    renewLease: leaseId => within('ownership', () => store.renewLease(leaseId)),
    revokeLease: leaseId => within('ownership', () => store.revokeLease(leaseId)),
    watch: (prefix, handlers, signal) => store.watch(prefix, {
      onEvent: handlers.onEvent,
      onSnapshot: snapshot => {
        budget.spend(CALLS_OF_A_WATCH)
        handlers.onSnapshot(snapshot)
      }
    }, signal)
  }
}
