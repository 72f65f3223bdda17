/** Sends the requests of one team's routes to an allowance, in virtual time. Callers return once after a rejection. */
import { createRandom } from '@magnoliabay/standins'
import type { VirtualClock } from '../../../../clock/virtual'
import type { PartAsk } from '../../allowanceParts'

export interface RouteLoad {
  part: string
  perSecond: number
  units: number
  deadlineMs: number
  /** Multiple of the usual rate during the burst. @default 1 */
  burstRatio?: number
}

export interface RouteOutcome {
  asked: number
  granted: number
  /** Callers that returned after the promised time. */
  returned: number
  grantedOnReturn: number
  /** Rejections that the caller did not return from, or not successfully. */
  rejected: number
}

export interface RouteLoadOptions {
  clock: VirtualClock
  loads: readonly RouteLoad[]
  seed: number
  usualMs: number
  burstMs: number
  /** Returns the wait; 0 when granted. */
  take: (ask: PartAsk, units: number) => number | Promise<number>
  /** Called with each grant. */
  onGranted?: (part: string, units: number, atMs: number) => void
}

/** Callers return after a retry time of at most this part of the time that they have left. */
const PATIENCE_RATIO = 1 / 3
const MS_PER_SECOND = 1000

/** Runs the usual load and then the burst; returns what each route got from the requests that began in the burst. */
export async function runRouteLoad ({ clock, loads, seed, usualMs, burstMs, take, onGranted = () => {} }: RouteLoadOptions): Promise<Map<string, RouteOutcome>> {
  const random = createRandom(seed)
  const outcomes = new Map(loads.map(({ part }): [string, RouteOutcome] => [part, { asked: 0, granted: 0, returned: 0, grantedOnReturn: 0, rejected: 0 }]))
  const startMs = clock.monotonic()
  let requests = 0
  const send = async (load: RouteLoad, caller: string, sentMs: number, isReturn: boolean): Promise<void> => {
    const patienceMs = (sentMs + load.deadlineMs - clock.monotonic()) * PATIENCE_RATIO
    const waitMs = await take({ part: load.part, caller, patienceMs }, load.units)
    const isCounted = sentMs - startMs >= usualMs
    const outcome = isCounted ? outcomes.get(load.part)! : { asked: 0, granted: 0, returned: 0, grantedOnReturn: 0, rejected: 0 }
    outcome.asked += isReturn ? 0 : 1
    if (waitMs === 0) {
      outcome.granted += 1
      outcome.grantedOnReturn += isReturn ? 1 : 0
      return onGranted(load.part, load.units, clock.monotonic())
    }
    if (isReturn || waitMs > patienceMs) {
      outcome.rejected += 1
      return
    }
    outcome.returned += 1
    clock.schedule(waitMs, () => send(load, caller, sentMs, true))
  }
  const scheduleNext = (load: RouteLoad): void => {
    const isBurst = clock.monotonic() - startMs >= usualMs
    const perSecond = load.perSecond * (isBurst ? load.burstRatio ?? 1 : 1)
    // Independent arrivals: the gaps are distributed exponentially.
    clock.schedule(-Math.log(1 - random()) / perSecond * MS_PER_SECOND, () => {
      if (clock.monotonic() - startMs >= usualMs + burstMs) return
      requests += 1
      send(load, `request ${requests}`, clock.monotonic(), false)
      scheduleNext(load)
    })
  }
  loads.forEach(scheduleNext)
  await clock.advance(usualMs + burstMs + Math.max(...loads.map(({ deadlineMs }) => deadlineMs)))
  return outcomes
}
