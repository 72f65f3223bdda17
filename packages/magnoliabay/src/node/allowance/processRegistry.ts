/**
 * The processes that may hold shares, and the first grant of each team.
 *
 * A process registers before it holds anything, and is struck off only when all that it held has been
 * given to others. So whoever reclaims knows everybody that may have traded with the dead.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { ProcessId } from '../members/terminationDetector'
import type { KeyValue, Store } from '../store'
import type { Compare } from '../store/store'
import { LEDGERS_PREFIX, PROCESSES_PREFIX } from './constants'
import { createLedger, grantedTo, ledgerKey, parseLedger } from './ledger'
import type { Ledger } from './ledger'
import type { Shares } from './teamShares'

export interface ProcessRegistryOptions {
  store: Store
  self: ProcessId
  shares: Shares
  clock: Clock
  logger: Logger
}

export interface ProcessRegistry {
  isRegistered (): boolean
  /** Store revision of the own entry. A write that raises the own share compares it. */
  revision (): number
  /** Tries once to register; a lost answer is met by trying again. */
  register (): Promise<void>
  /** Tries once to make sure that each of the teams has a ledger; the first grant of one that has none comes here. */
  grantFirst (teams: readonly string[]): Promise<void>
  hasLedger (team: string): boolean
  /** The answer to a write of the ledger was lost: read it again, since it may grant something to this process. */
  doubt (team: string): void
  /** Teams in doubt. */
  doubted (): readonly string[]
  /** Takes what a ledger grants to this process and what it hasn't taken before. */
  takeGrants (team: string, ledger: Ledger): void
}

/** Ledgers in one transaction; the store takes 128 operations. */
const CREATED_AT_ONCE = 60

export function processKey (process: string): string {
  return `${PROCESSES_PREFIX}${process}`
}

export function createProcessRegistry (options: ProcessRegistryOptions): ProcessRegistry {
  const { store, self, shares, clock, logger } = options
  const taken = new Map<string, number>()
  const teamsWithLedger = new Set<string>()
  const inDoubt = new Set<string>()
  let revision = 0

  const takeGrants = (team: string, ledger: Ledger, tokens: number): void => {
    const own = shares.of(team)
    const granted = grantedTo(ledger, self.incarnation)
    const fresh = granted - (taken.get(team) ?? 0)
    if (own === undefined || fresh <= 0) return
    taken.set(team, granted)
    own.share.receive(fresh, tokens, clock.monotonic())
    logger.info('share-granted', { team, units: fresh })
  }
  const create = async (teams: readonly string[]): Promise<void> => {
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
      // Nobody ever held anything of a team without a ledger, so its bucket may start full.
      takeGrants(team, ledger, shares.of(team)?.share.size().burst ?? 0)
    })
  }
  const noteLedger = (entry: KeyValue): void => {
    const team = entry.key.slice(LEDGERS_PREFIX.length)
    teamsWithLedger.add(team)
    const ledger = parseLedger(entry.value)
    if (ledger.err) return logger.error('ledger-refused', { team, reason: ledger.val.message })
    inDoubt.delete(team)
    takeGrants(team, ledger.val, 0)
  }
  return {
    takeGrants: (team, ledger) => takeGrants(team, ledger, 0),
    isRegistered: () => revision > 0,
    revision: () => revision,
    doubt: team => { inDoubt.add(team) },
    doubted: () => [...inDoubt],
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
    grantFirst: async teams => {
      const found = await store.range(LEDGERS_PREFIX)
      if (found.err) return
      found.val.entries.forEach(noteLedger)
      const missing = teams.filter(team => !teamsWithLedger.has(team))
      const groups = Array.from({ length: Math.ceil(missing.length / CREATED_AT_ONCE) }, (_, index) =>
        missing.slice(index * CREATED_AT_ONCE, (index + 1) * CREATED_AT_ONCE))
      await Promise.all(groups.map(create))
    }
  }
}
