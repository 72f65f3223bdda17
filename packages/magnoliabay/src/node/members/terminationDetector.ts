/**
 * Collects proofs that processes have ended. Silence, an expired lease and a refused connection are no proof: a paused
 * process resumes and continues to use the leases and shares that it held before.
 */
import * as v from 'valibot'
import { inBackground } from '../background'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { ListedInstance } from '../store'
import { createListeners } from './dispatch'
import type { Disposer, Peers } from './peers'
import { NO_BODY, definePeerCall, definePeerNotice } from './peers'
import type { MemberRecord } from './record'

export interface ProcessId {
  /** Instance id. */
  member: string
  incarnation: string
}

/**
 * `listed-gone`: the platform's list contained the instance after this process started, and no longer does. `goodbye`:
 * the process announced its end. `newer-incarnation`: another process has bound the same addresses. `operator`: an
 * operator has declared it ended.
 */
export type TerminationProofKind = 'listed-gone' | 'goodbye' | 'newer-incarnation' | 'operator'

export interface TerminationProofs {
  /** Returns the proof that this process has ended, or undefined while it may still act. */
  proofFor (process: ProcessId): TerminationProofKind | undefined
  onTerminated (listener: (process: ProcessId, proof: TerminationProofKind) => void): Disposer
}

export interface TerminationDetector extends TerminationProofs {
  /** Registers a process known from its record or its link. It stays registered when its lease expires. */
  observeProcess (record: MemberRecord): void
  recordGoodbye (record: MemberRecord): void
  /** Takes the platform's list as just read. */
  observeInstanceList (listed: readonly ListedInstance[]): void
  declareTerminated (process: ProcessId): void
}

export interface TerminationDetectorOptions {
  peers: Peers
  clock: Clock
  logger: Logger
}

/**
 * The list sometimes misses an instance, so one reading without it proves nothing. The instance has to be absent from
 * every reading for this long, and meanwhile neither hold a link to this member nor be registered as a member.
 */
const MIN_ABSENT_MS = 30_000
const MIN_ABSENT_READINGS = 5

export interface ProofMessage {
  process: ProcessId
  proof: TerminationProofKind
}

const proofSchema = v.object({ process: v.object({ member: v.string(), incarnation: v.string() }), proof: v.string() })
const proofNotice = definePeerNotice<ProofMessage>('members.gone', proofSchema)
const proofsCall = definePeerCall<null, readonly ProofMessage[]>('members.proofs', { req: NO_BODY, res: v.array(proofSchema) })

interface ObservedProcess {
  record: MemberRecord
  wasListed: boolean
  absentSinceMs: number | undefined
  absentReadings: number
}

export function createTerminationDetector (options: TerminationDetectorOptions): TerminationDetector {
  const { peers, clock, logger } = options
  const observedProcesses = new Map<string, ObservedProcess>()
  const proofs = new Map<string, ProofMessage>()
  const terminated = createListeners<[ProcessId, TerminationProofKind]>()

  const acceptProof = (process: ProcessId, proof: TerminationProofKind): boolean => {
    if (proofs.has(process.incarnation) || process.incarnation === peers.self.incarnation) return false
    proofs.set(process.incarnation, { process, proof })
    logger.info('process-gone', { member: process.member, incarnation: process.incarnation, proof })
    terminated.emit(process, proof)
    return true
  }
  const prove = (process: ProcessId, proof: TerminationProofKind): void => {
    if (acceptProof(process, proof)) peers.notifyAll(proofNotice, { process, proof })
  }
  const processIdOf = (record: MemberRecord): ProcessId => ({ member: record.id, incarnation: record.incarnation })
  /** Two processes can't have bound the same addresses: the sockets of the older one are closed. */
  const isReplacedBy = (older: MemberRecord, newer: MemberRecord): boolean =>
    older.id === newer.id && older.incarnation !== newer.incarnation && older.startedAtMs < newer.startedAtMs &&
    older.peerAddress === newer.peerAddress && older.entryAddress === newer.entryAddress
  const observeProcess = (record: MemberRecord): void => {
    if (!observedProcesses.has(record.incarnation)) {
      observedProcesses.set(record.incarnation, { record, wasListed: false, absentSinceMs: undefined, absentReadings: 0 })
    }
    const all = [...observedProcesses.values()].map(observed => observed.record)
    const replaced = all.filter(older => all.some(newer => isReplacedBy(older, newer)))
    replaced.forEach(older => prove(processIdOf(older), 'newer-incarnation'))
  }
  const isConnectedOrRegistered = (record: MemberRecord): boolean =>
    peers.isConnected(record.id) || peers.members().some(member => member.incarnation === record.incarnation)
  const updateAbsence = (observed: ObservedProcess, isListed: boolean): void => {
    observed.wasListed ||= isListed
    if (isListed || isConnectedOrRegistered(observed.record)) {
      observed.absentSinceMs = undefined
      observed.absentReadings = 0
      return
    }
    observed.absentSinceMs ??= clock.monotonic()
    observed.absentReadings += 1
    const absentMs = clock.monotonic() - observed.absentSinceMs
    if (observed.wasListed && absentMs >= MIN_ABSENT_MS && observed.absentReadings >= MIN_ABSENT_READINGS) prove(processIdOf(observed.record), 'listed-gone')
  }
  const dropProven = (): void => {
    const provenIncarnations = [...observedProcesses.keys()].filter(incarnation => proofs.has(incarnation))
    provenIncarnations.forEach(incarnation => observedProcesses.delete(incarnation))
  }
  const observeMembers = (): void => peers.members().forEach(observeProcess)

  peers.onMembersChanged(observeMembers)
  const fetchProofs = async (memberId: string): Promise<void> => {
    const known = await peers.call(memberId, proofsCall, null)
    if (known.ok) known.val.forEach(({ process, proof }) => acceptProof(process, proof))
  }
  peers.onConnected(member => {
    observeProcess(member)
    inBackground('fetch-proofs', fetchProofs(member.id))
  })
  peers.serve(proofsCall, () => [...proofs.values()])
  peers.listen(proofNotice, ({ process, proof }) => { acceptProof(process, proof) })
  observeMembers()

  return {
    proofFor: process => proofs.get(process.incarnation)?.proof,
    onTerminated: terminated.add,
    observeProcess,
    recordGoodbye: record => prove(processIdOf(record), 'goodbye'),
    observeInstanceList: listed => {
      const ids = new Set(listed.filter(instance => instance.role === 'entry').map(instance => instance.id))
      observedProcesses.forEach(observed => updateAbsence(observed, ids.has(observed.record.id)))
      dropProven()
    },
    declareTerminated: process => prove(process, 'operator')
  }
}
