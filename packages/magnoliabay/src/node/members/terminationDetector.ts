/**
 * Proof that a process is gone for good. Silence, a lapsed lease and a refused connection are no proof:
 * a paused process wakes up and goes on with what it believes that it holds.
 */
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { ListedInstance } from '../store'
import { createListeners } from './dispatch'
import type { Disposer, Peers } from './peers'
import { definePeerCall, definePeerNotice } from './peers'
import type { MemberRecord } from './record'

export interface ProcessId {
  /** Instance id. */
  member: string
  incarnation: string
}

/**
 * `listed-gone`: the platform's list had the instance after this process started, and has it no more.
 * `goodbye`: the process said so itself. `newer-incarnation`: another process has bound the same addresses.
 * `operator`: a person has said so.
 */
export type TerminationProofKind = 'listed-gone' | 'goodbye' | 'newer-incarnation' | 'operator'

export interface TerminationProofs {
  /** The proof that this very process is gone, or undefined while it may still act. */
  proofFor (process: ProcessId): TerminationProofKind | undefined
  onTerminated (listener: (process: ProcessId, proof: TerminationProofKind) => void): Disposer
}

export interface TerminationDetector extends TerminationProofs {
  /** A process that was seen, from its record or its link. Kept here even when its lease has lapsed. */
  observeProcess (record: MemberRecord): void
  recordGoodbye (record: MemberRecord): void
  /** The platform's list as just read. */
  observeInstanceList (listed: readonly ListedInstance[]): void
  declareTerminated (process: ProcessId): void
}

export interface ProofKeeperOptions {
  peers: Peers
  clock: Clock
  logger: Logger
}

/**
 * The list is wrong by one now and then, so one reading without the instance proves nothing. It has to be absent
 * from every reading for this long, and meanwhile neither hold a link to us nor be registered as a member.
 */
const LISTED_GONE_MS = 30_000
const LEAST_READINGS = 5

export interface ProofMessage {
  process: ProcessId
  proof: TerminationProofKind
}

const proofNotice = definePeerNotice<ProofMessage>('members.gone')
const proofsCall = definePeerCall<null, readonly ProofMessage[]>('members.proofs')

interface Sighting {
  record: MemberRecord
  wasListed: boolean
  absentSinceMs: number | undefined
  readings: number
}

export function createTerminationDetector (options: ProofKeeperOptions): TerminationDetector {
  const { peers, clock, logger } = options
  const sightings = new Map<string, Sighting>()
  const proofs = new Map<string, ProofMessage>()
  const proven = createListeners<[ProcessId, TerminationProofKind]>()

  const accept = (process: ProcessId, proof: TerminationProofKind): boolean => {
    if (proofs.has(process.incarnation) || process.incarnation === peers.self.incarnation) return false
    proofs.set(process.incarnation, { process, proof })
    logger.info('process-gone', { member: process.member, incarnation: process.incarnation, proof })
    proven.emit(process, proof)
    return true
  }
  const prove = (process: ProcessId, proof: TerminationProofKind): void => {
    if (accept(process, proof)) peers.notifyAll(proofNotice, { process, proof })
  }
  const nameOf = (record: MemberRecord): ProcessId => ({ member: record.id, incarnation: record.incarnation })
  /** Two processes can't have bound the same addresses: the older one's sockets are closed. */
  const isReplacedBy = (older: MemberRecord, newer: MemberRecord): boolean =>
    older.id === newer.id && older.incarnation !== newer.incarnation && older.startedAtMs < newer.startedAtMs &&
    older.peerAddress === newer.peerAddress && older.entryAddress === newer.entryAddress
  const learn = (record: MemberRecord): void => {
    if (!sightings.has(record.incarnation)) {
      sightings.set(record.incarnation, { record, wasListed: false, absentSinceMs: undefined, readings: 0 })
    }
    const all = [...sightings.values()].map(sighting => sighting.record)
    const replaced = all.filter(older => all.some(newer => isReplacedBy(older, newer)))
    replaced.forEach(older => prove(nameOf(older), 'newer-incarnation'))
  }
  const isHeardOf = (record: MemberRecord): boolean =>
    peers.isConnected(record.id) || peers.members().some(member => member.incarnation === record.incarnation)
  const follow = (sighting: Sighting, isListed: boolean): void => {
    sighting.wasListed ||= isListed
    if (isListed || isHeardOf(sighting.record)) {
      sighting.absentSinceMs = undefined
      sighting.readings = 0
      return
    }
    sighting.absentSinceMs ??= clock.monotonic()
    sighting.readings += 1
    const absentMs = clock.monotonic() - sighting.absentSinceMs
    if (sighting.wasListed && absentMs >= LISTED_GONE_MS && sighting.readings >= LEAST_READINGS) prove(nameOf(sighting.record), 'listed-gone')
  }
  const forgetProven = (): void => {
    const settled = [...sightings.keys()].filter(incarnation => proofs.has(incarnation))
    settled.forEach(incarnation => sightings.delete(incarnation))
  }
  const learnMembers = (): void => peers.members().forEach(learn)

  peers.onMembersChanged(learnMembers)
  peers.onConnected(async member => {
    learn(member)
    const known = await peers.call(member.id, proofsCall, null)
    if (known.ok) known.val.forEach(({ process, proof }) => accept(process, proof))
  })
  peers.serve(proofsCall, () => [...proofs.values()])
  peers.listen(proofNotice, ({ process, proof }) => { accept(process, proof) })
  learnMembers()

  return {
    proofFor: process => proofs.get(process.incarnation)?.proof,
    onTerminated: proven.add,
    observeProcess: learn,
    recordGoodbye: record => prove(nameOf(record), 'goodbye'),
    observeInstanceList: listed => {
      const ids = new Set(listed.filter(instance => instance.role === 'entry').map(instance => instance.id))
      sightings.forEach(sighting => follow(sighting, ids.has(sighting.record.id)))
      forgetProven()
    },
    declareTerminated: process => prove(process, 'operator')
  }
}
