/**
 * Registers the processes that may hold shares, and creates the first ledger of each team.
 *
 * A process registers before it holds any units, and is removed only when all units that it held have been given to
 * others. So a member that reclaims knows every process that may have exchanged units with a terminated one.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { ProcessId } from '../members/terminationDetector'
import type { KeyValue, Store } from '../store'
import type { Compare } from '../store/store'
import { LEDGERS_PREFIX, PROCESSES_PREFIX } from './constants'
import { createLedger, grantedTo, ledgerKey, parseLedger } from './ledger'
import type { Ledger } from './ledger'
import type { TeamShares } from './teamShares'

export interface ProcessRegistryOptions {
  store: Store
  self: ProcessId
  shares: TeamShares
  clock: Clock
  logger: Logger
}

export interface ProcessRegistry {
  isRegistered (): boolean
  /** Store revision of this process's entry. A write that raises its share compares it. */
  revision (): number
  /** Tries once to register. After a lost response, the next call finds the entry. */
  register (): Promise<void>
  /** Tries once to ensure that each of the teams has a ledger. Where it creates one, this process holds all units. */
  ensureLedgers (teams: readonly string[]): Promise<void>
  hasLedger (team: string): boolean
  /** Marks a ledger to be read again: the response to its write was lost, and it may grant units to this process. */
  markUnconfirmed (team: string): void
  /** Teams whose ledgers are to be read again. */
  unconfirmedTeams (): readonly string[]
  /** Adds to the share what a ledger grants to this process and has not been added before. */
  applyGrants (team: string, ledger: Ledger): void
}

/** Maximum number of ledgers created in one transaction; the store accepts 128 operations, and each ledger takes two. */
const MAX_LEDGERS_PER_TRANSACTION = 60

export function processKey (process: string): string {
  return `${PROCESSES_PREFIX}${process}`
}

export function createProcessRegistry (options: ProcessRegistryOptions): ProcessRegistry {
  const { store, self, shares, clock, logger } = options
  const appliedUnits = new Map<string, number>()
  const teamsWithLedger = new Set<string>()
  const unconfirmed = new Set<string>()
  let revision = 0

  const applyGrants = (team: string, ledger: Ledger, tokens: number): void => {
    const own = shares.of(team)
    const granted = grantedTo(ledger, self.incarnation)
    const newUnits = granted - (appliedUnits.get(team) ?? 0)
    if (own === undefined || newUnits <= 0) return
    appliedUnits.set(team, granted)
    own.share.receive(newUnits, tokens, clock.monotonic())
    logger.info('share-granted', { team, units: newUnits })
  }
  const createLedgers = async (teams: readonly string[]): Promise<void> => {
    const ledger = createLedger(self.incarnation)
    const created = await store.transact({
      compares: [
        ...teams.map((team): Compare => ({ key: ledgerKey(team), target: 'create', equals: 0 })),
        { key: processKey(self.incarnation), target: 'mod', equals: revision }
      ],
      writes: teams.map(team => ({ kind: 'put', key: ledgerKey(team), value: JSON.stringify(ledger) }))
    })
    if (created.err || !created.val.succeeded) return
    teams.forEach(team => {
      teamsWithLedger.add(team)
      // No process has held units of a team without a ledger, so its bucket may start full.
      applyGrants(team, ledger, shares.of(team)?.share.size().burst ?? 0)
    })
  }
  const recordLedger = (entry: KeyValue): void => {
    const team = entry.key.slice(LEDGERS_PREFIX.length)
    teamsWithLedger.add(team)
    const ledger = parseLedger(entry.value)
    if (ledger.err) return logger.error('ledger-refused', { team, reason: ledger.val.message })
    unconfirmed.delete(team)
    applyGrants(team, ledger.val, 0)
  }
  return {
    applyGrants: (team, ledger) => applyGrants(team, ledger, 0),
    isRegistered: () => revision > 0,
    revision: () => revision,
    markUnconfirmed: team => { unconfirmed.add(team) },
    unconfirmedTeams: () => [...unconfirmed],
    hasLedger: team => teamsWithLedger.has(team),
    register: async () => {
      const found = await store.get(processKey(self.incarnation))
      if (found.err) return
      if (found.val !== undefined) {
        revision = found.val.modRevision
        return
      }
      const written = await store.transact({
        compares: [{ key: processKey(self.incarnation), target: 'create', equals: 0 }],
        writes: [{ kind: 'put', key: processKey(self.incarnation), value: JSON.stringify(self) }]
      })
      if (written.ok && written.val.succeeded) revision = written.val.revision
    },
    ensureLedgers: async teams => {
      const found = await store.range(LEDGERS_PREFIX)
      if (found.err) return
      found.val.entries.forEach(recordLedger)
      const missing = teams.filter(team => !teamsWithLedger.has(team))
      const groups = Array.from({ length: Math.ceil(missing.length / MAX_LEDGERS_PER_TRANSACTION) }, (_, index) =>
        missing.slice(index * MAX_LEDGERS_PER_TRANSACTION, (index + 1) * MAX_LEDGERS_PER_TRANSACTION))
      await Promise.all(groups.map(createLedgers))
    }
  }
}
