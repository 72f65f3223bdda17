/**
 * Shuts an instance down in an order that cuts no request:
 * 1. it is no longer ready and leaves `locate`; 2. it resigns as leader of its cells and transfers its SLO counts; 3. it
 * serves callers that still have its address until `locateKeepMs` has passed; 4. it accepts no more connections and
 * finishes all open responses, or refuses those that still wait; 5. it hands its shares of allowances over and stops.
 *
 * Steps 1, 2 and 5 call the store and peers, which may not answer. Steps 1 and 2 run beside step 3, and all times count
 * from the start, so that neither can shorten or delay what callers get.
 */
import { createMachine, interpret, state, transition } from 'robot3'
import type { Clock } from './clock'
import { TIMED_OUT, sleep, withTimeout } from './clock'
import type { Logger } from './logger'

export type ShutdownPhase = 'serving' | 'leaving' | 'draining' | 'finishing' | 'stopped'

export interface ShutdownSteps {
  /** Announces that this instance accepts no new callers. */
  leave (): Promise<void>
  /** Hands over to other instances what only this instance holds. */
  handOver (): Promise<void>
  /** Resolves when every open request has ended; those left after `drainMs` are ended with a typed failure. */
  drain (drainMs: number): Promise<void>
  finish (): Promise<void>
}

export interface ShutdownOptions {
  clock: Clock
  logger: Logger
  /** How long callers may keep an address, milliseconds. */
  locateKeepMs: number
  /** How long open requests may take after `locateKeepMs`, milliseconds. */
  drainMs: number
  /** Time after which the shutdown ends whatever still hangs, milliseconds. @default each step has its own timeout only */
  totalMs?: number
  steps: ShutdownSteps
}

/** Timeout of each step that calls the store or peers, milliseconds: if they are unavailable, the process must still end. */
const STEP_TIMEOUT_MS = 5000
/** Time after the end of the drain for the failures of requests that it ended to reach their callers, milliseconds. */
const DRAIN_OVERRUN_MS = 2000

const machine = createMachine('serving', {
  serving: state(transition('leave', 'leaving')),
  leaving: state(transition('drain', 'draining')),
  draining: state(transition('finish', 'finishing')),
  finishing: state(transition('stop', 'stopped')),
  stopped: state()
})

/**
 * Returns the shutdown function. A repeated call, as after a second signal, waits for the running shutdown without
 * restarting or shortening it.
 */
export function createShutdown (options: ShutdownOptions): () => Promise<void> {
  const { clock, logger, steps, locateKeepMs, drainMs, totalMs = Infinity } = options
  const stateMachine = interpret(machine, () => {})
  let running: Promise<void> | undefined

  const enter = (event: string): void => {
    stateMachine.send(event as never)
    logger.info('instance-shutdown', { phase: stateMachine.machine.current as ShutdownPhase })
  }
  const runWithTimeout = async (step: string, timeoutMs: number, run: () => Promise<void>): Promise<void> => {
    const ended = run().catch(() => logger.warn('shutdown-step-failed', { step }))
    if (await withTimeout(clock, timeoutMs, ended) === TIMED_OUT) logger.warn('shutdown-step-late', { step })
  }
  const shutDown = async (): Promise<void> => {
    const startedMs = clock.monotonic()
    const untilMs = (afterStartMs: number): number => Math.max(0, startedMs + Math.min(afterStartMs, totalMs) - clock.monotonic())
    const drainEndMs = locateKeepMs + drainMs
    /** The second half of the wait for addresses belongs to the hand-over, even if the announcement never ends. */
    const announce = async (): Promise<void> => {
      await runWithTimeout('leave', Math.min(STEP_TIMEOUT_MS, locateKeepMs / 2), steps.leave)
      await runWithTimeout('hand-over', Math.min(STEP_TIMEOUT_MS, untilMs(drainEndMs)), steps.handOver)
    }
    enter('leave')
    const announced = announce()
    await sleep(clock, untilMs(locateKeepMs))
    enter('drain')
    await runWithTimeout('drain', untilMs(drainEndMs + DRAIN_OVERRUN_MS), () => steps.drain(untilMs(drainEndMs)))
    await announced
    enter('finish')
    await runWithTimeout('finish', Math.min(STEP_TIMEOUT_MS, untilMs(Infinity)), steps.finish)
    enter('stop')
  }
  return () => {
    running ??= shutDown()
    return running
  }
}
