/**
 * Finds the backend server for a request: one that may get it now, or an engine once it has the model. Ends with a refusal
 * at once where none can be had in the caller's time.
 */
import type { ModelWaitResult } from './placement/placementClient'
import { LEAVING_RETRY_AFTER_MS, SERVER_FULL_RETRY_AFTER_MS } from './refusal'
import type { Refusal } from './refusal'
import type { RequestRun } from './requestRun'
import { createServerChooser, releasePlace } from './serverChoice'
import type { ServerChoice } from './serverChoice'
import type { ServingContext } from './servingContext'
import { callerGapMs } from './streams/callerGap'
import { serverProcessId } from './types'
import type { BackendServer } from './types'

/** Time for the response to reach the caller before it stops waiting, milliseconds. */
const RESPONSE_MARGIN_MS = 250
/** Retry delay, milliseconds: a new leader is elected within some seconds; callers retry within a third of their deadline. */
const NO_LEADER_RETRY_AFTER_MS = 2000

/** A load from an engine's disk takes longer, and may cost another model its place, milliseconds. */
const MAX_PLACE_WAIT_MS = 1000
/** Interval at which a stream looks for a server of its version that has come back, milliseconds. */
const VERSION_CHECK_INTERVAL_MS = 100
/** Delay before a request that waited in vain for a place looks for one again, milliseconds. */
const PLACE_TAKEN_DELAY_MS = 200

const NO_PROCESSES: ReadonlySet<string> = new Set()
const NO_SERVER: Refusal = { reason: 'no-server', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS }

function serverOf (choice: ServerChoice): BackendServer | Refusal {
  if (choice.kind === 'chosen') return choice.server
  return choice.kind === 'refused' ? choice.refusal : NO_SERVER
}

const isColdRefusal = (choice: ServerChoice): boolean => choice.kind === 'refused' && choice.refusal.reason === 'server-cold'

/** Returns the refusal after which a caller may return first. */
function soonerOf (one: Refusal, other: Refusal): Refusal {
  return (other.retryAfterMs ?? Infinity) < (one.retryAfterMs ?? Infinity) ? other : one
}

export interface ServerSearch {
  find (run: RequestRun): Promise<BackendServer | Refusal>
}

export function createServerSearch (ctx: ServingContext): ServerSearch {
  const { clock, placement, servers, streamVersions } = ctx
  const chooser = createServerChooser(ctx)

  const maxWaitMs = (run: RequestRun): number => {
    const { route } = run.admitted
    const remainingMs = run.endMs - clock.monotonic()
    if (route.kind !== 'stream') return remainingMs
    return Math.min(remainingMs, callerGapMs(route) - (clock.monotonic() - run.inbound.arrivedMs) - RESPONSE_MARGIN_MS)
  }
  const choose = (run: RequestRun, from: readonly BackendServer[]): Promise<ServerChoice> =>
    chooser.choose(run, from.filter(server => streamVersions.mayServe(run, server)), () => maxWaitMs(run))
  /**
   * Whether a server of the stream's version is left to be tried. Where all have been, they are tried again: one that
   * has cut a response is still the only one that can continue it.
   */
  const hasServerOfVersion = (run: RequestRun): boolean => {
    if (run.origin === undefined) return true
    const processes = servers.usable(run.admitted.service.name).filter(server => streamVersions.mayServe(run, server)).map(serverProcessId)
    if (processes.every(process => run.tried.has(process))) processes.forEach(process => run.tried.delete(process))
    return processes.length > 0
  }
  /** Waits while no server of the stream's version is there and one may be back in time; returns a refusal if none will be. */
  const waitForVersion = async (run: RequestRun): Promise<Refusal | undefined> => {
    for (;;) {
      const refusal = streamVersions.refusalOf(run)
      if (refusal === undefined && hasServerOfVersion(run)) return undefined
      if (refusal !== undefined && refusal.retryAfterMs === undefined) return refusal
      streamVersions.verifyServers(run)
      if (run.stop.signal.aborted || maxWaitMs(run) <= VERSION_CHECK_INTERVAL_MS) return refusal
      await ctx.pause(VERSION_CHECK_INTERVAL_MS)
      run.waitedMs += VERSION_CHECK_INTERVAL_MS
    }
  }
  /** Waits for a place at an engine if one is free soon, and returns whether it has: a load elsewhere would take longer. */
  const waitForPlace = async (run: RequestRun, { retryAfterMs = Infinity }: Refusal): Promise<boolean> => {
    if (retryAfterMs > MAX_PLACE_WAIT_MS || retryAfterMs >= maxWaitMs(run)) return false
    await ctx.pause(retryAfterMs)
    run.waitedMs += retryAfterMs
    return true
  }
  /** Chooses once more after a wait where brittle servers had no place: one is free after about a service time. */
  const chooseWithWait = async (run: RequestRun, from: () => readonly BackendServer[]): Promise<ServerChoice> => {
    const choice = await choose(run, from())
    const isFull = choice.kind === 'refused' && choice.refusal.reason === 'server-full'
    return isFull && await waitForPlace(run, choice.refusal) ? await choose(run, from()) : choice
  }
  /** Waits for an engine with the model, other than those in `withModel` that have refused the request for the moment. */
  const waitForEngine = async (run: RequestRun, model: string, withModel: readonly BackendServer[], choice: ServerChoice): Promise<ModelWaitResult> => {
    const { route, service } = run.admitted
    const startedMs = clock.monotonic()
    const refusedUntilMs = choice.kind === 'refused' ? startedMs + (choice.refusal.retryAfterMs ?? 0) : -Infinity
    const refusing = new Set(withModel.map(serverProcessId))
    const modelWait = await placement.waitForModel({
      model,
      adapter: run.caller.adapter,
      service: service.name,
      maxWaitMs: maxWaitMs(run),
      latencyObjectiveMs: route.latencyObjectiveMs - (startedMs - run.inbound.arrivedMs),
      signal: run.stop.signal,
      isShuttingDown: () => ctx.isClosingFor(route.kind),
      excludedProcesses: run.tried,
      softwareVersion: run.origin?.softwareVersion || undefined,
      mayServe: server => streamVersions.mayServe(run, server),
      unavailableProcesses: () => clock.monotonic() < refusedUntilMs ? refusing : NO_PROCESSES
    })
    run.waitedMs += clock.monotonic() - startedMs
    return modelWait
  }
  const refusalOfWait = (run: RequestRun, modelWait: Exclude<ModelWaitResult, { kind: 'ready' }>): Refusal => {
    if (modelWait.kind === 'closing') return { reason: 'leaving', retryAfterMs: LEAVING_RETRY_AFTER_MS }
    if (modelWait.kind === 'not-in-time') return { reason: 'model-not-in-time', retryAfterMs: modelWait.inMs }
    return { reason: modelWait.kind === 'stopped' ? run.stopReason ?? 'caller-gone' : 'no-orderer', retryAfterMs: NO_LEADER_RETRY_AFTER_MS }
  }
  /**
   * Finds an engine that has the model, or waits for one if the model can be loaded in time. What the engines that have it
   * cannot take for the moment goes to another, or to one of them once it has a place.
   */
  const findEngine = async (run: RequestRun, model: string): Promise<BackendServer | Refusal> => {
    for (let hasWaited = false; ; hasWaited = true) {
      const withModel = placement.serversWithModel(run.admitted.service.name, model, run.caller.adapter)
        .filter(server => !run.tried.has(serverProcessId(server)) && streamVersions.mayServe(run, server))
      const choice = await choose(run, withModel)
      if (choice.kind === 'chosen' || isColdRefusal(choice)) return serverOf(choice)
      if (choice.kind === 'refused' && !hasWaited && await waitForPlace(run, choice.refusal)) continue
      const modelWait = await waitForEngine(run, model, withModel, choice)
      if (modelWait.kind !== 'ready') {
        const refusal = refusalOfWait(run, modelWait)
        return choice.kind === 'refused' && modelWait.kind !== 'stopped' ? soonerOf(choice.refusal, refusal) : refusal
      }
      const chosen = await choose(run, modelWait.servers)
      if (chosen.kind !== 'refused' || isColdRefusal(chosen)) return serverOf(chosen)
      // Others have taken the place that the request waited for. Without a pause the leader would be asked again at once.
      await ctx.pause(PLACE_TAKEN_DELAY_MS)
    }
  }
  const findServer = async (run: RequestRun): Promise<BackendServer | Refusal> => {
    const refusal = await waitForVersion(run)
    if (refusal !== undefined) return refusal
    const { service } = run.admitted
    const { model } = run.caller
    if (service.engine === undefined || model === undefined) return serverOf(await chooseWithWait(run, () => servers.usable(service.name)))
    return service.engine.models.has(model) ? await findEngine(run, model) : NO_SERVER
  }
  return {
    find: async run => {
      for (;;) {
        const server = await findServer(run)
        if ('reason' in server || run.stop.signal.aborted || await streamVersions.isListedProcess(run, server)) return server
        releasePlace(ctx, run, false)
        streamVersions.recordBreak(server)
        if (maxWaitMs(run) <= 0) return NO_SERVER
      }
    }
  }
}
