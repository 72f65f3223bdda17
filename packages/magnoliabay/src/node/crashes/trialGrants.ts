/**
 * Lets one request of the fleet at a time try a suspect. One instance, the service's home, grants trials for all; another does
 * while the home is not reached. Without either there are no trials.
 */
import * as v from 'valibot'
import type { Clock } from '../clock'
import { definePeerCall, definePeerNotice, rankHomeInstances } from '../members'
import type { Peers } from '../members'
import type { RequestSuspects, Suspect } from './suspects'

interface TrialBody {
  suspects: readonly Suspect[]
}

const trialSchema = v.object({ suspects: v.array(v.string()) })
const trialCall = definePeerCall<TrialBody, { isGranted: boolean }>('crashes.trial', { req: trialSchema, res: v.object({ isGranted: v.boolean() }) })
const trialEndedNotice = definePeerNotice<TrialBody>('crashes.trial-ended', trialSchema)

/** The home and the one in its place. */
const GRANTING_INSTANCES = 2
/** An instance replies within a round trip. */
const ASK_TIMEOUT_MS = 300
/** A trial without a result for this long has not reached a server; another one may be made, milliseconds. */
const PENDING_MS = 5000
/** Such trials count for this long, milliseconds: they may yet reach a server. */
const UNRESOLVED_MS = 30_000
const MAX_UNRESOLVED = 2

export interface TrialGrants {
  /** Asks whether a request may try the suspects now. */
  ask (req: RequestSuspects, suspects: readonly Suspect[]): Promise<boolean>
  /** Records that a trial has ended, whatever its result. */
  end (req: RequestSuspects, suspects: readonly Suspect[]): void
}

export interface TrialGrantsOptions {
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'call' | 'notify' | 'serve' | 'listen'>
  clock: Clock
}

export function createTrialGrants ({ peers, clock }: TrialGrantsOptions): TrialGrants {
  /** When trials were granted that have not ended, by suspect, monotonic milliseconds. */
  const grantedMs = new Map<Suspect, readonly number[]>()

  const unresolved = (suspect: Suspect): readonly number[] => (grantedMs.get(suspect) ?? []).filter(atMs => clock.monotonic() - atMs < UNRESOLVED_MS)
  const isFree = (suspect: Suspect): boolean => {
    const trials = unresolved(suspect)
    return trials.length < MAX_UNRESOLVED && trials.every(atMs => clock.monotonic() - atMs >= PENDING_MS)
  }
  const dropOld = (): void => grantedMs.forEach((_, suspect) => { if (unresolved(suspect).length === 0) grantedMs.delete(suspect) })
  const grant = ({ suspects }: TrialBody): { isGranted: boolean } => {
    dropOld()
    if (!suspects.every(isFree)) return { isGranted: false }
    suspects.forEach(suspect => grantedMs.set(suspect, [...unresolved(suspect), clock.monotonic()]))
    return { isGranted: true }
  }
  const resolve = ({ suspects }: TrialBody): void => suspects.forEach(suspect => grantedMs.delete(suspect))
  peers.serve(trialCall, grant)
  peers.listen(trialEndedNotice, resolve)

  const grantingInstances = (service: string): string[] => rankHomeInstances(peers, `crash-trials ${service}`).slice(0, GRANTING_INSTANCES)
  return {
    ask: async ({ service }, suspects) => {
      for (const member of grantingInstances(service)) {
        if (member === peers.self.id) return grant({ suspects }).isGranted
        const reply = peers.isConnected(member) ? await peers.call(member, trialCall, { suspects }, { timeoutMs: ASK_TIMEOUT_MS }) : undefined
        if (reply?.ok) return reply.val.isGranted
      }
      return false
    },
    end: ({ service }, suspects) => grantingInstances(service).forEach(member => {
      if (member === peers.self.id) resolve({ suspects })
      else peers.notify(member, trialEndedNotice, { suspects })
    })
  }
}
