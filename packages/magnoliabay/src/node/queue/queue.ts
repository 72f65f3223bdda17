/**
 * Where a request waits for its turn: fair across teams by tokens, interactive work before patient work without
 * starving it, earliest deadline first within a team.
 *
 * Every waiting request has one deadline and settles exactly once: with its turn, or with a refusal that is
 * true to say that nothing ran.
 */
import type { CancelTimer, Clock } from '../clock'
import { createRefusal } from '../failures'
import type { Failure } from '../failures'
import type { Logger } from '../logger'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { CLASS_WEIGHTS, WORK_CLASSES } from './workClass'
import type { WorkClass } from './workClass'
import { createCounters } from './tokenCounters'
import { createLine } from './waitingRequests'
import type { Line, Waiter } from './waitingRequests'
import { createPace } from './throughput'
import type { Pace } from './throughput'

export interface QueueRequest {
  team: string
  model: string
  workClass: WorkClass
  /** Tokens at most: prompt and answer. */
  reservedTokens: number
  /** Monotonic time by which the request has to be answered. */
  deadlineMs: number
  signal: AbortSignal
}

export interface QueuePermit {
  /** To be called when the request has ended; tells what it used. Calling it twice is harmless. */
  release (usedTokens: number): void
}

/** Whether another request may be sent to an engine now. */
export interface EngineCapacity {
  /** `started` requests for `model` have their turn here. */
  hasRoomFor (model: string, started: number): boolean
}

export interface QueueOptions {
  capacity: EngineCapacity
  weightOf: (team: string) => number
  /** Requests that wait at once, over all teams. @default 1000 */
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
  /** To be called when the capacity may have grown. */
  dispatch (): void
  backlogByTeam (): readonly TeamBacklog[]
}

const DEFAULT_MAX_WAITING = 1000
/** Capacity may grow without a word, since load reports lag. */
const POLL_MS = 50
const MS_PER_SECOND = 1000
const MAX_RETRY_AFTER_S = 60

interface QueuedRequest extends Waiter {
  settle: (result: Result<QueuePermit, Failure>) => void
}

export function createRequestQueue (options: QueueOptions): RequestQueue {
  const { capacity, clock, logger, weightOf } = options
  const maxWaiting = options.maxWaiting ?? DEFAULT_MAX_WAITING
  const line = createLine<QueuedRequest>()
  const teams = createCounters(weightOf)
  const classes = createCounters(name => CLASS_WEIGHTS[name as WorkClass])
  const paces = new Map<string, Pace>()
  const started = new Map<string, number>()
  const running = new Map<string, number>()
  const runningInClass = new Map<string, number>()
  let cancelPoll: CancelTimer | undefined

  const now = (): number => clock.monotonic()
  const paceOf = (model: string): Pace => {
    const pace = paces.get(model) ?? createPace()
    paces.set(model, pace)
    return pace
  }
  const mayStart = (model: string): boolean => capacity.hasRoomFor(model, started.get(model) ?? 0)

  const start = (req: Waiter): QueuePermit => {
    const { team, model, workClass, reservedTokens: tokens } = req
    teams.activate(team)
    classes.activate(workClass)
    teams.charge(team, tokens)
    classes.charge(workClass, tokens)
    paceOf(model).noteStarted(tokens, now())
    add(started, model, 1)
    add(running, team, 1)
    add(runningInClass, workClass, 1)
    let isDone = false
    return {
      release: usedTokens => {
        if (isDone) return
        isDone = true
        teams.charge(team, usedTokens - tokens)
        classes.charge(workClass, usedTokens - tokens)
        add(started, model, -1)
        add(running, team, -1)
        add(runningInClass, workClass, -1)
        rest(req)
        dispatch()
      }
    }
  }
  /** Team and class have had their last request for now. */
  const rest = ({ team, workClass }: Waiter): void => {
    if (line.sizeOf(team) === 0 && !running.has(team)) teams.deactivate(team)
    if (line.teams(workClass).length === 0 && !runningInClass.has(workClass)) classes.deactivate(workClass)
  }
  /** The class with the least counter, in it the team with the least, in it the earliest deadline that can start. */
  const next = (): QueuedRequest | undefined => {
    const startable = new Map<string, boolean>()
    const canStart = (req: QueuedRequest): boolean => {
      const known = startable.get(req.model) ?? mayStart(req.model)
      startable.set(req.model, known)
      return known
    }
    const firstOf = (workClass: WorkClass): QueuedRequest | undefined => firstDefined(
      teams.order(line.teams(workClass)),
      team => line.of(workClass, team).find(canStart)
    )
    const waitingClasses = WORK_CLASSES.filter(workClass => line.teams(workClass).length > 0)
    return firstDefined(classes.order(waitingClasses), name => firstOf(name as WorkClass))
  }
  const dispatch = (): void => {
    for (let req = next(); req !== undefined; req = next()) {
      leave(req)
      req.settle(Ok(start(req)))
    }
    keepPolling()
  }
  const leave = (req: QueuedRequest): void => {
    if (!line.remove(req)) return
    const isStillWaited = line.all().some(other => other.model === req.model)
    if (!isStillWaited) paceOf(req.model).noteWaiting(false, now())
  }
  const keepPolling = (): void => {
    if (line.size() === 0 || cancelPoll !== undefined) return
    cancelPoll = clock.schedule(POLL_MS, () => {
      cancelPoll = undefined
      dispatch()
    })
  }
  const refuse = (req: QueuedRequest, failure: Failure, reason: string): void => {
    leave(req)
    rest(req)
    logger.info('request-refused-in-queue', { team: req.team, model: req.model, reason, waitedMs: Math.round(now() - req.enteredAtMs) })
    req.settle(Err(failure))
  }

  /** Milliseconds until the request would get its turn, or undefined while nobody can tell. */
  const estimate = (req: QueueRequest): number | undefined => {
    const pace = paceOf(req.model).tokensPerSecond(now())
    if (pace === undefined) return undefined
    const rivals = line.all().filter(other => other.model === req.model && isBeforeOrWith(other, req))
    const ahead = rivals.filter(other => other.team === req.team && other.deadlineMs <= req.deadlineMs)
    const tokensAhead = ahead.reduce((sum, other) => sum + other.reservedTokens, 0)
    const weights = [...new Set([...rivals.map(other => other.team), req.team])].reduce((sum, team) => sum + weightOf(team), 0)
    return tokensAhead / (pace * weightOf(req.team) / weights) * MS_PER_SECOND
  }
  const overloaded = (message: string, waitMs: number): Failure =>
    createRefusal('overloaded', message, Math.min(MAX_RETRY_AFTER_S, Math.max(1, Math.ceil(waitMs / MS_PER_SECOND))))
  /**
   * A team that sends several times its share must not fill the places of the others: when there is no place
   * left, the team with the most waiting for its weight gives one up, the last of its own line.
   */
  const makeRoom = (team: string): boolean => {
    const load = (name: string): number => (line.sizeOf(name) + (name === team ? 1 : 0)) / weightOf(name)
    const names = [...new Set([...line.all().map(req => req.team), team])]
    const greatest = names.reduce((most, name) => load(name) > load(most) ? name : most, team)
    if (greatest === team) return false
    const last = line.of('patient', greatest).at(-1) ?? line.of('interactive', greatest).at(-1)
    if (last === undefined) return false
    refuse(last, overloaded('Too many requests of the team wait here.', POLL_MS), 'place given to another team')
    return true
  }
  const wait = (req: QueueRequest): Promise<Result<QueuePermit, Failure>> => new Promise(resolve => {
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
    teams.activate(req.team)
    classes.activate(req.workClass)
    line.add(queued)
    paceOf(req.model).noteWaiting(true, now())
    dispatch()
  })

  return {
    dispatch,
    backlogByTeam: () => waitingOf(line),
    acquire: async req => {
      const isFree = line.size() === 0 && mayStart(req.model)
      if (isFree) return Ok(start({ ...req, enteredAtMs: now() }))
      if (req.signal.aborted || req.deadlineMs <= now()) return Err(createRefusal('deadline_exceeded', 'The deadline passed before the request got its turn.', 1))
      const estimatedMs = estimate(req)
      const leftMs = req.deadlineMs - now()
      if (estimatedMs !== undefined && estimatedMs > leftMs) {
        return Err(overloaded(`The wait would be about ${Math.ceil(estimatedMs / MS_PER_SECOND)} s, longer than the request's deadline.`, estimatedMs - leftMs))
      }
      if (line.size() >= maxWaiting && !makeRoom(req.team)) return Err(overloaded('Too many requests wait here.', estimatedMs ?? 0))
      return await wait(req)
    }
  }
}

function isBeforeOrWith (other: Waiter, req: QueueRequest): boolean {
  return other.workClass === 'interactive' || req.workClass === 'patient'
}

function waitingOf (line: Line<QueuedRequest>): readonly TeamBacklog[] {
  return WORK_CLASSES.flatMap(workClass => line.teams(workClass)
    .map(team => ({ team, workClass, waiting: line.of(workClass, team).length })))
}

function add (counts: Map<string, number>, key: string, change: number): void {
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
