/**
 * Sends an order until it is answered. Every attempt has the same order id: the engine answers a repeated id with the
 * first outcome and executes it once, so an answer to any attempt settles all of them, and a late or duplicate answer
 * has no effect.
 */
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { EngineState, Order, OrderOutcome } from '../backend/protocol'
import { sleep } from '../clock'
import type { Clock } from '../clock'
import type { Logger } from '../logger'

/**
 * `engine-gone`: the engine was dropped, with all its replicas. `stopped`: this leader has stopped; the intent stays
 * recorded for the next leader.
 */
export type OrderResult =
  | { kind: 'answered', outcome: OrderOutcome }
  | { kind: 'engine-gone' }
  | { kind: 'stopped' }

export interface OrderSenderOptions {
  directory: BackendDirectory
  engines: EngineClient
  clock: Clock
  logger: Logger
  isStopped: () => boolean
  /** Whether the leader still has an account of the engine. */
  hasAccount: (engine: string) => boolean
}

export interface OrderSender {
  /** Calls `onUnanswered` after each attempt that was not answered. */
  send (engine: string, order: Order, onUnanswered: () => void): Promise<OrderResult>
  /** Ends the sending of an order that has been carried out, as the engine's state shows. */
  markDone (orderId: string): void
}

/** An answer may take as long as a slow load. After this time without one, the order is sent again. */
const ORDER_TIMEOUT_MS = 60_000
const RESEND_DELAY_MS = 1000

export function createOrderSender (options: OrderSenderOptions): OrderSender {
  const { directory, engines, clock, logger } = options
  const addresses = new Map<string, string>()

  const addressOf = (engine: string): string | undefined => {
    const listed = directory.engine(engine)
    if (listed !== undefined) addresses.set(engine, listed.address)
    return addresses.get(engine)
  }
  const openOrders = new Map<string, (result: OrderResult) => void>()
  const sendUntilAnswered: OrderSender['send'] = async (engine, order, onUnanswered) => {
    while (!options.isStopped() && (openOrders.has(order.orderId))) {
      if (!options.hasAccount(engine)) return { kind: 'engine-gone' }
      const address = addressOf(engine)
      const reply = address === undefined ? undefined : await engines.order(address, order, ORDER_TIMEOUT_MS)
      if (options.isStopped()) return { kind: 'stopped' }
      if (reply?.ok) {
        logger.info('order-answered', { order: order.orderId, action: order.action, engine, outcome: reply.val.outcome })
        return { kind: 'answered', outcome: reply.val.outcome }
      }
      logger.warn('order-unanswered', { order: order.orderId, action: order.action, engine, reason: reply?.val.message ?? 'no address' })
      onUnanswered()
      if (address !== undefined && await isDoneByState(engines, address, order)) return { kind: 'answered', outcome: 'already-done' }
      await sleep(clock, RESEND_DELAY_MS)
    }
    return { kind: 'stopped' }
  }
  return {
    markDone: orderId => openOrders.get(orderId)?.({ kind: 'answered', outcome: 'already-done' }),
    send: async (engine, order, onUnanswered) => {
      const markedDone = new Promise<OrderResult>(resolve => openOrders.set(order.orderId, resolve))
      const result = await Promise.race([sendUntilAnswered(engine, order, onUnanswered), markedDone])
      openOrders.delete(order.orderId)
      return result
    }
  }
}

type DoneCheck = (state: EngineState, order: Order) => boolean

/**
 * Checks by action whether an engine's state proves that an unanswered order was carried out. A state without its effect
 * proves nothing: the order may still arrive.
 */
const DONE_CHECKS: Partial<Record<Order['action'], DoneCheck>> = {
  load: (state, order) => state.models.some(reported => reported.orderId === order.orderId && reported.state === 'loaded'),
  'load-adapter': (state, order) => state.adapters.some(reported => reported.orderId === order.orderId && reported.state === 'loaded'),
  'set-role': (state, order) => state.role === order.role,
  'raise-fence': (state, order) => state.checksFence && state.fence === order.fence
}

async function isDoneByState (engines: EngineClient, address: string, order: Order): Promise<boolean> {
  const isDone = DONE_CHECKS[order.action]
  if (isDone === undefined) return false
  const state = await engines.state(address)
  return state.ok && isDone(state.val, order)
}
