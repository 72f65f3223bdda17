/** Takes one instance out of service without stopping it: callers and its cells move to others. */
import * as v from 'valibot'
import type { Logger } from '../logger'
import { definePeerCall } from '../members'
import type { PeerError, Peers } from '../members'
import type { Result } from '../result'

export interface DrainOptions {
  peers: Peers
  logger: Logger
  /** Leaves `locate`, resigns as leader of its cells and transfers its SLO counts; does nothing if this instance has done so already. */
  leave: () => Promise<void>
}

export interface Drainer {
  drain (instance: string, operator: string): Promise<Result<{ instance: string }, PeerError>>
}

const drainCall = definePeerCall<{ operator: string }, { instance: string }>('operators.drain', { req: v.object({ operator: v.string() }), res: v.object({ instance: v.string() }) })
const DRAIN_TIMEOUT_MS = 15_000

export function createDrainer ({ peers, logger, leave }: DrainOptions): Drainer {
  peers.serve(drainCall, async ({ operator }) => {
    logger.info('instance-drained', { operator, reason: 'requested by an operator' })
    await leave()
    return { instance: peers.self.id }
  })
  return {
    drain: (instance, operator) => peers.call(instance, drainCall, { operator }, { timeoutMs: DRAIN_TIMEOUT_MS })
  }
}
