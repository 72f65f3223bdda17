/**
 * Queues requests until an engine has capacity: fair across teams by tokens, interactive work before patient work
 * without starving it, earliest deadline first within a team.
 *
 * Every waiting request has one deadline and settles exactly once: with a permit, or with a refusal, which is only
 * given while nothing has run.
 */
import type { CancelTimer, Clock } from '../clock'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { CLASS_WEIGHTS, WORK_CLASSES } from './workClass'
import type { WorkClass } from './workClass'
import { createTokenCounters } from './tokenCounters'
import { createWaitingRequests } from './waitingRequests'
import type { WaitingRequests, WaitingRequest } from './waitingRequests'
import { createThroughput } from './throughput'
import type { Throughput } from './throughput'

export interface QueueRequest {
  team: string
  model: string
  workClass: WorkClass
  /** Upper bound of prompt and completion tokens. */
  reservedTokens: number
  /** Monotonic milliseconds by which the request has to be answered. */
  deadlineMs: number
  signal: AbortSignal
}

export interface QueuePermit {
  /** Releases the permit once the request has ended, with the tokens that it used. Further calls have no effect. */
  release (usedTokens: number): void
}

/** Whether another request may be sent to an engine now. */
export interface EngineCapacity {
  /** `started`: requests for `model` that hold a permit from this queue. */
  hasCapacityFor (model: string, started: number): boolean
}

export interface QueueOptions {
  capacity: EngineCapacity
  weightOf: (team: string) => number
  /** Maximum of waiting requests, over all teams. @default 1000 */
  maxWaiting?: number
  clock: Clock
  logger: Logger
}

export interface TeamBacklog {
  team: string
  workClass: WorkClass
  waiting: number
}

export interface RequestQueue {
  /** Resolves when the request may go on, or is refused. */
  acquire (req: QueueRequest): Promise<Result<QueuePermit, Failure>>
  /** Starts waiting requests. Called when the capacity may have grown. */
  dispatch (): void
  backlogByTeam (): readonly TeamBacklog[]
}

const DEFAULT_MAX_WAITING = 1000
/** Capacity may grow without a call of `dispatch`, since load reports lag. */
const POLL_INTERVAL_MS = 50
const MS_PER_SECOND = 1000
const MAX_RETRY_AFTER_SECONDS = 60

interface QueuedRequest extends WaitingRequest {
  settle: (result: Result<QueuePermit, Failure>) => void
}

export function createRequestQueue (options: QueueOptions): RequestQueue {
  const { capacity, clock, logger, weightOf } = options
  const maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING
  const waitingRequests = createWaitingRequests<QueuedRequest>()
  const teamCounters = createTokenCounters(weightOf)
  const classCounters = createTokenCounters(name => CLASS_WEIGHTS[name as WorkClass])
  const throughputs = new Map<string, Throughput>()
  const started = new Map<string, number>()
  const running = new Map<string, number>()
  const runningInClass = new Map<string, number>()
  let cancelPoll: CancelTimer | undefined

  const now = (): number => clock.monotonic()
  const throughputOf = (model: string): Throughput => {
    const throughput = throughputs.get(model) ?? createThroughput()
    throughputs.set(model, throughput)
    return throughput
  }
  const hasCapacity = (model: string): boolean => capacity.hasCapacityFor(model, started.get(model) ?? 0)

  const start = (req: WaitingRequest): QueuePermit => {
    const { team, model, workClass, reservedTokens: tokens } = req
    teamCounters.activate(team)
    classCounters.activate(workClass)
    teamCounters.charge(team, tokens)
    classCounters.charge(workClass, tokens)
    throughputOf(model).recordStarted(tokens, now())
    addToCount(started, model, 1)
    addToCount(running, team, 1)
    addToCount(runningInClass, workClass, 1)
    let isReleased = false
    return {
      release: usedTokens => {
        if (isReleased) return
        isReleased = true
        teamCounters.charge(team, usedTokens - tokens)
        classCounters.charge(workClass, usedTokens - tokens)
        addToCount(started, model, -1)
        addToCount(running, team, -1)
        addToCount(runningInClass, workClass, -1)
        deactivateIfIdle(req)
        dispatch()
      }
    }
  }
  /** Deactivates the counters of a team and a class that have neither waiting nor running requests. */
  const deactivateIfIdle = ({ team, workClass }: WaitingRequest): void => {
    if (waitingRequests.sizeOfTeam(team) === 0 && !running.has(team)) teamCounters.deactivate(team)
    if (waitingRequests.teams(workClass).length === 0 && !runningInClass.has(workClass)) classCounters.deactivate(workClass)
  }
  /**
   * Returns the next request to start: the class with the lowest counter, in it the team with the lowest counter, in it
   * the earliest deadline whose model has capacity.
   */
  const nextStartable = (): QueuedRequest | undefined => {
    const startableByModel = new Map<string, boolean>()
    const canStart = (req: QueuedRequest): boolean => {
      const known = startableByModel.get(req.model) ?? hasCapacity(req.model)
      startableByModel.set(req.model, known)
      return known
    }
    const firstOf = (workClass: WorkClass): QueuedRequest | undefined => firstDefined(
      teamCounters.order(waitingRequests.teams(workClass)),
      team => waitingRequests.ofTeam(workClass, team).find(canStart)
    )
    const waitingClasses = WORK_CLASSES.filter(workClass => waitingRequests.teams(workClass).length > 0)
    return firstDefined(classCounters.order(waitingClasses), name => firstOf(name as WorkClass))
  }
  const dispatch = (): void => {
    for (let req = nextStartable(); req !== undefined; req = nextStartable()) {
      removeWaiting(req)
      req.settle(Ok(start(req)))
    }
    schedulePoll()
  }
  const removeWaiting = (req: QueuedRequest): void => {
    if (!waitingRequests.remove(req)) return
    const hasOtherWaiting = waitingRequests.all().some(other => other.model === req.model)
    if (!hasOtherWaiting) throughputOf(req.model).setWaiting(false, now())
  }
  const schedulePoll = (): void => {
    if (waitingRequests.size() === 0 || cancelPoll !== undefined) return
    cancelPoll = clock.schedule(POLL_INTERVAL_MS, () => {
      cancelPoll = undefined
      dispatch()
    })
  }
  const refuse = (req: QueuedRequest, failure: Failure, reason: string): void => {
    removeWaiting(req)
    deactivateIfIdle(req)
    logger.info('request-refused-in-queue', { team: req.team, model: req.model, reason, waitedMs: Math.round(now() - req.enteredAtMs) })
    req.settle(Err(failure))
  }

  /** Estimated milliseconds until the request would start, or undefined while the throughput is unknown. */
  const estimateWaitMs = (req: QueueRequest): number | undefined => {
    const tokensPerSecond = throughputOf(req.model).tokensPerSecond(now())
    if (tokensPerSecond === undefined) return undefined
    const competitors = waitingRequests.all().filter(other => other.model === req.model && competesWith(other, req))
    const ahead = competitors.filter(other => other.team === req.team && other.deadlineMs <= req.deadlineMs)
    const tokensAhead = ahead.reduce((sum, other) => sum + other.reservedTokens, 0)
    const totalWeight = [...new Set([...competitors.map(other => other.team), req.team])].reduce((sum, team) => sum + weightOf(team), 0)
    return tokensAhead / (tokensPerSecond * weightOf(req.team) / totalWeight) * MS_PER_SECOND
  }
  const overloadedRefusal = (message: string, waitMs: number): Failure =>
    createRefusal('overloaded', message, Math.min(MAX_RETRY_AFTER_SECONDS, Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))))
  /**
   * A team that sends several times its share must not take the places of other teams: when the queue is full, the team
   * with the most waiting requests relative to its weight loses its last one.
   */
  const evictForTeam = (team: string): boolean => {
    const loadOf = (name: string): number => (waitingRequests.sizeOfTeam(name) + (name === team ? 1 : 0)) / weightOf(name)
    const teamNames = [...new Set([...waitingRequests.all().map(req => req.team), team])]
    const busiestTeam = teamNames.reduce((busiest, name) => loadOf(name) > loadOf(busiest) ? name : busiest, team)
    if (busiestTeam === team) return false
    const evicted = waitingRequests.ofTeam('patient', busiestTeam).at(-1) ?? waitingRequests.ofTeam('interactive', busiestTeam).at(-1)
    if (evicted === undefined) return false
    refuse(evicted, overloadedRefusal('Too many requests of the team wait here.', POLL_INTERVAL_MS), 'place given to another team')
    return true
  }
  const enqueue = (req: QueueRequest): Promise<Result<QueuePermit, Failure>> => new Promise(resolve => {
    let cancelTimer: CancelTimer = () => {}
    const queued: QueuedRequest = {
      ...req,
      enteredAtMs: now(),
      settle: result => {
        cancelTimer()
        req.signal.removeEventListener('abort', onAbort)
        resolve(result)
      }
    }
    const onDeadline = (): void => refuse(queued, createRefusal('deadline_exceeded', 'The deadline passed before the request got its turn.', 1), 'deadline')
    const onAbort = (): void => refuse(queued, createRefusal('deadline_exceeded', 'The request was ended before it got its turn.', 1), 'aborted')
    cancelTimer = clock.schedule(req.deadlineMs - now(), onDeadline)
    req.signal.addEventListener('abort', onAbort, { once: true })
    teamCounters.activate(req.team)
    classCounters.activate(req.workClass)
    waitingRequests.add(queued)
    throughputOf(req.model).setWaiting(true, now())
    dispatch()
  })

  return {
    dispatch,
    backlogByTeam: () => backlogOf(waitingRequests),
    acquire: async req => {
      const canStartNow = waitingRequests.size() === 0 && hasCapacity(req.model)
      if (canStartNow) return Ok(start({ ...req, enteredAtMs: now() }))
      if (req.signal.aborted || req.deadlineMs <= now()) return Err(createRefusal('deadline_exceeded', 'The deadline passed before the request got its turn.', 1))
      const estimatedMs = estimateWaitMs(req)
      const remainingMs = req.deadlineMs - now()
      if (estimatedMs !== undefined && estimatedMs > remainingMs) {
        return Err(overloadedRefusal(`The wait would be about ${Math.ceil(estimatedMs / MS_PER_SECOND)} s, longer than the request's deadline.`, estimatedMs - remainingMs))
      }
      if (waitingRequests.size() >= maxWaiting && !evictForTeam(req.team)) return Err(overloadedRefusal('Too many requests wait here.', estimatedMs ?? 0))
      return await enqueue(req)
    }
  }
}

function competesWith (other: WaitingRequest, req: QueueRequest): boolean {
  return other.workClass === 'interactive' || req.workClass === 'patient'
}

function backlogOf (waitingRequests: WaitingRequests<QueuedRequest>): readonly TeamBacklog[] {
  return WORK_CLASSES.flatMap(workClass => waitingRequests.teams(workClass)
    .map(team => ({ team, workClass, waiting: waitingRequests.ofTeam(workClass, team).length })))
}

function addToCount (counts: Map<string, number>, key: string, change: number): void {
  const value = (counts.get(key) ?? 0) + change
  if (value === 0) counts.delete(key)
  else counts.set(key, value)
}

function firstDefined<Item, Found> (items: readonly Item[], find: (item: Item) => Found | undefined): Found | undefined {
  for (const item of items) {
    const found = find(item)
    if (found !== undefined) return found
  }
  return undefined
}
