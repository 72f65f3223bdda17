/**
 * State machine of a replica: decided -> recorded -> ordered -> loaded -> unloading -> gone, with `unknown` while an
 * order has been sent and not been answered. Memory is charged in every state but `gone`.
 */
import { createMachine, interpret, state, transition } from 'robot3'

export type ReplicaState = 'decided' | 'recorded' | 'ordered' | 'loaded' | 'unloading' | 'unknown' | 'gone'

/**
 * `abandon`: cancelled before any order was sent. `fail`: the engine answered that it did not load.
 * `lose`: the state that the engine reports does not contain the replica.
 */
export type ReplicaEvent = 'record' | 'order' | 'confirm' | 'fail' | 'silence' | 'unload' | 'remove' | 'lose' | 'abandon'

const machine = createMachine('decided', {
  decided: state(transition('record', 'recorded'), transition('abandon', 'gone')),
  recorded: state(transition('order', 'ordered'), transition('abandon', 'gone')),
  ordered: state(transition('confirm', 'loaded'), transition('fail', 'gone'), transition('silence', 'unknown')),
  unknown: state(transition('confirm', 'loaded'), transition('fail', 'gone'), transition('remove', 'gone'), transition('lose', 'gone')),
  loaded: state(transition('unload', 'unloading'), transition('lose', 'gone')),
  unloading: state(transition('remove', 'gone'), transition('silence', 'unknown'), transition('confirm', 'loaded')),
  gone: state()
})

/** Events that bring a new state machine to the state that an engine reports for a replica. */
const INITIAL_EVENTS: Readonly<Record<'loaded' | 'unknown', readonly ReplicaEvent[]>> = {
  loaded: ['record', 'order', 'confirm'],
  unknown: ['record', 'order', 'silence']
}

export interface ReplicaLifecycle {
  state (): ReplicaState
  /** Applies the event. Returns false, and keeps the state, when the event has no transition from it. */
  send (event: ReplicaEvent): boolean
}

export function createReplicaLifecycle (initialState?: 'loaded' | 'unknown'): ReplicaLifecycle {
  const service = interpret(machine, () => {})
  const current = (): ReplicaState => service.machine.current as ReplicaState
  const send = (event: ReplicaEvent): boolean => {
    const before = current()
    service.send(event)
    return current() !== before
  }
  if (initialState !== undefined) INITIAL_EVENTS[initialState].forEach(send)
  return { state: current, send }
}
