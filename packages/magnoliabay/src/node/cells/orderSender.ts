/**
 * Sends one order until it is answered. The same order id is sent again and again: the engine answers a
 * repeated id with the first outcome and does nothing twice, so an answer to any copy settles them all, and
 * a late or doubled answer changes nothing.
 */
import type { BackendDirectory } from '../backend/directory'
import type { EngineClient } from '../backend/engineClient'
import type { EngineState, Order, OrderOutcome } from '../backend/protocol'
import { sleep } from '../clock'
import type { Clock } from '../clock'
import type { Logger } from '../logger'

/**
 * `engine-gone`: the engine has been given up, and with it everything on it. `stopped`: this steward ended; the
 * intent stays recorded for the next.
 */
export type OrderEnd =
  | { kind: 'answered', outcome: OrderOutcome }
  | { kind: 'engine-gone' }
  | { kind: 'stopped' }

export interface OrderSenderOptions {
  directory: BackendDirectory
  engines: EngineClient
  clock: Clock
  logger: Logger
  isStopped: () => boolean
  /** Whether the engine is still kept in the account. */
  isKept: (engine: string) => boolean
}

export interface OrderSender {
  /** `onSilence` is called when a copy went unanswered, perhaps several times. */
  carryOut (engine: string, order: Order, onSilence: () => void): Promise<OrderEnd>
  /** The engine's state shows that the order has been carried out, whether or not an answer ever comes. */
  settle (orderId: string): void
}

/** An answer to an order may take as long as a slow load; a copy unanswered for this long is sent again. */
const ORDER_TIMEOUT_MS = 60_000
const RESEND_MS = 1000

export function createOrderSender (options: OrderSenderOptions): OrderSender {
  const { directory, engines, clock, logger } = options
  const addresses = new Map<string, string>()

  const addressOf = (engine: string): string | undefined => {
    const listed = directory.engine(engine)
    if (listed !== undefined) addresses.set(engine, listed.address)
    return addresses.get(engine)
  }
  const settled = new Map<string, (end: OrderEnd) => void>()
  const sendUntilAnswered: OrderSender['carryOut'] = async (engine, order, onSilence) => {
    while (!options.isStopped() && (settled.has(order.orderId))) {
      if (!options.isKept(engine)) return { kind: 'engine-gone' }
      const address = addressOf(engine)
      const reply = address === undefined ? undefined : await engines.order(address, order, ORDER_TIMEOUT_MS)
      if (options.isStopped()) return { kind: 'stopped' }
      if (reply?.ok) {
        logger.info('order-answered', { order: order.orderId, action: order.action, engine, outcome: reply.val.outcome })
        return { kind: 'answered', outcome: reply.val.outcome }
      }
      logger.warn('order-unanswered', { order: order.orderId, action: order.action, engine, reason: reply?.val.message ?? 'no address' })
      onSilence()
      if (address !== undefined && await isVisiblyDone(engines, address, order)) return { kind: 'answered', outcome: 'already-done' }
      await sleep(clock, RESEND_MS)
    }
    return { kind: 'stopped' }
  }
  return {
    settle: orderId => settled.get(orderId)?.({ kind: 'answered', outcome: 'already-done' }),
    carryOut: async (engine, order, onSilence) => {
      const seen = new Promise<OrderEnd>(resolve => settled.set(order.orderId, resolve))
      const end = await Promise.race([sendUntilAnswered(engine, order, onSilence), seen])
      settled.delete(order.orderId)
      return end
    }
  }
}

type Evidence = (state: EngineState, order: Order) => boolean

/** What an engine's state can prove about an unanswered order. That it is *not* there proves nothing: it may still arrive. */
const EVIDENCE: Partial<Record<Order['action'], Evidence>> = {
  load: (state, order) => state.models.some(held => held.orderId === order.orderId && held.state === 'loaded'),
  'load-adapter': (state, order) => state.adapters.some(held => held.orderId === order.orderId && held.state === 'loaded'),
  'set-role': (state, order) => state.role === order.role,
  'raise-fence': (state, order) => state.checksFence && state.fence === order.fence
}

async function isVisiblyDone (engines: EngineClient, address: string, order: Order): Promise<boolean> {
  const evidence = EVIDENCE[order.action]
  if (evidence === undefined) return false
  const state = await engines.state(address)
  return state.ok && evidence(state.val, order)
}
