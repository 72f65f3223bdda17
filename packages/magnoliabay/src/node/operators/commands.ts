/** What operators change: keys and the configuration. Everything else asks (`queries.ts`). */
import { createCallerKey, KEY_RECORDS_PREFIX } from '../admission'
import type { CallerKeyRecord, Keyring, CreatedCallerKey } from '../admission'
import type { Clock } from '../clock'
import { sleep } from '../clock'
import type { ConfigCommitter, ApplyError, ApplyRequest, ConfigProvider, Manifest } from '../config'
import type { PeerError, Peers, TerminationDetector } from '../members'
import type { Store, StoreError } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { parseJson } from '../utils'
import { auditWrite, dropOldAudit } from './audit'
import type { AuditAction } from './audit'
import type { Drainer } from './drain'

export type OperatorError =
  | { kind: 'store', cause: StoreError }
  | { kind: 'unknown-key', keyId: string }
  | { kind: 'unknown-team', team: string }
  | { kind: 'unknown-version', document: string, version: number }
  | { kind: 'bad-request', message: string }
  | { kind: 'not-drained', instance: string, cause: PeerError }
  | ApplyError

export interface OperatorCommands {
  createKey (team: string, operator: string): Promise<Result<CreatedCallerKey, OperatorError>>
  /** Takes effect on every reachable instance at once, also while the store is dark; then the store is told. */
  withdrawKey (keyId: string, operator: string): Promise<Result<CallerKeyRecord, OperatorError>>
  applyConfig (req: ApplyRequest): Promise<Result<Manifest, OperatorError>>
  /** The instance leaves `locate` and hands over what it holds; its process goes on. */
  drain (instance: string, operator: string): Promise<Result<{ instance: string }, OperatorError>>
  /**
   * Takes an operator's word that a process is dead: its cells and its shares of allowances go to others. Said
   * of a process that lives, it breaks what depends on there being one holder; so it is audited.
   */
  declareGone (process: DeclaredProcess, operator: string): Promise<Result<DeclaredProcess, OperatorError>>
}

/** A process that an operator knows to be dead. */
export interface DeclaredProcess {
  member: string
  incarnation: string
}

export interface OperatorCommandsOptions {
  proofs: Pick<TerminationDetector, 'declareTerminated'>
  store: Store
  keyring: Keyring
  cfg: ConfigProvider
  acceptor: ConfigCommitter
  drain: Drainer
  peers: Peers
  clock: Clock
}

const TEAM_WAIT_MS = 2000
const TEAM_POLL_MS = 50

export function createOperatorCommands (options: OperatorCommandsOptions): OperatorCommands {
  const { store, keyring, clock } = options

  const record = (operator: string, action: AuditAction, subject: string, detail: string) =>
    auditWrite({ atMs: clock.now(), operator, action, subject, detail, instance: options.peers.self.id })
  const putKey = async (key: CallerKeyRecord, audit: ReturnType<typeof record>): Promise<Result<CallerKeyRecord, OperatorError>> => {
    const written = await store.transact({
      compares: [],
      writes: [{ kind: 'put', key: KEY_RECORDS_PREFIX + key.id, value: JSON.stringify(key) }, audit]
    }, { priority: 'config' })
    if (written.err) return Err({ kind: 'store', cause: written.val })
    dropOldAudit(store)
    return Ok(key)
  }
  /** A team may have been accepted at another instance a moment ago. */
  const isTeamInForce = async (team: string): Promise<boolean> => {
    const startedMs = clock.monotonic()
    while (options.cfg.team(team) === undefined && clock.monotonic() - startedMs < TEAM_WAIT_MS) await sleep(clock, TEAM_POLL_MS)
    return options.cfg.team(team) !== undefined
  }
  return {
    createKey: async (team, operator) => {
      if (!await isTeamInForce(team)) return Err({ kind: 'unknown-team', team })
      const created = createCallerKey(team, clock.now())
      const written = await putKey(created.record, record(operator, 'key-created', created.record.id, `team ${team}`))
      return written.map(() => created)
    },
    withdrawKey: async (keyId, operator) => {
      keyring.withdraw({ keyId, atMs: clock.now() })
      const found = await store.get(KEY_RECORDS_PREFIX + keyId, { priority: 'config' })
      if (found.err) return Err({ kind: 'store', cause: found.val })
      const before = parseJson(found.val?.value ?? '') as CallerKeyRecord | undefined
      if (before === undefined) return Err({ kind: 'unknown-key', keyId })
      const withdrawn = { ...before, withdrawnAtMs: before.withdrawnAtMs ?? clock.now() }
      return await putKey(withdrawn, record(operator, 'key-withdrawn', keyId, `team ${before.team}`))
    },
    drain: async (instance, operator) => {
      const drained = await options.drain.drain(instance, operator)
      if (drained.err) return Err({ kind: 'not-drained', instance, cause: drained.val })
      await store.transact({ compares: [], writes: [record(operator, 'drained', instance, '')] }, { priority: 'config' })
      return Ok(drained.val)
    },
    declareGone: async (process, operator) => {
      options.proofs.declareTerminated(process)
      await store.transact({ compares: [], writes: [record(operator, 'declared-gone', process.member, process.incarnation)] }, { priority: 'config' })
      return Ok(process)
    },
    applyConfig: async req => {
      const applied = await options.acceptor.apply(req)
      if (applied.ok) dropOldAudit(store)
      return applied
    }
  }
}
