/**
 * Tracks the move of a run to another engine: which call may be made next, and whether the request may be sent a second
 * time. Only this module decides that. A second send is allowed only in the state `stopped`, which needs a handle of the
 * source and its confirmation that the run has stopped there.
 */
import { createMachine, guard, interpret, reduce, state, transition } from 'robot3'
import type { MoveReply } from './runCalls'

/**
 * `idle`: nothing was sent. `copying`: the run continues while it is copied. `stopping`: the source was asked to stop the
 * run. `stopped`: it has confirmed that. `continued`: the request was sent with the handle. `failed`: the move is over.
 */
export type RunMoveState = 'idle' | 'copying' | 'stopping' | 'stopped' | 'continued' | 'failed'

/** Engine that continues the run: the one that has the copy, or the source with the memory that it kept. */
export type CopyHolder = 'target' | 'source'

export interface Continuation {
  handle: string
  holder: CopyHolder
}

export interface RunMove {
  state (): RunMoveState
  /** Starts the copy, without stopping the run. */
  begin (): void
  /** Records the reply to the call for the copy, or to the call that stops the run. */
  recordReply (reply: MoveReply): void
  /** Records that the source closed the stream without its final event, after a call to stop the run that got no reply. */
  recordStreamClosed (): void
  /** Returns what the second send uses, and counts it as made; undefined if none is allowed. */
  takeContinuation (): Continuation | undefined
  /** Records that the engine rejected the second send without running it, or that it was not sent. */
  recordDisclaimed (): void
  /** Ends the move, for example since the caller has left. */
  abandon (): void
  /** Handle of a copy that no request has used. */
  unusedHandle (): string | undefined
}

interface MoveContext {
  handle: string | undefined
  holder: CopyHolder
}

interface ReplyEvent {
  type: string
  handle?: string
}

const handleOf = (reply: MoveReply): string | undefined => reply.kind === 'copied' || reply.kind === 'no-room' ? reply.handle : undefined
const withHandle = (holder: CopyHolder) => reduce((context: MoveContext, { handle }: ReplyEvent) => ({ handle: handle ?? context.handle, holder }))
const hasHandle = guard((context: MoveContext, { handle }: ReplyEvent) => (handle ?? context.handle) !== undefined)
const statesHandle = guard((_context: MoveContext, { handle }: ReplyEvent) => handle !== undefined)
const isAtTarget = guard(({ holder }: MoveContext) => holder === 'target')
const atSource = reduce((context: MoveContext) => ({ ...context, holder: 'source' as const }))

const machine = createMachine('idle', {
  idle: state(
    transition('begin', 'copying'),
    transition('abandon', 'failed')
  ),
  copying: state(
    transition('copied', 'stopping', withHandle('target')),
    // Nothing has changed without a reply: the run continues at the source.
    transition('unanswered', 'failed'),
    transition('refused', 'failed'),
    transition('abandon', 'failed')
  ),
  stopping: state(
    transition('copied', 'stopped', withHandle('target')),
    // The run has stopped, and the target has no room: the source kept the memory.
    transition('refused', 'stopped', statesHandle, withHandle('source')),
    transition('refused', 'failed'),
    transition('unanswered', 'unconfirmed'),
    transition('abandon', 'failed')
  ),
  unconfirmed: state(
    transition('closed', 'stopped', hasHandle, atSource),
    transition('abandon', 'failed')
  ),
  stopped: state(
    transition('send', 'continued'),
    transition('abandon', 'failed')
  ),
  continued: state(
    // The handle was not used, and the source still has the memory.
    transition('disclaimed', 'stopped', isAtTarget, atSource),
    transition('disclaimed', 'failed')
  ),
  failed: state()
}, (): MoveContext => ({ handle: undefined, holder: 'target' }))

/** Inputs of the machine by reply. */
const INPUTS: Record<MoveReply['kind'], 'copied' | 'refused' | 'unanswered'> = {
  copied: 'copied',
  'no-run': 'refused',
  'in-progress': 'refused',
  'no-room': 'refused',
  refused: 'refused',
  unanswered: 'unanswered'
}

export function createRunMove (): RunMove {
  const service = interpret(machine, () => {})
  const current = (): string => service.machine.current
  const context = (): MoveContext => service.context
  let isUsed = false
  /** Also of a reply that arrives after the move has been abandoned. */
  let lastHandle: string | undefined
  return {
    // To others, a call to stop the run without a reply is one that still goes on.
    state: () => current() === 'unconfirmed' ? 'stopping' : current() as RunMoveState,
    begin: () => service.send('begin'),
    recordReply: reply => {
      lastHandle = handleOf(reply) ?? lastHandle
      service.send({ type: INPUTS[reply.kind], handle: handleOf(reply) })
    },
    recordStreamClosed: () => service.send('closed'),
    takeContinuation: () => {
      if (current() !== 'stopped') return undefined
      service.send('send')
      isUsed = true
      return { handle: context().handle!, holder: context().holder }
    },
    recordDisclaimed: () => {
      service.send('disclaimed')
      isUsed = false
    },
    abandon: () => service.send('abandon'),
    unusedHandle: () => isUsed ? undefined : lastHandle
  }
}
