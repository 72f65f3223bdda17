/** One request from admission to its end: allowance, a server that can run it, attempts, and what the caller is told. */
import type { IncomingMessage } from 'node:http'
import { createExecutionTracker, fingerprintOf } from '../outcomes'
import { admit, unitsOf } from './requestAdmission'
import { startAttempt } from './attempt'
import type { Attempt, AttemptEnd } from './attempt'
import { chooseServer } from './chooseServer'
import type { ServingContext } from './servingContext'
import { createEndings } from './requestEnd'
import { createEventStream } from './eventStream'
import type { EndReason, Refusal } from './refusal'
import type { Inbound, Run } from './requestRun'
import { serverProcessId } from './types'
import type { BackendServer, CallerRequest } from './types'

/** A stream's caller leaves after a gap of the longest of these: two seconds, so many objectives, so many pauses. */
const CALLER_GAP_MS = 2000
const CALLER_GAP_OBJECTIVES = 4
const CALLER_GAP_PAUSES = 8
/** Room for the answer to reach the caller before it leaves, milliseconds. */
const PATIENCE_MARGIN_MS = 250
/** A server that was full has places again after about one service time, milliseconds. */
const FULL_RETRY_MS = 300
/** Orders are given again within some seconds; callers come back within a third of their time. */
const NO_ORDERER_RETRY_MS = 2000
/** Other instances are there at once. */
const LEAVING_RETRY_MS = 20
/** Pause before a cold server is asked for again, and when its callers are told to come back, milliseconds. */
const COLD_PAUSE_MS = 150
const COLD_RETRY_MS = 500
/** Times that a request goes out again after servers said that they have not run it. */
const MAX_REJECTIONS = 3
/** Pause before the same server is asked again, milliseconds. */
const REJECTED_PAUSE_MS = 40
/** How often requests that may run elsewhere look whether their server has fallen silent, milliseconds. */
const SILENCE_CHECK_MS = 400
const SERVER_ERROR_FROM = 500

export function createServe (ctx: ServingContext): (inbound: Inbound) => Promise<void> {
  const { cfg, wire, clock, logger, servers, health, table, placement, allowance } = ctx
  const { refuse, end, logEnd } = createEndings(ctx)
  const pathOf = (req: IncomingMessage): string => (req.url ?? '/').split('?')[0]!

  const leftMs = (run: Run): number => run.endMs - clock.monotonic()
  const patienceMs = (run: Run): number => {
    const { route } = run.admitted
    if (route.kind !== 'stream') return leftMs(run)
    const gapMs = Math.max(CALLER_GAP_MS, CALLER_GAP_OBJECTIVES * route.latencyObjectiveMs, CALLER_GAP_PAUSES * route.maxEventGapMs)
    return Math.min(leftMs(run), gapMs - (clock.monotonic() - run.inbound.arrivedMs) - PATIENCE_MARGIN_MS)
  }
  const modelKey = (caller: CallerRequest): string => caller.model === undefined ? '' : (caller.adapter === undefined ? caller.model : `${caller.model}/${caller.adapter}`)

  const pick = (run: Run, from: readonly BackendServer[]): BackendServer | undefined => {
    const untried = from.filter(server => !run.tried.has(serverProcessId(server)))
    const fresh = untried.filter(server => !run.rejectedBy.has(serverProcessId(server)))
    const options = fresh.length > 0 ? fresh : untried
    const chosen = chooseServer(options.map(server => {
      const id = serverProcessId(server)
      return {
        id,
        load: health.inFlight(id) + table.inFlightElsewhere(id),
        slots: server.slots,
        isNear: server.failureDomain === ctx.failureDomain,
        failureRate: health.failureRate(id),
        isSilent: health.isSilent(id),
        isCold: ctx.coldStarts.isCold(server)
      }
    }), ctx.random())
    return options.find(server => serverProcessId(server) === chosen?.id)
  }
  /** The best server that may get the request now: one that is cold may have had enough of them. */
  const pickAdmitted = async (run: Run, from: readonly BackendServer[]): Promise<BackendServer | undefined> => {
    const server = pick(run, from)
    if (server === undefined || !ctx.coldStarts.isCold(server) || await ctx.coldStarts.admit(server)) return server
    return await pickAdmitted(run, from.filter(other => other !== server))
  }
  /** Waits for a cold server that has had enough in this second, where there is no other. */
  const choose = async (run: Run, from: readonly BackendServer[]): Promise<BackendServer | Refusal | undefined> => {
    for (;;) {
      const server = await pickAdmitted(run, from)
      if (server !== undefined || pick(run, from) === undefined) return server
      if (run.stop.signal.aborted || patienceMs(run) <= COLD_PAUSE_MS) return { reason: 'server-cold', retryAfterMs: COLD_RETRY_MS }
      await ctx.pause(COLD_PAUSE_MS)
    }
  }
  /** Finds a server that can run the request, waiting for its model if that makes sense. */
  const findServer = async (run: Run): Promise<BackendServer | Refusal> => {
    const { service } = run.admitted
    const { model, adapter } = run.caller
    if (service.engine === undefined || model === undefined) {
      return await choose(run, servers.usable(service.name)) ?? { reason: 'no-server', retryAfterMs: FULL_RETRY_MS }
    }
    if (!service.engine.models.has(model)) return { reason: 'no-server', retryAfterMs: FULL_RETRY_MS }
    const ready = await choose(run, placement.serversWithModel(service.name, model, adapter).filter(server => !run.tried.has(serverProcessId(server))))
    if (ready !== undefined) return ready
    const sinceMs = clock.monotonic()
    const awaited = await placement.waitForModel({
      model,
      adapter,
      service: service.name,
      maxWaitMs: patienceMs(run),
      signal: run.stop.signal,
      isShuttingDown: () => ctx.isClosingFor(run.admitted.route.kind),
      excludedProcesses: run.tried
    })
    run.waitedMs += clock.monotonic() - sinceMs
    if (awaited.kind === 'ready') return await choose(run, awaited.servers) ?? { reason: 'no-server', retryAfterMs: FULL_RETRY_MS }
    if (awaited.kind === 'closing') return { reason: 'leaving', retryAfterMs: LEAVING_RETRY_MS }
    if (awaited.kind === 'not-in-time') return { reason: 'model-not-in-time', retryAfterMs: awaited.inMs }
    return { reason: awaited.kind === 'stopped' ? run.why ?? 'caller-gone' : 'no-orderer', retryAfterMs: NO_ORDERER_RETRY_MS }
  }
  const takeAllowance = async (run: Run): Promise<Refusal | undefined> => {
    const { team } = run.admitted
    if (team === undefined || run.unitsTaken > 0) return undefined
    const units = unitsOf(team, run.caller)
    const taken = await allowance.take(team, units)
    if (taken.waitMs > 0) {
      logger.info('allowance-refused', { request: run.caller.attemptId, team: team.name, units, decidedBy: taken.decidedBy, waitMs: Math.round(taken.waitMs) })
      return { reason: 'over-allowance', retryAfterMs: taken.waitMs }
    }
    run.unitsTaken = units
    return undefined
  }
  const send = async (run: Run, server: BackendServer): Promise<AttemptEnd> => {
    const { inbound, caller, admitted } = run
    const id = serverProcessId(server)
    const model = modelKey(caller)
    run.sends += 1
    run.runs += 1
    run.server = server
    run.trail.record('send')
    health.noteStart(id, model)
    if (model !== '' && health.inFlightOf(id, model) === 1) ctx.noteUse()
    const attempt = startAttempt({
      connections: ctx.connections,
      server,
      method: inbound.req.method ?? 'GET',
      path: inbound.req.url ?? '/',
      headers: wire.toBackendHeaders(inbound.req.rawHeaders, {
        deadlineMs: leftMs(run),
        serverId: server.id,
        team: admitted.team?.name,
        priority: admitted.service.engine === undefined ? undefined : admitted.priority,
        lastEventId: run.events?.lastId()?.toString()
      }),
      body: inbound.body,
      events: run.events,
      attemptId: caller.attemptId,
      res: inbound.res,
      decodeResponseHead: wire.decodeResponseHead,
      toCallerHeaders: wire.toCallerHeaders,
      isRetryableStatus: status => status >= SERVER_ERROR_FROM && mayRepeat(run),
      onActivity: () => {
        ctx.noteActivity('server')
        health.noteHeard(id)
      },
      onFirstByte: () => { run.firstMs ??= clock.monotonic() - inbound.arrivedMs }
    })
    run.attempt = attempt
    const cancelCheck = checkSilence(run, attempt, id)
    const ended = await attempt.end
    cancelCheck()
    run.attempt = undefined
    health.noteEnd(id, model)
    if (model !== '' && health.inFlightOf(id, model) === 0) ctx.noteUse()
    noteHealth(id, ended)
    noteCrash(run, server, ended)
    return ended
  }
  /** A request that may go on elsewhere does not wait for a server that says nothing to anybody. */
  const checkSilence = (run: Run, attempt: Attempt, id: string): () => void => {
    let cancel = (): void => {}
    const check = (): void => {
      if (mayRepeat(run) && health.isSilent(id)) return attempt.fail('server is silent')
      cancel = clock.schedule(SILENCE_CHECK_MS, check)
    }
    if (mayRepeat(run)) cancel = clock.schedule(SILENCE_CHECK_MS, check)
    return () => cancel()
  }
  /** A request whose connection broke may have killed its server. */
  const noteCrash = async (run: Run, server: BackendServer, ended: AttemptEnd): Promise<void> => {
    const { suspects } = ctx
    if (ended.kind === 'relayed' && suspects.assess(run.fingerprint) === 'suspect') return suspects.clear(run.fingerprint)
    const isBroken = ended.kind === 'cut' || (ended.kind === 'failed' && ended.response === undefined)
    if (isBroken && await suspects.hasCrashed(server.address)) suspects.recordCrash(run.fingerprint, serverProcessId(server))
  }
  const noteHealth = (id: string, ended: AttemptEnd): void => {
    if (ended.kind === 'unsent') return health.noteUnreached(id)
    if (ended.kind === 'failed' || ended.kind === 'cut') return health.noteFailure(id)
    if (ended.kind === 'relayed' || ended.kind === 'rejected') health.noteHeard(id)
  }
  /** Whether the request may run once more, at another server. */
  const mayRepeat = (run: Run): boolean => {
    const { kind, isResumable, maxAttempts } = run.admitted.route
    return (kind === 'idempotent' || (kind === 'stream' && isResumable)) && run.runs < maxAttempts
  }
  const retries = (run: Run): boolean => ctx.retryBudget(run.admitted.service.name).tryTake()

  /** After an attempt that may have run: another at the next server where that is allowed, else the end. */
  const repeatOrEnd = (run: Run, reason: EndReason): boolean => {
    if (mayRepeat(run) && leftMs(run) > 0 && retries(run)) {
      run.events?.resume()
      return true
    }
    end(run, { reason })
    return false
  }
  /** Returns whether another attempt is to be made; tells the caller where none is. */
  const conclude = async (run: Run, server: BackendServer, ended: AttemptEnd, rejections: number): Promise<boolean> => {
    const id = serverProcessId(server)
    switch (ended.kind) {
      case 'relayed':
        run.trail.record('lose')
        logEnd(run, `relayed ${ended.status}`)
        return false
      case 'unsent':
        run.trail.record('disclaim')
        run.runs -= 1
        run.tried.add(id)
        if (rejections < MAX_REJECTIONS) return true
        end(run, { reason: 'no-server', retryAfterMs: FULL_RETRY_MS })
        return false
      case 'rejected':
        run.trail.record('disclaim')
        run.runs -= 1
        run.rejectedBy.add(id)
        logger.info('attempt-rejected', { request: run.caller.attemptId, server: server.id, status: ended.status, model: run.caller.model })
        if (rejections >= MAX_REJECTIONS || !retries(run)) {
          end(run, { reason: rejections >= MAX_REJECTIONS ? 'server-full' : 'retry-budget-spent', retryAfterMs: FULL_RETRY_MS })
          return false
        }
        await ctx.pause(REJECTED_PAUSE_MS)
        return true
      case 'failed':
        run.trail.record('lose')
        run.lastAnswer = ended.response ?? run.lastAnswer
        logger.info('attempt-failed', { request: run.caller.attemptId, server: server.id, reason: ended.reason, repeatable: mayRepeat(run) })
        run.tried.add(id)
        return repeatOrEnd(run, 'server-failed')
      case 'cut':
        run.trail.record('lose')
        run.tried.add(id)
        logger.info('attempt-cut', { request: run.caller.attemptId, server: server.id, why: ended.reason, lastEvent: run.events?.lastId(), repeatable: mayRepeat(run) })
        return repeatOrEnd(run, 'answer-cut')
      case 'stopped':
        run.trail.record('lose')
        end(run, { reason: run.why ?? 'fault' })
        return false
    }
  }
  const runAttempts = async (run: Run): Promise<void> => {
    for (let rejections = 0; ; rejections += 1) {
      const server = await findServer(run)
      if (run.stop.signal.aborted) return end(run, { reason: run.why ?? 'fault', retryAfterMs: FULL_RETRY_MS })
      if ('reason' in server) return end(run, server)
      const refusal = await takeAllowance(run)
      if (run.stop.signal.aborted) return end(run, { reason: run.why ?? 'fault', retryAfterMs: FULL_RETRY_MS })
      if (refusal !== undefined) return end(run, refusal)
      const ended = await send(run, server)
      if (!await conclude(run, server, ended, rejections)) return
      if (run.stop.signal.aborted) return end(run, { reason: run.why ?? 'fault' })
    }
  }
  const stopRun = (run: Run, why: EndReason): void => {
    run.why ??= why
    run.stop.abort()
    run.attempt?.stop(why)
  }

  return async inbound => {
    const { req, res } = inbound
    ctx.noteActivity('caller')
    const caller = wire.decodeCallerRequest(req.headers)
    const admitted = admit(cfg, hostOf(req), pathOf(req), caller, ctx.random)
    if (admitted.err) return refuse(inbound, caller, admitted.val, false, { path: pathOf(req) })
    const { route, service } = admitted.val
    if (ctx.isClosingFor(route.kind)) return refuse(inbound, caller, { reason: 'leaving', retryAfterMs: LEAVING_RETRY_MS }, false, { route: route.name })
    ctx.noteDemand(modelKey(caller))
    ctx.retryBudget(service.name).recordFirstAttempt()
    const fingerprint = fingerprintOf(admitted.val.team?.name ?? '', `${req.method} ${req.url}`, inbound.body)
    if (ctx.suspects.assess(fingerprint) === 'refused') return refuse(inbound, caller, { reason: 'crashes-servers' }, false, { route: route.name, fingerprint })
    const allowedMs = Math.min(route.timeoutMs, caller.deadlineMs ?? Infinity)
    const run: Run = {
      inbound,
      caller,
      fingerprint,
      admitted: admitted.val,
      trail: createExecutionTracker(),
      endMs: inbound.arrivedMs + allowedMs,
      stop: new AbortController(),
      why: undefined,
      sends: 0,
      runs: 0,
      tried: new Set(),
      rejectedBy: new Set(),
      unitsTaken: 0,
      attempt: undefined,
      lastAnswer: undefined,
      server: undefined,
      waitedMs: 0,
      firstMs: undefined,
      events: route.kind === 'stream' ? createEventStream() : undefined
    }
    const cancelTimeout = clock.schedule(Math.max(0, leftMs(run)), () => stopRun(run, 'route-timeout'))
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
