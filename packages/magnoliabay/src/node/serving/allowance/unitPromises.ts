/**
 * Keeps units for requests that were rejected with a retry time, in the order of the rejections, so that the units are
 * there when the callers return. A promise ends when its caller returns, or some time after it should have.
 */

/** Time after the promised one by which a caller should have returned, in milliseconds: its round trip, and a wait for a server. */
const RETURN_GRACE_MS = 1000
/** A caller that returns this much early, in milliseconds, counts as returned: its clock and timers differ slightly. */
const MAX_EARLY_RETURN_MS = 50
/** Largest number of promises of a team; a further rejected request gets a retry time, but no units are kept for it. */
const MAX_PROMISES = 1024

export interface UnitPromise {
  /** Identifies the request, and is the same when it is sent again. */
  caller: string
  units: number
  part: string
  dueMs: number
}

export interface UnitPromises {
  add (promise: UnitPromise): void
  /** Returns the earliest promise to this caller that is due. */
  findDue (caller: string | undefined, nowMs: number): UnitPromise | undefined
  remove (promise: UnitPromise): void
  /** Returns the units of the promises that meet the condition; with `before`, of those made before that one only. */
  promisedUnits (nowMs: number, isCounted: (promise: UnitPromise) => boolean, before?: UnitPromise): number
}

export function createUnitPromises (): UnitPromises {
  let promises: UnitPromise[] = []

  const removeExpired = (nowMs: number): void => {
    if (promises.some(({ dueMs }) => nowMs > dueMs + RETURN_GRACE_MS)) promises = promises.filter(({ dueMs }) => nowMs <= dueMs + RETURN_GRACE_MS)
  }
  return {
    add: promise => { if (promises.length < MAX_PROMISES) promises.push(promise) },
    findDue: (caller, nowMs) => {
      removeExpired(nowMs)
      return caller === undefined ? undefined : promises.find(each => each.caller === caller && nowMs >= each.dueMs - MAX_EARLY_RETURN_MS)
    },
    remove: promise => { promises = promises.filter(each => each !== promise) },
    promisedUnits: (nowMs, isCounted, before) => {
      removeExpired(nowMs)
      const earlier = before === undefined ? promises : promises.slice(0, promises.indexOf(before))
      return earlier.reduce((sum, each) => isCounted(each) ? sum + each.units : sum, 0)
    }
  }
}
