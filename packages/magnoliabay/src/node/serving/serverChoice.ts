/**
 * Chooses the backend server for a request among those that may get it: by load or predicted time, within the rates of cold
 * and limited servers, and not during the backoff that they ask for.
 */
import { chooseServer } from './chooseServer'
import type { Candidate } from './chooseServer'
import { createEngineChooser } from './choice/engineChoice'
import { SERVER_FULL_RETRY_AFTER_MS } from './refusal'
import type { Refusal } from './refusal'
import type { RequestRun } from './requestRun'
import type { ServingContext } from './servingContext'
import { serverProcessId } from './types'
import type { BackendServer } from './types'

/** Delay before a cold server is tried again, and the delay after which its callers may retry, milliseconds. */
const COLD_SERVER_DELAY_MS = 150
const COLD_SERVER_RETRY_AFTER_MS = 500

/**
 * `none`: there is no server that may get the request. `refused`: those that may have reached their rate, and
 * `refusal.retryAfterMs` is when one has a place again.
 */
export type ServerChoice =
  | { kind: 'chosen', server: BackendServer }
  | { kind: 'none' }
  | { kind: 'refused', refusal: Refusal }

export interface ServerChooser {
  /** Chooses a server; waits while the only ones are cold and have reached their rate. `maxWaitMs` is asked anew after each wait. */
  choose (run: RequestRun, from: readonly BackendServer[], maxWaitMs: () => number): Promise<ServerChoice>
}

interface Denials {
  isColdDenied: boolean
  /** A brittle server has no place for the moment. */
  isBrittleDenied: boolean
  /** Shortest time after which a limited server has a place again, milliseconds. */
  limitRetryMs: number
  /** Shortest time after which the backoff of a server is over, milliseconds. */
  backoffMs: number
}

const SERVER_FULL: ServerChoice = { kind: 'refused', refusal: { reason: 'server-full', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS } }
const NO_DENIALS: Denials = { isColdDenied: false, isBrittleDenied: false, limitRetryMs: Infinity, backoffMs: Infinity }

function refusalOf ({ isBrittleDenied, limitRetryMs, backoffMs }: Denials): Refusal {
  if (isBrittleDenied) return { reason: 'server-full', retryAfterMs: Math.min(limitRetryMs, backoffMs, SERVER_FULL_RETRY_AFTER_MS) }
  if (limitRetryMs === Infinity && backoffMs === Infinity) return { reason: 'server-cold', retryAfterMs: COLD_SERVER_RETRY_AFTER_MS }
  return limitRetryMs <= backoffMs ? { reason: 'server-limited', retryAfterMs: limitRetryMs } : { reason: 'server-backoff', retryAfterMs: backoffMs }
}

/** Frees the place that a request holds at a brittle server, if it holds one. */
export function releasePlace (ctx: Pick<ServingContext, 'brittleServers'>, run: RequestRun, isRejected: boolean): void {
  if (run.placeAt === undefined) return
  ctx.brittleServers.release(run.placeAt, isRejected)
  run.placeAt = undefined
}

export function createServerChooser (ctx: ServingContext): ServerChooser {
  const { health, fleetView } = ctx
  const engineChooser = createEngineChooser(ctx)

  /** What shows that a server is back is a first attempt; one that follows another is often the last. */
  const isAvoided = ({ possibleRuns }: RequestRun, id: string): boolean => possibleRuns > 0 ? !health.isResponding(id) : health.isSilent(id)
  const describe = (run: RequestRun, server: BackendServer): Candidate => {
    const id = serverProcessId(server)
    return {
      id,
      load: health.inFlight(id) + fleetView.inFlightElsewhere(id),
      slots: server.slots,
      isNear: server.failureDomain === ctx.failureDomain,
      failureRate: health.failureRate(id),
      isSilent: isAvoided(run, id),
      isCold: ctx.coldStarts.isCold(server)
    }
  }
  const pickServer = (run: RequestRun, from: readonly BackendServer[]): BackendServer | undefined => {
    const untried = from.filter(server => !run.tried.has(serverProcessId(server)))
    const notRejected = untried.filter(server => !run.rejectedBy.has(serverProcessId(server)))
    const candidates = notRejected.length > 0 ? notRejected : untried
    const described = candidates.map(server => ({ server, candidate: describe(run, server) }))
    if (engineChooser.isActiveFor(run.admitted.service)) return engineChooser.choose(run, described)
    const chosen = chooseServer(described.map(({ candidate }) => candidate), ctx.random())
    return described.find(({ candidate }) => candidate.id === chosen?.id)?.server
  }
  const mayTakeFreely = (run: RequestRun, server: BackendServer): boolean => {
    const id = serverProcessId(server)
    return !run.tried.has(id) && ctx.serverLimits.limitOf(id) === undefined && !health.isSilent(id)
  }
  /** Takes a place at a server of a brittle service; any other server needs none. */
  const takePlace = async (run: RequestRun, server: BackendServer): Promise<boolean> => {
    const maxRejections = ctx.brittleServices.maxRejectionsOf(server.service)
    if (maxRejections === undefined) return true
    const process = serverProcessId(server)
    if (!await ctx.brittleServers.take(process, server.slots, maxRejections)) return false
    run.placeAt = process
    return true
  }
  /** Returns the best server that may get the request now, or why none may. */
  const pickAdmitted = async (run: RequestRun, from: readonly BackendServer[], denials: Denials): Promise<BackendServer | Denials> => {
    const server = pickServer(run, from)
    if (server === undefined) return denials
    const others = from.filter(other => other !== server)
    if (ctx.coldStarts.isCold(server) && !await ctx.coldStarts.admit(server)) return await pickAdmitted(run, others, { ...denials, isColdDenied: true })
    if (!await takePlace(run, server)) return await pickAdmitted(run, others, { ...denials, isBrittleDenied: true })
    const { freeInMs, retryInMs } = await ctx.limitedServers.admit(serverProcessId(server), others.some(other => mayTakeFreely(run, other)))
    if (freeInMs === 0) return server
    releasePlace(ctx, run, false)
    return await pickAdmitted(run, others, { ...denials, limitRetryMs: Math.min(denials.limitRetryMs, retryInMs) })
  }

  const backoffMsOf = (server: BackendServer): number => ctx.serverBackoffs.remainingMs(serverProcessId(server))
  const isBackoffOver = (server: BackendServer): boolean => backoffMsOf(server) === 0
  const shortestBackoffMs = (run: RequestRun, from: readonly BackendServer[]): number =>
    Math.min(Infinity, ...from.filter(server => !isBackoffOver(server) && !run.tried.has(serverProcessId(server))).map(backoffMsOf))
  /** A request to engines that are all known to be full would be rejected by each of them, and count in the retry budget. */
  const areAllFull = (run: RequestRun, from: readonly BackendServer[]): boolean => {
    if (!engineChooser.isActiveFor(run.admitted.service)) return false
    const untried = from.filter(server => !run.tried.has(serverProcessId(server)))
    return untried.length > 0 && untried.every(engineChooser.isKnownFull)
  }

  return {
    choose: async (run, from, maxWaitMs) => {
      for (;;) {
        if (areAllFull(run, from.filter(isBackoffOver))) return SERVER_FULL
        const picked = await pickAdmitted(run, from.filter(isBackoffOver), { ...NO_DENIALS, backoffMs: shortestBackoffMs(run, from) })
        if ('id' in picked) return { kind: 'chosen', server: picked }
        const { isColdDenied, isBrittleDenied, limitRetryMs, backoffMs } = picked
        if (!isColdDenied && !isBrittleDenied && limitRetryMs === Infinity && backoffMs === Infinity) return { kind: 'none' }
        const mayWait = isColdDenied && !run.stop.signal.aborted && maxWaitMs() > COLD_SERVER_DELAY_MS
        if (!mayWait) return { kind: 'refused', refusal: refusalOf(picked) }
        await ctx.pause(COLD_SERVER_DELAY_MS)
      }
    }
  }
}
