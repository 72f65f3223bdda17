/** Taking one instance out of service without ending it: callers go elsewhere, what it holds goes to others. */
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { PeerError, Peers } from '../members'
import type { Result } from '../result'

export interface DrainOptions {
  peers: Peers
  logger: Logger
  /** Leaves `locate` and hands over; does nothing when that is done already. */
  leave: () => Promise<void>
}

export interface Drainer {
  drain (instance: string, operator: string): Promise<Result<{ instance: string }, PeerError>>
}

const drainInstance = definePeerCall<{ operator: string }, { instance: string }>('operators.drain')
const DRAIN_TIMEOUT_MS = 15_000

export function createDrainer ({ peers, logger, leave }: DrainOptions): Drainer {
  peers.serve(drainInstance, async ({ operator }) => {
    logger.info('instance-drained', { operator, reason: 'an operator asked for it' })
    await leave()
    return { instance: peers.self.id }
  })
  return {
    drain: (instance, operator) => peers.call(instance, drainInstance, { operator }, { timeoutMs: DRAIN_TIMEOUT_MS })
  }
}
