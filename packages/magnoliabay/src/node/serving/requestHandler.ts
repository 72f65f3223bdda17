/** Serves one request from admission to its end: reserves allowance, chooses servers, makes attempts and responds to the caller. */
import type { IncomingMessage } from 'node:http'
import { createExecutionTracker, fingerprintOf } from '../outcomes'
import { admitRequest, unitsOf } from './requestAdmission'
import { startAttempt } from './attempt'
import type { Attempt, AttemptEnd } from './attempt'
import { createServerChooser } from './serverChoice'
import type { ServerChoice } from './serverChoice'
import type { ServingContext } from './servingContext'
import { createRequestCompletion } from './requestCompletion'
import { createEventStream } from './eventStream'
import type { EndReason, Refusal } from './refusal'
import type { ModelWaitResult } from './placement/placementClient'
import type { Inbound, RequestRun } from './requestRun'
import { serverProcessId } from './types'
import type { BackendServer, CallerRequest } from './types'

/**
 * The longest gap between events for which a stream's caller waits is the largest of three times: this minimum, and these
 * multiples of the route's latency objective and of its maximum event gap.
 */
const MIN_CALLER_GAP_MS = 2000
const CALLER_GAP_LATENCY_OBJECTIVES = 4
const CALLER_GAP_EVENT_GAPS = 8
/** Time for the response to reach the caller before it stops waiting, milliseconds. */
const RESPONSE_MARGIN_MS = 250
/** Retry delay, milliseconds: a full server has free slots again after about one service time. */
const SERVER_FULL_RETRY_AFTER_MS = 300
/** Retry delay, milliseconds: a new leader is elected within some seconds; callers retry within a third of their deadline. */
const NO_LEADER_RETRY_AFTER_MS = 2000
/** Retry delay, milliseconds: other instances can take the request at once. */
const LEAVING_RETRY_AFTER_MS = 20
/** How often a request is sent again after servers rejected it without running it. */
const MAX_REJECTIONS = 3
/** Delay before the next attempt after a rejection, milliseconds. */
const REJECTED_DELAY_MS = 40
/** Interval at which requests that may run elsewhere check whether their server has stopped responding, milliseconds. */
const SILENCE_CHECK_INTERVAL_MS = 400
const MIN_SERVER_ERROR_STATUS = 500

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

export function createRequestHandler (ctx: ServingContext): (inbound: Inbound) => Promise<void> {
  const { cfg, protocol, clock, logger, servers, health, placement, allowance } = ctx
  const chooser = createServerChooser(ctx)
  const { refuse, fail, recordAnswered } = createRequestCompletion(ctx)
  const pathOf = (req: IncomingMessage): string => (req.url ?? '/').split('?')[0]!

  const remainingMs = (run: RequestRun): number => run.endMs - clock.monotonic()
  const maxWaitMs = (run: RequestRun): number => {
    const { route } = run.admitted
    if (route.kind !== 'stream') return remainingMs(run)
    const gapMs = Math.max(MIN_CALLER_GAP_MS, CALLER_GAP_LATENCY_OBJECTIVES * route.latencyObjectiveMs, CALLER_GAP_EVENT_GAPS * route.maxEventGapMs)
    return Math.min(remainingMs(run), gapMs - (clock.monotonic() - run.inbound.arrivedMs) - RESPONSE_MARGIN_MS)
  }
  const modelKey = (caller: CallerRequest): string => caller.model === undefined ? '' : (caller.adapter === undefined ? caller.model : `${caller.model}/${caller.adapter}`)

  const choose = (run: RequestRun, from: readonly BackendServer[]): Promise<ServerChoice> => chooser.choose(run, from, () => maxWaitMs(run))
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
      signal: run.stop.signal,
      isShuttingDown: () => ctx.isClosingFor(route.kind),
      excludedProcesses: run.tried,
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
    for (;;) {
      const withModel = placement.serversWithModel(run.admitted.service.name, model, run.caller.adapter).filter(server => !run.tried.has(serverProcessId(server)))
      const choice = await choose(run, withModel)
      if (choice.kind === 'chosen' || isColdRefusal(choice)) return serverOf(choice)
      const modelWait = await waitForEngine(run, model, withModel, choice)
      if (modelWait.kind !== 'ready') {
        const refusal = refusalOfWait(run, modelWait)
        return choice.kind === 'refused' && modelWait.kind !== 'stopped' ? soonerOf(choice.refusal, refusal) : refusal
      }
      const chosen = await choose(run, modelWait.servers)
      // Others may have taken the place that the request waited for.
      if (chosen.kind !== 'refused' || isColdRefusal(chosen)) return serverOf(chosen)
    }
  }
  const findServer = async (run: RequestRun): Promise<BackendServer | Refusal> => {
    const { service } = run.admitted
    const { model } = run.caller
    if (service.engine === undefined || model === undefined) return serverOf(await choose(run, servers.usable(service.name)))
    return service.engine.models.has(model) ? await findEngine(run, model) : NO_SERVER
  }
  const reserveAllowance = async (run: RequestRun): Promise<Refusal | undefined> => {
    const { team } = run.admitted
    if (team === undefined || run.unitsTaken > 0) return undefined
    const units = unitsOf(team, run.caller)
    const reservation = await allowance.take(team, units)
    if (reservation.waitMs > 0) {
      logger.info('allowance-refused', { request: run.caller.attemptId, team: team.name, units, decidedBy: reservation.decidedBy, waitMs: Math.round(reservation.waitMs) })
      return { reason: 'over-allowance', retryAfterMs: reservation.waitMs }
    }
    run.unitsTaken = units
    return undefined
  }
  const send = async (run: RequestRun, server: BackendServer): Promise<AttemptEnd> => {
    const { inbound, caller, admitted } = run
    const id = serverProcessId(server)
    const model = modelKey(caller)
    run.sends += 1
    run.possibleRuns += 1
    run.server = server
    run.execution.record('send')
    health.recordStart(id, model)
    if (model !== '' && health.inFlightOf(id, model) === 1) ctx.onModelUseChanged()
    const attempt = startAttempt({
      connections: ctx.connections,
      server,
      method: inbound.req.method ?? 'GET',
      path: inbound.req.url ?? '/',
      headers: protocol.toBackendHeaders(inbound.req.rawHeaders, {
        deadlineMs: remainingMs(run),
        serverId: server.id,
        team: admitted.team?.name,
        priority: admitted.service.engine === undefined ? undefined : admitted.priority,
        lastEventId: run.events?.lastId()?.toString()
      }),
      body: inbound.body,
      events: run.events,
      attemptId: caller.attemptId,
      res: inbound.res,
      decodeResponseHead: protocol.decodeResponseHead,
      toCallerHeaders: protocol.toCallerHeaders,
      isRetryableStatus: status => status >= MIN_SERVER_ERROR_STATUS && canRetry(run),
      onServerStatement: metadata => {
        const { isSigned, isNotRun, statement: { isLeaving, restMs } } = metadata
        ctx.serverLimits.record(id, metadata.statement, isSigned && !isNotRun)
        if (isLeaving) servers.recordLeaving(id, 'answer')
        if (restMs > 0) ctx.serverRests.record(id, restMs)
      },
      onActivity: () => {
        ctx.recordWakeup('server')
        health.recordActivity(id)
      },
      onFirstByte: () => { run.firstMs ??= clock.monotonic() - inbound.arrivedMs }
    })
    run.attempt = attempt
    const cancelCheck = checkSilence(run, attempt, id)
    const ended = await attempt.end
    cancelCheck()
    run.attempt = undefined
    health.recordEnd(id, model)
    if (model !== '' && health.inFlightOf(id, model) === 0) ctx.onModelUseChanged()
    recordHealth(id, ended)
    updateSuspects(run, server, ended)
    return ended
  }
  /** Ends an attempt at a server that has stopped responding, if the request may be retried at another. */
  const checkSilence = (run: RequestRun, attempt: Attempt, id: string): () => void => {
    let cancel = (): void => {}
    const check = (): void => {
      if (canRetry(run) && health.isSilent(id)) return attempt.fail('server is silent')
      cancel = clock.schedule(SILENCE_CHECK_INTERVAL_MS, check)
    }
    if (canRetry(run)) cancel = clock.schedule(SILENCE_CHECK_INTERVAL_MS, check)
    return () => cancel()
  }
  /** Records a crash if the connection broke and the server has crashed, since the request may be the cause; clears a suspect that got a response. */
  const updateSuspects = async (run: RequestRun, server: BackendServer, ended: AttemptEnd): Promise<void> => {
    const { suspects } = ctx
    if (ended.kind === 'relayed' && suspects.assess(run.fingerprint) === 'suspect') return suspects.clear(run.fingerprint)
    const isBroken = ended.kind === 'cut' || (ended.kind === 'failed' && ended.response === undefined)
    if (isBroken && await suspects.hasCrashed(server.address)) suspects.recordCrash(run.fingerprint, serverProcessId(server))
  }
  const recordHealth = (id: string, ended: AttemptEnd): void => {
    if (ended.kind === 'unsent') return health.recordUnreachable(id)
    if (ended.kind === 'failed' || ended.kind === 'cut') return health.recordFailure(id)
    if (ended.kind === 'relayed' || ended.kind === 'rejected') health.recordActivity(id)
  }
  /** Returns whether the request may run once more, at another server. */
  const canRetry = (run: RequestRun): boolean => {
    const { kind, isResumable, maxAttempts } = run.admitted.route
    return (kind === 'idempotent' || (kind === 'stream' && isResumable)) && run.possibleRuns < maxAttempts
  }
  const tryTakeRetry = (run: RequestRun): boolean => ctx.retryBudget(run.admitted.service.name).tryTake()

  /** After an attempt that may have run, returns whether another is to be made; ends the request if not. */
  const retryOrFail = (run: RequestRun, reason: EndReason): boolean => {
    if (canRetry(run) && remainingMs(run) > 0 && tryTakeRetry(run)) {
      run.events?.resume()
      return true
    }
    fail(run, { reason })
    return false
  }
  /** Returns whether another attempt is to be made; ends the request if not. */
  const handleAttemptEnd = async (run: RequestRun, server: BackendServer, ended: AttemptEnd, rejections: number): Promise<boolean> => {
    const id = serverProcessId(server)
    switch (ended.kind) {
      case 'relayed':
        run.execution.record('lose')
        recordAnswered(run, `relayed ${ended.status}`)
        return false
      case 'unsent':
        run.execution.record('disclaim')
        run.possibleRuns -= 1
        run.tried.add(id)
        if (rejections < MAX_REJECTIONS) return true
        fail(run, { reason: 'no-server', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS })
        return false
      case 'rejected':
        run.execution.record('disclaim')
        run.possibleRuns -= 1
        run.rejectedBy.add(id)
        logger.info('attempt-rejected', { request: run.caller.attemptId, server: server.id, status: ended.status, model: run.caller.model })
        if (rejections >= MAX_REJECTIONS || !tryTakeRetry(run)) {
          fail(run, { reason: rejections >= MAX_REJECTIONS ? 'server-full' : 'retry-budget-spent', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS })
          return false
        }
        await ctx.pause(REJECTED_DELAY_MS)
        return true
      case 'failed':
        run.execution.record('lose')
        run.lastResponse = ended.response ?? run.lastResponse
        logger.info('attempt-failed', { request: run.caller.attemptId, server: server.id, reason: ended.reason, repeatable: canRetry(run) })
        run.tried.add(id)
        return retryOrFail(run, 'server-failed')
      case 'cut':
        run.execution.record('lose')
        run.tried.add(id)
        logger.info('attempt-cut', { request: run.caller.attemptId, server: server.id, why: ended.reason, lastEvent: run.events?.lastId(), repeatable: canRetry(run) })
        return retryOrFail(run, 'answer-cut')
      case 'stopped':
        run.execution.record('lose')
        fail(run, { reason: run.stopReason ?? 'fault' })
        return false
    }
  }
  const runAttempts = async (run: RequestRun): Promise<void> => {
    for (let rejections = 0; ; rejections += 1) {
      const server = await findServer(run)
      if (run.stop.signal.aborted) return fail(run, { reason: run.stopReason ?? 'fault', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS })
      if ('reason' in server) return fail(run, server)
      const refusal = await reserveAllowance(run)
      if (run.stop.signal.aborted) return fail(run, { reason: run.stopReason ?? 'fault', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS })
      if (refusal !== undefined) return fail(run, refusal)
      const ended = await send(run, server)
      if (!await handleAttemptEnd(run, server, ended, rejections)) return
      if (run.stop.signal.aborted) return fail(run, { reason: run.stopReason ?? 'fault' })
    }
  }
  const stopRun = (run: RequestRun, reason: EndReason): void => {
    run.stopReason ??= reason
    run.stop.abort()
    run.attempt?.stop(reason)
  }

  return async inbound => {
    const { req, res } = inbound
    ctx.recordWakeup('caller')
    const caller = protocol.decodeCallerRequest(req.headers)
    const admitted = admitRequest(cfg, hostOf(req), pathOf(req), caller, ctx.random)
    if (admitted.err) return refuse(inbound, caller, admitted.val, false, { path: pathOf(req) })
    const { route, service } = admitted.val
    if (ctx.isClosingFor(route.kind)) return refuse(inbound, caller, { reason: 'leaving', retryAfterMs: LEAVING_RETRY_AFTER_MS }, false, { route: route.name })
    ctx.recordDemand(modelKey(caller))
    ctx.retryBudget(service.name).recordFirstAttempt()
    const fingerprint = fingerprintOf(admitted.val.team?.name ?? '', `${req.method} ${req.url}`, inbound.body)
    if (ctx.suspects.assess(fingerprint) === 'refused') return refuse(inbound, caller, { reason: 'crashes-servers' }, false, { route: route.name, fingerprint })
    const allowedMs = Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity)
    const run: RequestRun = {
      inbound,
      caller,
      fingerprint,
      admitted: admitted.val,
      execution: createExecutionTracker(),
      endMs: inbound.arrivedMs + allowedMs,
      stop: new AbortController(),
      stopReason: undefined,
      sends: 0,
      possibleRuns: 0,
      tried: new Set(),
      rejectedBy: new Set(),
      unitsTaken: 0,
      attempt: undefined,
      lastResponse: undefined,
      server: undefined,
      waitedMs: 0,
      firstMs: undefined,
      events: route.kind === 'stream' ? createEventStream() : undefined
    }
    const cancelTimeout = clock.schedule(Math.max(0, remainingMs(run)), () => stopRun(run, 'route-timeout'))
    res.once('close', () => {
      cancelTimeout()
      if (!res.writableFinished) stopRun(run, 'caller-gone')
    })
    if (res.destroyed) stopRun(run, 'caller-gone')
    await runAttempts(run)
  }
}

function hostOf (req: IncomingMessage): string {
  return (req.headers.host ?? '').replace(/:\d+$/, '').toLowerCase()
}
