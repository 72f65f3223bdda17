/** What one request holds that servers may crash on, from its arrival to its end; the same at both front doors. */
import type { Accusation, CrashAttribution, CutRequest } from './crashAttribution'
import type { RequestSuspects, Suspect } from './suspects'

export interface RequestGuard {
  /** Returns what is blamed in the request; undefined if nothing is. */
  accusation (): Accusation | undefined
  /**
   * To be called before each attempt. Returns what is blamed if the request must not be sent; lets it through for one attempt
   * where a trial may be made.
   */
  admit (): Promise<Accusation | undefined>
  /** Whether the request is to be withdrawn from where it waits. */
  mustWithdraw (): boolean
  /** Suspects that the next attempt, or the one in progress, is to try; empty for any other. */
  trial (): readonly Suspect[]
  /** Records that the answer of the attempt in progress has begun. */
  recordBegun (softwareVersion: string): void
  /** Records that the server crashed before the answer of the attempt began. */
  recordCrash (cut: CutRequest): void
  /** Ends the trial, if the attempt was one; to be called after each attempt, and at the end of the request. */
  endTrial (): void
}

export function createRequestGuard (crashes: CrashAttribution, req: RequestSuspects, requestId: string): RequestGuard {
  let trial: readonly Suspect[] = []
  const accusation = (): Accusation | undefined => crashes.accusationOf(req)
  const endTrial = (): void => {
    if (trial.length === 0) return
    crashes.endTrial(req, trial)
    trial = []
  }
  return {
    accusation,
    admit: async () => {
      const accused = accusation()
      if (accused === undefined || accused.suspects.every(suspect => trial.includes(suspect))) return undefined
      endTrial()
      const admission = await crashes.admit(req, requestId)
      if (admission.kind === 'trial') trial = admission.suspects
      return admission.kind === 'refused' ? admission.accusation : undefined
    },
    mustWithdraw: () => trial.length === 0 && crashes.isProven(req),
    trial: () => trial,
    recordBegun: softwareVersion => crashes.recordBegun(req, softwareVersion),
    recordCrash: cut => crashes.recordCrash(req, cut),
    endTrial
  }
}
