/** Serves one request from admission to its end: reserves allowance, chooses servers, makes attempts and responds to the caller. */
import { inBackground } from '../background'
import type { IncomingMessage } from 'node:http'
import { createRequestGuard, fingerprintOf, suspectsOf } from '../crashes'
import { cutResponse } from '../http/cutResponse'
import { UNSENT } from '../answers'
import { createExecutionTracker } from '../outcomes'
import { admitRequest, unitsOf } from './requestAdmission'
import { createPartAsk, toPartLogFields } from './allowance/partAsk'
import { startAttempt } from './attempt'
import { startStreamTimer } from './choice/streamTimer'
import type { Attempt } from './attempt'
import type { ServingContext } from './servingContext'
import { createCrashCheck } from './crashCheck'
import { createDrain } from './drain'
import type { Drain } from './drain'
import { createRequestCompletion } from './requestCompletion'
import { createEventStream } from './eventStream'
import { createOtherServers } from './otherServers'
import { LEAVING_RETRY_AFTER_MS, SERVER_FULL_RETRY_AFTER_MS, stopRefusalOf } from './refusal'
import type { EndReason, Refusal } from './refusal'
import { toConnectionFields, toPromptFields } from './requestLogFields'
import type { Inbound, RequestRun } from './requestRun'
import { createReconnection } from './reconnection'
import { createRetryRules } from './retryRules'
import { releasePlace } from './serverChoice'
import { createServerSearch } from './serverSearch'
import { createServerSilence } from './serverSilence'
import { createStreamSupervision } from './streams/streamSupervision'
import type { AttemptOutcome } from './streams/streamSupervision'
import { serverProcessId } from './types'
import type { BackendServer, CallerRequest } from './types'
import type { RunCopy } from './servingProtocol'
import { createContinuations } from './versions/continuations'
import { versionOf } from './versions/softwareVersions'

/** How often a request is sent again after servers rejected it without running it. */
const MAX_REJECTIONS = 3
/** Delay before the next attempt after a rejection, milliseconds. */
const REJECTED_DELAY_MS = 40
const MIN_REDIRECT_STATUS = 300
const MIN_SERVER_ERROR_STATUS = 500

/** What follows an attempt. `reconnect`: another one after a wait, which does not count, since nothing has reached a server. */
type NextStep = 'end' | 'retry' | 'reconnect'

export interface RequestHandler {
  /** Serves one request to its end. */
  serve (inbound: Inbound): Promise<void>
  /** Ends the requests of an instance that shuts down. */
  readonly drain: Drain
}

export function createRequestHandler (ctx: ServingContext): RequestHandler {
  const { cfg, protocol, clock, logger, servers, health, allowance } = ctx
  const search = createServerSearch(ctx)
  const otherServers = createOtherServers(ctx)
  const { canRetry, tryTakeRetry, reserveRetry, releaseRetry } = createRetryRules(ctx)
  const reconnection = createReconnection({ rules: { canRetry }, clock })
  const checkCrash = createCrashCheck(ctx)
  const continuations = createContinuations({ onFirstEvent: ctx.streamVersions.recordFirstEvent, logger, registry: ctx.metrics.registry })
  const { refuse, fail, recordAnswered } = createRequestCompletion(ctx)
  /** Requests that are being served. */
  const active = new Set<RequestRun>()
  const pathOf = (req: IncomingMessage): string => (req.url ?? '/').split('?')[0]!

  const remainingMs = (run: RequestRun): number => run.endMs - clock.monotonic()
  const modelKey = (caller: CallerRequest): string => caller.model === undefined ? '' : (caller.adapter === undefined ? caller.model : `${caller.model}/${caller.adapter}`)

  const reserveAllowance = async (run: RequestRun): Promise<Refusal | undefined> => {
    const { team } = run.admitted
    if (team === undefined || run.unitsTaken > 0) return undefined
    const units = unitsOf(team, run.caller)
    const { route } = run.admitted
    const reservation = await allowance.take(team, units, createPartAsk({ route, caller: run.caller, fingerprint: run.fingerprint, remainingMs: remainingMs(run) }))
    const { part } = reservation
    if (part !== undefined) ctx.metrics.allowanceDecisions.inc({ outcome: reservation.waitMs > 0 ? 'refused' : 'granted', class: part.partClass })
    if (reservation.waitMs > 0) {
      logger.info('allowance-refused', { request: run.caller.attemptId, team: team.name, units, decidedBy: reservation.decidedBy, waitMs: Math.round(reservation.waitMs), ...toPartLogFields(route.name, part) })
      return { reason: 'over-allowance', retryAfterMs: reservation.waitMs }
    }
    run.unitsTaken = units
    run.unitsTakenMs = clock.monotonic()
    return undefined
  }
  const send = async (run: RequestRun, server: BackendServer, runCopy: RunCopy | undefined): Promise<AttemptOutcome> => {
    const { inbound, caller, admitted } = run
    const id = serverProcessId(server)
    const model = modelKey(caller)
    run.sends += 1
    // A run that continues with its copy is the same run.
    if (runCopy === undefined) {
      run.possibleRuns += 1
      run.isRetryReserved = false
    }
    run.server = server
    run.sentOn = undefined
    run.isPathBroken = false
    run.hasBegun = false
    run.receivedMs = undefined
    const sentMs = clock.monotonic()
    run.execution.record('send')
    health.recordStart(id, model)
    if (model !== '' && health.inFlightOf(id, model) === 1) ctx.onModelUseChanged()
    const recordEvents = continuations.startAttempt(run, server, runCopy !== undefined)
    const knownLoad = (): number => health.inFlight(id) + ctx.fleetView.inFlightElsewhereAtSummary(id)
    const timer = startStreamTimer({ speeds: health.speeds, clock, server: id, model: caller.model ?? '', promptTokens: caller.tokens?.prompt ?? 0, fill: () => knownLoad() / server.slots })
    const attempt: Attempt = startAttempt({
      clock,
      connections: ctx.connections,
      server,
      method: inbound.req.method ?? 'GET',
      path: inbound.req.url ?? '/',
      headers: protocol.toBackendHeaders(inbound.req.rawHeaders, {
        deadlineMs: remainingMs(run),
        serverId: server.id,
        team: admitted.team?.name,
        priority: admitted.service.engine === undefined ? undefined : admitted.priority,
        lastEventId: run.events?.lastId()?.toString(),
        runCopy
      }),
      body: inbound.body,
      events: run.events,
      attemptId: caller.attemptId,
      res: inbound.res,
      lease: run.lease,
      onPauseChanged: isPaused => health.recordPause(id, isPaused),
      onSent: sentOn => {
        run.sentOn = sentOn
        run.reconnections = 0
        run.usedConnections.add(sentOn.connection)
      },
      onPathBroken: () => recordPathBroken(run, id),
      onMalformed: reason => ctx.inputs?.recordRefused('server-response', { server: server.id, request: caller.attemptId }, reason),
      decodeResponseHead: protocol.decodeResponseHead,
      toCallerHeaders: protocol.toCallerHeaders,
      isRetryableStatus: status => status >= MIN_SERVER_ERROR_STATUS && canRetry(run),
      avoidedConnections: new Set(run.usedConnections),
      // A late answer on a kept connection would end the attempt, and with it a run that has stopped at its source.
      needsNewConnection: runCopy !== undefined,
      onUnattributed: (status, metadata) => logger.info('answer-unattributed', { request: caller.attemptId, server: server.id, status, names: metadata.attemptId, signed: metadata.isSigned, disclaimer: metadata.disclaimer, ...toConnectionFields(run) }),
      onServerStatement: metadata => {
        const { isSigned, disclaimer, statement: { isLeaving, backoffMs } } = metadata
        const isServed = isSigned && disclaimer === undefined
        ctx.serverLimits.record(id, metadata.statement, isServed)
        ctx.brittleServices.record(server.service, metadata.statement, isServed)
        if (isLeaving) servers.recordLeaving(id, 'answer')
        if (backoffMs > 0) ctx.serverBackoffs.record(id, backoffMs)
      },
      onActivity: () => {
        ctx.recordWakeup('server')
        run.receivedMs = clock.monotonic()
        health.recordActivity(id)
      },
      onFirstByte: () => { run.firstMs ??= clock.monotonic() - inbound.arrivedMs },
      holdsEnd: () => streams.holdsEnd(run),
      onEvents: () => {
        recordBegun(run, server)
        recordEvents()
        if (caller.model !== undefined && ctx.choosesByTime !== false) timer.recordEvents()
        supervised?.recordEvents()
      }
    })
    run.attempt = attempt
    const supervised = streams.supervise(run, attempt, server)
    const cancelCheck = watchSilence(run, attempt, id)
    const attemptEnd = await attempt.end
    releasePlace(ctx, run, attemptEnd.kind === 'rejected')
    cancelCheck()
    supervised?.cancel()
    run.attempt = undefined
    if (attemptEnd.kind === 'rejected') health.rejections.record(id, knownLoad() - 1, server.slots)
    if (attemptEnd.kind === 'relayed') timer.recordEnd()
    // A stream begins with its first event: one that ends without any may be what a crash left.
    if (attemptEnd.kind === 'relayed' && run.events === undefined && attemptEnd.status < MIN_REDIRECT_STATUS) recordBegun(run, server)
    health.recordEnd(id, model)
    if (model !== '' && health.inFlightOf(id, model) === 0) ctx.onModelUseChanged()
    const ended = await streams.resolveEnd(run, attemptEnd)
    if (run.isPathBroken) return ended
    recordHealth(id, ended)
    if (ended.kind === 'unsent' || isConnectionBroken(ended)) ctx.streamVersions.recordBreak(server)
    const trial = run.guard.trial()
    const checked = isConnectionBroken(ended) ? checkCrash(run, server, { sentMs, brokeMs: clock.monotonic(), trial }) : undefined
    // Otherwise the next attempt would be another trial, before the crash of this one is known.
    if (trial.length > 0) await checked
    return ended
  }
  const recordBegun = (run: RequestRun, server: BackendServer): void => {
    if (run.hasBegun) return
    run.hasBegun = true
    run.guard.recordBegun(versionOf(server))
  }
  /**
   * The answer cannot arrive before the path is back. A request that may run again goes over another path, if the retry
   * budget has an attempt; any other waits, since the answer may still come in its time, and its silence says nothing about
   * the server.
   */
  const recordPathBroken = (run: RequestRun, id: string): void => {
    run.isPathBroken = true
    if (canRetry(run) && reserveRetry(run)) return run.attempt?.fail('path to the server is broken')
    health.recordPause(id, true)
    inBackground('resume-after-path', run.attempt?.end.then(() => health.recordPause(id, false)))
  }
  const isConnectionBroken = (ended: AttemptOutcome): boolean => ended.kind === 'cut' || (ended.kind === 'failed' && ended.response === undefined)
  const recordHealth = (id: string, ended: AttemptOutcome): void => {
    if (ended.kind === 'unsent') return health.recordUnreachable(id)
    if (ended.kind === 'failed' || ended.kind === 'cut') return health.recordFailure(id)
    if (ended.kind === 'relayed' || ended.kind === 'rejected') health.recordActivity(id)
  }
  const watchSilence = createServerSilence({ ctx, rules: { canRetry, reserveRetry }, otherServers })
  const streams = createStreamSupervision(ctx, { canRetry: run => canRetry(run) && otherServers.canTake(run), tryTakeRetry, reserveRetry })

  /** After an attempt that may have run, returns whether another is to be made; ends the request if not. */
  const retryOrFail = (run: RequestRun, reason: EndReason): boolean => {
    if (run.stop.signal.aborted) {
      fail(run, stopRefusalOf(run))
      return false
    }
    if (canRetry(run) && remainingMs(run) > 0 && reserveRetry(run)) {
      run.events?.resume()
      return true
    }
    fail(run, { reason })
    return false
  }
  /** A server whose path was lost is tried again, over another path, where no other server can take the request. */
  const recordTried = (run: RequestRun, id: string): void => {
    if (run.isPathBroken) run.rejectedBy.add(id)
    else run.tried.add(id)
  }
  /** After an attempt that could not connect: goes on with another server, or waits until the request connects again; ends it otherwise. */
  const handleUnsent = async (run: RequestRun, server: BackendServer, reason: string, rejections: number): Promise<NextStep> => {
    const id = serverProcessId(server)
    run.tried.add(id)
    run.unreached.add(id)
    const mayGoOn = rejections < MAX_REJECTIONS
    const hasOther = otherServers.hasUntried(run) || otherServers.canTake(run)
    const delayMs = mayGoOn && hasOther ? undefined : reconnection.delayMs(run)
    logger.info('attempt-unsent', { request: run.caller.attemptId, server: server.id, reason, retryInMs: delayMs === undefined ? undefined : Math.round(delayMs) })
    if (delayMs !== undefined) {
      await ctx.pause(delayMs)
      reconnection.prepare(run)
      return 'reconnect'
    }
    if (mayGoOn) return 'retry'
    fail(run, { reason: 'no-server', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS })
    return 'end'
  }
  /** Returns what follows an attempt; ends the request if nothing does. */
  const handleAttemptEnd = async (run: RequestRun, server: BackendServer, ended: AttemptOutcome, rejections: number): Promise<NextStep> => {
    const id = serverProcessId(server)
    switch (ended.kind) {
      case 'relayed':
        run.execution.record('lose')
        recordAnswered(run, `relayed ${ended.status}`)
        return 'end'
      case 'unsent':
        run.execution.disclaim({ server: server.id, send: run.sends, connection: undefined, basis: UNSENT })
        run.possibleRuns -= 1
        releaseRetry(run)
        return await handleUnsent(run, server, ended.reason, rejections)
      case 'rejected':
        run.execution.disclaim({ server: server.id, send: run.sends, connection: run.sentOn?.connection, basis: ended.disclaimer })
        run.possibleRuns -= 1
        run.rejectedBy.add(id)
        logger.info('attempt-rejected', { request: run.caller.attemptId, server: server.id, status: ended.status, disclaimer: ended.disclaimer, model: run.caller.model, ...toConnectionFields(run) })
        if (run.stop.signal.aborted) {
          fail(run, stopRefusalOf(run))
          return 'end'
        }
        if (rejections >= MAX_REJECTIONS || !reserveRetry(run)) {
          fail(run, { reason: rejections >= MAX_REJECTIONS ? 'server-full' : 'retry-budget-spent', retryAfterMs: SERVER_FULL_RETRY_AFTER_MS })
          return 'end'
        }
        await ctx.pause(REJECTED_DELAY_MS)
        return 'retry'
      case 'failed':
        run.execution.record('lose')
        run.lastResponse = ended.response ?? run.lastResponse
        logger.info('attempt-failed', { request: run.caller.attemptId, server: server.id, softwareVersion: server.softwareVersion, reason: ended.reason, ...toPromptFields(run), repeatable: canRetry(run) })
        recordTried(run, id)
        return retryOrFail(run, 'server-failed') ? 'retry' : 'end'
      case 'cut':
        run.execution.record('lose')
        recordTried(run, id)
        logger.info('attempt-cut', { request: run.caller.attemptId, server: server.id, softwareVersion: server.softwareVersion, why: ended.reason, lastEvent: run.events?.lastId(), ...toPromptFields(run), repeatable: canRetry(run) })
        return retryOrFail(run, 'answer-cut') ? 'retry' : 'end'
      case 'moved':
        run.execution.record('lose')
        return 'retry'
      case 'stopped':
        if (ended.notRunBasis === undefined) run.execution.record('lose')
        else run.execution.disclaim({ server: server.id, send: run.sends, connection: run.sentOn?.connection, basis: ended.notRunBasis })
        fail(run, stopRefusalOf(run))
        return 'end'
    }
  }
  const isRefused = async ({ guard }: RequestRun): Promise<boolean> => guard.accusation() !== undefined && await guard.admit() !== undefined
  const runAttempts = async (run: RequestRun): Promise<void> => {
    for (let rejections = 0; ;) {
      // Something in it may be blamed since the attempt before: it must not even wait for a model.
      if (await isRefused(run)) return fail(run, { reason: 'crashes-servers' })
      const continuation = streams.takeContinuation(run)
      const server = continuation?.server ?? await search.find(run)
      if (run.stop.signal.aborted) return fail(run, stopRefusalOf(run))
      if ('reason' in server) return fail(run, server)
      if (await isRefused(run)) return fail(run, { reason: 'crashes-servers' })
      const refusal = await reserveAllowance(run)
      if (run.stop.signal.aborted) return fail(run, stopRefusalOf(run))
      if (refusal !== undefined) return fail(run, refusal)
      const ended = await send(run, server, continuation?.runCopy)
      run.guard.endTrial()
      const next = await handleAttemptEnd(run, server, ended, rejections)
      if (next === 'end') return
      if (next === 'retry') rejections += 1
      if (run.stop.signal.aborted) return fail(run, stopRefusalOf(run))
    }
  }
  const serveRun = async (run: RequestRun): Promise<void> => {
    // What is refused here counts nowhere: neither as demand for a model, nor in an allowance or a retry budget.
    if (await isRefused(run)) return fail(run, { reason: 'crashes-servers' })
    if (run.stop.signal.aborted) return fail(run, stopRefusalOf(run))
    ctx.recordDemand(modelKey(run.caller))
    ctx.retryBudget(run.admitted.service.name).recordFirstAttempt()
    const refusal = run.caller.resumption === undefined ? undefined : await ctx.streamVersions.resolve(run)
    if (run.stop.signal.aborted) return fail(run, stopRefusalOf(run))
    if (refusal !== undefined) return fail(run, refusal)
    await runAttempts(run)
  }
  /** A request on which servers certainly crash is withdrawn where it waits, also from the queue of a server. */
  ctx.crashes.onBlamed(() => [...active]
    .filter(run => !run.hasBegun && run.guard.mustWithdraw())
    .forEach(run => stopRun(run, 'crashes-servers')))
  const stopRun = (run: RequestRun, reason: EndReason): void => {
    run.stopReason ??= reason
    run.stop.abort()
    run.attempt?.stop(reason)
  }
  /**
   * Ends a request whose process ends, or whose time is over. Outside of an attempt it may wait for something that takes longer, as
   * the reply to a move; it is refused at once then, and what it waited for is dropped.
   */
  const endRun = (run: RequestRun, reason: EndReason): void => {
    const isAtServer = run.attempt !== undefined
    stopRun(run, reason)
    // A response that is complete is on its way to the caller.
    if (!isAtServer && !run.inbound.res.writableEnded) fail(run, stopRefusalOf(run))
  }
  const drain = createDrain({ active: () => active, handBack: run => endRun(run, 'leaving'), clock })

  const serve = async (inbound: Inbound): Promise<void> => {
    const { req, res } = inbound
    ctx.recordWakeup('caller')
    const caller = protocol.decodeCallerRequest(req.headers)
    const admitted = admitRequest(cfg, hostOf(req), pathOf(req), caller, ctx.random)
    if (admitted.err) return refuse(inbound, caller, admitted.val, false, { path: pathOf(req) })
    const { route, service } = admitted.val
    if (ctx.isClosingFor(route.kind)) return refuse(inbound, caller, { reason: 'leaving', retryAfterMs: LEAVING_RETRY_AFTER_MS }, false, { route: route.name })
    const team = admitted.val.team?.name ?? ''
    const fingerprint = fingerprintOf(team, `${req.method} ${req.url}`, inbound.body)
    const suspects = suspectsOf({ service: service.name, team, sharedParts: caller.promptParts.slice(0, -1), fingerprint })
    const guard = createRequestGuard(ctx.crashes, suspects, caller.attemptId)
    const allowedMs = Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity)
    const run: RequestRun = {
      inbound,
      caller,
      fingerprint,
      guard,
      admitted: admitted.val,
      execution: createExecutionTracker(),
      endMs: inbound.arrivedMs + allowedMs,
      stop: new AbortController(),
      stopReason: undefined,
      hasEnded: false,
      sends: 0,
      possibleRuns: 0,
      tried: new Set(),
      unreached: new Set(),
      reconnections: 0,
      rejectedBy: new Set(),
      placeAt: undefined,
      unitsTaken: 0,
      unitsTakenMs: 0,
      attempt: undefined,
      hasBegun: false,
      receivedMs: undefined,
      sentOn: undefined,
      usedConnections: new Set(),
      isPathBroken: false,
      lastResponse: undefined,
      server: undefined,
      waitedMs: 0,
      firstMs: undefined,
      lastEventMs: inbound.arrivedMs,
      isRetryReserved: false,
      events: route.kind === 'stream' ? createEventStream() : undefined,
      origin: undefined
    }
    run.lease = ctx.answerBuffers?.open(caller.attemptId, () => {
      stopRun(run, 'caller-gone')
      if (res.headersSent) cutResponse(res)
    })
    const cancelTimeout = clock.schedule(Math.max(0, remainingMs(run)), () => {
      // A response that is complete by then is delivered late; the budget bounds what it holds until the caller reads or leaves.
      const isReceiving = run.attempt !== undefined && !run.attempt.isBeingChecked()
      endRun(run, 'route-timeout')
      if (isReceiving) run.lease?.expire()
    })
    res.once('close', () => {
      cancelTimeout()
      run.lease?.close()
      if (!res.writableFinished) stopRun(run, 'caller-gone')
    })
    if (res.destroyed) stopRun(run, 'caller-gone')
    active.add(run)
    await serveRun(run).finally(() => {
      active.delete(run)
      guard.endTrial()
      releasePlace(ctx, run, false)
      releaseRetry(run)
      streams.release(run)
    })
  }
  return { serve, drain }
}

function hostOf (req: IncomingMessage): string {
  return (req.headers.host ?? '').replace(/:\d+$/, '').toLowerCase()
}
