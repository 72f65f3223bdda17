/**
 * Shuts an instance down in an order that cuts no request:
 * 1. it is no longer ready and leaves `locate`; 2. it resigns as leader of its cells and transfers its SLO counts; 3. it
 * serves callers that still have its address until `locateKeepMs` has passed; 4. it accepts no more connections and
 * finishes all open responses; 5. it hands its shares of allowances over and stops.
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
  steps: ShutdownSteps
}

/** Timeout of each step that calls the store or peers, milliseconds: if they are unavailable, the process must still end. */
const STEP_TIMEOUT_MS = 5000

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
  const { clock, logger, steps } = options
  const stateMachine = interpret(machine, () => {})
  let running: Promise<void> | undefined

  const enter = (event: string): void => {
    stateMachine.send(event as never)
    logger.info('instance-shutdown', { phase: stateMachine.machine.current as ShutdownPhase })
  }
  const runWithTimeout = async (step: string, task: Promise<void>): Promise<void> => {
    const ended = task.catch(() => logger.warn('shutdown-step-failed', { step }))
    if (await withTimeout(clock, STEP_TIMEOUT_MS, ended) === TIMED_OUT) logger.warn('shutdown-step-late', { step })
  }
  const shutDown = async (): Promise<void> => {
    const addressesValidUntilMs = clock.monotonic() + options.locateKeepMs
    enter('leave')
    await runWithTimeout('leave', steps.leave())
    await runWithTimeout('hand-over', steps.handOver())
    await sleep(clock, Math.max(0, addressesValidUntilMs - clock.monotonic()))
    enter('drain')
    await steps.drain(options.drainMs)
    enter('finish')
    await runWithTimeout('finish', steps.finish())
    enter('stop')
  }
  return () => {
    running ??= shutDown()
    return running
  }
}
