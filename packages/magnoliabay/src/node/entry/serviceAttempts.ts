/** Runs the attempts of one call of a plain service. */
import type { IncomingHttpHeaders } from 'node:http'
import { UNSENT } from '../answers'
import type { BackendDirectory, ConnectionPools } from '../backend'
import type { NotRunBasis } from '../backend/relayTypes'
import type { HttpMethod } from '../backend/httpExchange'
import { callService } from '../backend/serviceCall'
import type { ServiceResponse, ServiceCallResult } from '../backend/serviceCall'
import type { BackendStatements, Place } from '../backend/backendStatements'
import type { LeavingBackends } from '../backend/leavingBackends'
import type { Clock } from '../clock'
import { createIndeterminateFailure, createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import type { RetryBudget } from '../outcomes'
import type { ListedInstance } from '../store'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { ABORTED, takePlace } from './takePlace'
import type { EntryRequest } from './types'

const MAX_ATTEMPTS = 3
const MS_PER_SECOND = 1000
const FORWARDED_HEADERS: readonly string[] = ['content-type', 'accept', 'idempotency-key']

export interface ServiceAttemptOptions {
  directory: BackendDirectory
  leavingBackends: LeavingBackends
  statements: BackendStatements
  connectionPools: ConnectionPools
  clock: Clock
  logger: Logger
  retryBudget: RetryBudget
  serviceAnswerMs: number
}

export interface ServiceTarget {
  name: string
  /** Includes the query. */
  path: string
  isIdempotent: boolean
}

export interface ServiceAttempts {
  run (req: EntryRequest, target: ServiceTarget, signal: AbortSignal): Promise<Result<ServiceResponse, Failure>>
}

export function createServiceAttempts (options: ServiceAttemptOptions): ServiceAttempts {
  const { directory, leavingBackends, statements, logger, retryBudget } = options
  let rotation = 0

  const listUntried = (name: string, tried: readonly ListedInstance[]): ListedInstance[] => directory.services(name)
    .filter(server => server.status === 'live' && !leavingBackends.isLeaving(server.address))
    .filter(server => !tried.some(other => other.address === server.address))
  /** Picks an untried server round-robin, in an untried failure domain if there is one. */
  const chooseServer = (name: string, tried: readonly ListedInstance[]): ListedInstance | undefined => {
    const available = listUntried(name, tried).filter(server => statements.refusedForMs(server.address) === 0)
    const inOtherDomains = available.filter(server => !tried.some(other => other.failureDomain === server.failureDomain))
    const candidates = inOtherDomains.length > 0 ? inOtherDomains : available
    rotation += 1
    return candidates[rotation % Math.max(1, candidates.length)]
  }
  /** Chooses a server that takes the call now; one that refuses it is left out of the next choice. Undefined without one, and when the call is aborted. */
  const chooseAdmitted = async (name: string, tried: readonly ListedInstance[], signal: AbortSignal): Promise<{ server: ListedInstance, place: Place } | undefined> => {
    for (;;) {
      const server = chooseServer(name, tried)
      if (server === undefined) return undefined
      const place = await takePlace(statements, server.address, signal)
      if (place === ABORTED) return undefined
      if (place !== undefined) return { server, place }
    }
  }
  /** The failure of a call for which there is no server: when one that takes none for the moment takes calls again. */
  const noServerFailure = (name: string, tried: readonly ListedInstance[]): Failure | undefined => {
    const refusedMs = listUntried(name, tried).map(server => statements.refusedForMs(server.address))
    return refusedMs.length === 0 ? undefined : createRefusal('overloaded', `The servers of ${name} take no more calls for the moment.`, Math.min(...refusedMs) / MS_PER_SECOND)
  }
  const callAt = async (server: ListedInstance, req: EntryRequest, target: ServiceTarget, signal: AbortSignal): Promise<ServiceCallResult> => {
    req.execution.record('send')
    const result = await callService(options, {
      address: server.address,
      method: req.method as HttpMethod,
      path: target.path,
      headers: forwardedHeaders(req.headers, req.caller.team),
      body: req.rawBody,
      requestId: req.requestId,
      responseTimeoutMs: options.serviceAnswerMs,
      isIdempotent: target.isIdempotent,
      signal
    })
    const notRun = notRunBasisOf(result)
    if (notRun === undefined) req.execution.record('lose')
    else req.execution.disclaim({ server: server.id, send: req.execution.evidence().length + 1, ...notRun })
    if (result.kind === 'not-run' && result.isLeaving) leavingBackends.markLeaving(server.address)
    return result
  }
  /** A call that certainly didn't run may be retried; one that may have run only if it is idempotent. */
  const isRetryable = (result: ServiceCallResult, target: ServiceTarget): boolean =>
    result.kind === 'not-run' || (result.kind === 'lost' && target.isIdempotent)

  return {
    run: async (req, target, signal) => {
      const tried: ListedInstance[] = []
      let lastFailure: Failure = createRefusal('no_capacity', `No server of ${target.name} is live.`, 1)
      retryBudget.recordFirstAttempt()
      while (tried.length < MAX_ATTEMPTS && !signal.aborted) {
        const admitted = await chooseAdmitted(target.name, tried, signal)
        if (admitted === undefined) {
          if (tried.length === 0) lastFailure = noServerFailure(target.name, tried) ?? lastFailure
          break
        }
        const { server, place } = admitted
        if (tried.length > 0 && !retryBudget.tryTake()) {
          place.release(false)
          logger.info('retry-withheld', { request: req.requestId, reason: 'retry budget spent' })
          break
        }
        tried.push(server)
        const result = await callAt(server, req, target, signal)
        place.release(result.kind === 'not-run')
        if (result.kind === 'answered') return Ok(result.response)
        lastFailure = failureOf(result)
        logger.info('service-call-failed', { request: req.requestId, server: server.id, result: result.kind, reason: lastFailure.message })
        if (!isRetryable(result, target)) break
      }
      return Err(lastFailure)
    }
  }
}

function notRunBasisOf (result: ServiceCallResult): NotRunBasis | undefined {
  if (result.kind === 'not-run') return result.notRun
  return result.kind === 'stopped' && !result.isSent ? { connection: undefined, basis: UNSENT } : undefined
}

function failureOf (result: Exclude<ServiceCallResult, { kind: 'answered' }>): Failure {
  if (result.kind === 'not-run') return createRefusal('backend_failed', result.message, 1)
  if (result.kind === 'lost') return createIndeterminateFailure('may_have_run', `The service did not answer in full: ${result.message}`)
  return result.isSent
    ? createIndeterminateFailure('may_have_run', 'The call was given up before its answer came.')
    : createRefusal('deadline_exceeded', 'The call was given up before it was sent.', 1)
}

/** Forwards only the headers that a service needs; the caller's key, cookies and connection headers are dropped. */
function forwardedHeaders (headers: IncomingHttpHeaders, team: string): Record<string, string> {
  const forwarded = FORWARDED_HEADERS.flatMap(name => typeof headers[name] === 'string' ? [[name, headers[name] as string]] : [])
  return { ...Object.fromEntries(forwarded), 'x-team': team }
}
