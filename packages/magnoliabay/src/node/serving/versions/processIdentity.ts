/**
 * Tells whether the server process that the list names is certainly the one that answers. A server may come back under its id
 * with another software version, and answer before its new entry arrives here: its connections break then, its entry may
 * have expired while the store was away, or no change of the list arrives at all.
 */
import type { Clock } from '../../clock'
import { sleep } from '../../clock'
import type { EngineReport, ReportError } from '../engineCalls'
import type { Result } from '../../result'
import { serverProcessId } from '../types'
import type { BackendServer } from '../types'

/** A server writes its entry when it starts; it arrives within this time while the list is current, milliseconds. */
const ENTRY_DELAY_MS = 2000
/** Time for which a verification holds, milliseconds: a server takes longer to restart. */
const VERIFICATION_TTL_MS = 500
/** A server that has not answered by then is asked again by the next request, milliseconds. */
const ANSWER_TIMEOUT_MS = 300
/** Above this number of records all are dropped; what they said is then found out anew. */
const MAX_RECORDS = 2000

/** `same`: the listed process answers. `other`: another one does, or may. `unanswered`: none has said which it is. */
export type Identity = 'same' | 'other' | 'unanswered'

export interface ProcessIdentity {
  /** Records that a connection to the server broke, or was refused. */
  recordBreak (server: BackendServer): void
  /** Records that the server took a connection right after one broke: a process that has died refuses them until another starts. */
  recordAccepting (server: BackendServer): void
  /** Whether a connection to the server broke so lately that the entry of another process may not have arrived. */
  hasBrokenLately (server: BackendServer): boolean
  /** Whether another process may answer in the place of the one that is listed, and the server has not said which it is. */
  isUnverified (server: BackendServer): boolean
  /** Asks the server which process it is, unless it has said so a moment ago. */
  verify (server: BackendServer): Promise<Identity>
}

export interface ProcessIdentityOptions {
  fetchReport: (server: BackendServer) => Promise<Result<EngineReport, ReportError>>
  /** Whether changes of the list of servers reach this instance. */
  isListCurrent: () => boolean
  /** Whether the server's entry has expired and is kept for a while, since the store was away. */
  isEntryHeld: (server: BackendServer) => boolean
  clock: Clock
}

export function createProcessIdentity ({ fetchReport, isListCurrent, isEntryHeld, clock }: ProcessIdentityOptions): ProcessIdentity {
  /** When a connection to the process last broke, and when it was last verified, monotonic milliseconds. */
  const brokeMs = new Map<string, number>()
  const verifiedMs = new Map<string, number>()
  const pending = new Map<string, Promise<Identity>>()

  const since = (times: ReadonlyMap<string, number>, process: string): number => clock.monotonic() - (times.get(process) ?? -Infinity)
  const set = (times: Map<string, number>, process: string): void => {
    if (times.size >= MAX_RECORDS) times.clear()
    times.set(process, clock.monotonic())
  }
  const hasBrokenLately = (process: string): boolean => since(brokeMs, process) < ENTRY_DELAY_MS
  const ask = async (server: BackendServer): Promise<Identity> => {
    const askedMs = clock.monotonic()
    const process = serverProcessId(server)
    const report = await Promise.race([fetchReport(server), sleep(clock, ANSWER_TIMEOUT_MS)])
    if (report === undefined || report.err) return 'unanswered'
    // Some reports do not name the process. A server that answers and has not broken a connection here has not restarted.
    const isSame = report.val.bornMs === undefined ? !hasBrokenLately(process) : report.val.bornMs === server.bornMs
    const hasBrokenMeanwhile = (brokeMs.get(process) ?? -Infinity) > askedMs
    if (!isSame || hasBrokenMeanwhile) return 'other'
    set(verifiedMs, process)
    return 'same'
  }
  const isVerified = (process: string): boolean => since(verifiedMs, process) < VERIFICATION_TTL_MS && (verifiedMs.get(process) ?? 0) >= (brokeMs.get(process) ?? 0)

  return {
    recordBreak: server => set(brokeMs, serverProcessId(server)),
    recordAccepting: server => { brokeMs.delete(serverProcessId(server)) },
    hasBrokenLately: server => hasBrokenLately(serverProcessId(server)),
    isUnverified: server => {
      const process = serverProcessId(server)
      return (hasBrokenLately(process) || isEntryHeld(server) || !isListCurrent()) && !isVerified(process)
    },
    verify: async server => {
      const process = serverProcessId(server)
      if (isVerified(process)) return 'same'
      const asked = pending.get(process) ?? ask(server).finally(() => pending.delete(process))
      pending.set(process, asked)
      return await asked
    }
  }
}
