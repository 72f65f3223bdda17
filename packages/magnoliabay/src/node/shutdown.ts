/**
 * The end of an instance, in order, so that no request is cut:
 * not ready and out of locate; cells and fractions to others; callers that hold an old address served until
 * what they were told has run out; no more connections; every answer to its end; gone.
 */
import { createMachine, interpret, state, transition } from 'robot3'
import type { Clock } from './clock'
import { TIMED_OUT, sleep, withTimeout } from './clock'
import type { Logger } from './logger'

export type ShutdownPhase = 'serving' | 'leaving' | 'draining' | 'finishing' | 'stopped'

export interface ShutdownSteps {
  /** Tells everybody that no new callers should come here. */
  leave (): Promise<void>
  /** Gives what only this instance holds to others. */
  handOver (): Promise<void>
  /** Ends when every open request has; those left after `drainMs` are ended with a typed failure. */
  drain (drainMs: number): Promise<void>
  finish (): Promise<void>
}

export interface ShutdownOptions {
  clock: Clock
  logger: Logger
  /** How long callers may keep an address, milliseconds. */
  locateKeepMs: number
  /** How long open requests may take after that, milliseconds. */
  drainMs: number
  steps: ShutdownSteps
}

/** Bounds each step that needs others: the store or peers being away must not keep the process, milliseconds. */
const STEP_LIMIT_MS = 5000

const machine = createMachine('serving', {
  serving: state(transition('leave', 'leaving')),
  leaving: state(transition('drain', 'draining')),
  draining: state(transition('finish', 'finishing')),
  finishing: state(transition('stop', 'stopped')),
  stopped: state()
})

/** Called again, as by a second signal, it waits for the shutdown under way; it never starts over or hurries. */
export function createShutdown (options: ShutdownOptions): () => Promise<void> {
  const { clock, logger, steps } = options
  const life = interpret(machine, () => {})
  let running: Promise<void> | undefined

  const enter = (event: string): void => {
    life.send(event as never)
    logger.info('instance-shutdown', { phase: life.machine.current as ShutdownPhase })
  }
  const bounded = async (step: string, task: Promise<void>): Promise<void> => {
    const ended = task.catch(() => logger.warn('shutdown-step-failed', { step }))
    if (await withTimeout(clock, STEP_LIMIT_MS, ended) === TIMED_OUT) logger.warn('shutdown-step-late', { step })
  }
  const shutDown = async (): Promise<void> => {
    const keptUntilMs = clock.monotonic() + options.locateKeepMs
    enter('leave')
    await bounded('leave', steps.leave())
    await bounded('hand-over', steps.handOver())
    await sleep(clock, Math.max(0, keptUntilMs - clock.monotonic()))
    enter('drain')
    await steps.drain(options.drainMs)
    enter('finish')
    await bounded('finish', steps.finish())
    enter('stop')
  }
  return () => {
    running ??= shutDown()
    return running
  }
}
