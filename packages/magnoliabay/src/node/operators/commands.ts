/** Operator calls that change state. Calls that only read are in `queries.ts`. */
import { inBackground } from '../background'
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
import { auditWrite, deleteOldAuditRecords } from './audit'
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
  /** Takes effect on every reachable instance at once, also while the store is unavailable; then the store is written. */
  withdrawKey (keyId: string, operator: string): Promise<Result<CallerKeyRecord, OperatorError>>
  applyConfig (req: ApplyRequest): Promise<Result<Manifest, OperatorError>>
  /** Makes the instance leave `locate` and resign as leader of its cells; its process continues. */
  drain (instance: string, operator: string): Promise<Result<{ instance: string }, OperatorError>>
  /**
   * Accepts an operator's statement that a process has terminated: its cells and its shares of allowances go to others.
   * If the process still runs, two instances may lead the same cell or spend the same share; the call is therefore audited.
   */
  declareGone (process: DeclaredProcess, operator: string): Promise<Result<DeclaredProcess, OperatorError>>
}

/** A process that an operator declares terminated. */
export interface DeclaredProcess {
  member: string
  incarnation: string
}

export interface OperatorCommandsOptions {
  terminationDetector: Pick<TerminationDetector, 'declareTerminated'>
  store: Store
  keyring: Keyring
  cfg: ConfigProvider
  configCommitter: ConfigCommitter
  drainer: Drainer
  peers: Peers
  clock: Clock
}

const TEAM_TIMEOUT_MS = 2000
const TEAM_POLL_INTERVAL_MS = 50

export function createOperatorCommands (options: OperatorCommandsOptions): OperatorCommands {
  const { store, keyring, clock } = options

  const auditRecordWrite = (operator: string, action: AuditAction, subject: string, detail: string) =>
    auditWrite({ atMs: clock.now(), operator, action, subject, detail, instance: options.peers.self.id })
  const writeKeyRecord = async (key: CallerKeyRecord, audit: ReturnType<typeof auditRecordWrite>): Promise<Result<CallerKeyRecord, OperatorError>> => {
    const written = await store.transact({
      compares: [],
      writes: [{ kind: 'put', key: KEY_RECORDS_PREFIX + key.id, value: JSON.stringify(key) }, audit]
    }, { priority: 'config' })
    if (written.err) return Err({ kind: 'store', cause: written.val })
    inBackground('delete-old-audit-records', deleteOldAuditRecords(store))
    return Ok(key)
  }
  /** Returns whether the team is active, and first waits for it: another instance may just have accepted it. */
  const isTeamActive = async (team: string): Promise<boolean> => {
    const startedMs = clock.monotonic()
    while (options.cfg.team(team) === undefined && clock.monotonic() - startedMs < TEAM_TIMEOUT_MS) await sleep(clock, TEAM_POLL_INTERVAL_MS)
    return options.cfg.team(team) !== undefined
  }
  return {
    createKey: async (team, operator) => {
      if (!await isTeamActive(team)) return Err({ kind: 'unknown-team', team })
      const created = createCallerKey(team, clock.now())
      const written = await writeKeyRecord(created.record, auditRecordWrite(operator, 'key-created', created.record.id, `team ${team}`))
      return written.map(() => created)
    },
    withdrawKey: async (keyId, operator) => {
      keyring.withdraw({ keyId, atMs: clock.now() })
      const found = await store.get(KEY_RECORDS_PREFIX + keyId, { priority: 'config' })
      if (found.err) return Err({ kind: 'store', cause: found.val })
      const before = parseJson(found.val?.value ?? '') as CallerKeyRecord | undefined
      if (before === undefined) return Err({ kind: 'unknown-key', keyId })
      const withdrawn = { ...before, withdrawnAtMs: before.withdrawnAtMs ?? clock.now() }
      return await writeKeyRecord(withdrawn, auditRecordWrite(operator, 'key-withdrawn', keyId, `team ${before.team}`))
    },
    drain: async (instance, operator) => {
      const drained = await options.drainer.drain(instance, operator)
      if (drained.err) return Err({ kind: 'not-drained', instance, cause: drained.val })
      await store.transact({ compares: [], writes: [auditRecordWrite(operator, 'drained', instance, '')] }, { priority: 'config' })
      return Ok(drained.val)
    },
    declareGone: async (process, operator) => {
      options.terminationDetector.declareTerminated(process)
      await store.transact({ compares: [], writes: [auditRecordWrite(operator, 'declared-gone', process.member, process.incarnation)] }, { priority: 'config' })
      return Ok(process)
    },
    applyConfig: async req => {
      const applied = await options.configCommitter.apply(req)
      if (applied.ok) inBackground('delete-old-audit-records', deleteOldAuditRecords(store))
      return applied
    }
  }
}
