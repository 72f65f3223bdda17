/** An engine client that calls the engine stand-ins directly, with their faults in answering orders. */
import { sleep } from '../../../clock'
import type { Clock } from '../../../clock'
import type { EngineClient } from '../../../backend/engineClient'
import { Err, Ok } from '../../../result'
import type { EngineStandIn } from '@magnoliabay/standins'

const UNREACHABLE = { kind: 'not-sent' as const, message: 'unreachable' }
const NO_ANSWER = { kind: 'no-answer' as const, message: 'no answer' }

/** Returns the address that the engine has in the instance list. */
export function addressOfEngine (index: number): string {
  return `10.0.0.${index + 1}:1`
}

export function createDirectEngineClient (engines: readonly EngineStandIn[], clock: Clock): EngineClient {
  const engineAt = (address: string): EngineStandIn | undefined => engines.find((engine, index) => addressOfEngine(index) === address && !engine.isDown())
  return {
    order: async (address, order, timeoutMs) => {
      const engine = engineAt(address)
      if (engine === undefined) return Err(UNREACHABLE)
      const { orderAnswer, orderAnswerDelayMs } = engine.faults.current
      const carriedOut = engine.executeOrder(order)
      if (orderAnswer === 'twice') engine.executeOrder(order)
      const answer = carriedOut.then(async reply => {
        if (orderAnswer === 'late') await sleep(clock, orderAnswerDelayMs)
        if (orderAnswer === 'never') await sleep(clock, timeoutMs)
        return orderAnswer === 'never' ? undefined : reply
      })
      const reply = await Promise.race([answer, sleep(clock, timeoutMs).then(() => undefined)])
      return reply === undefined ? Err(NO_ANSWER) : Ok(reply)
    },
    state: async address => {
      const engine = engineAt(address)
      return engine === undefined ? Err(UNREACHABLE) : Ok(engine.state())
    },
    loadReport: async address => {
      const engine = engineAt(address)
      return engine === undefined ? Err(UNREACHABLE) : Ok(engine.load())
    },
    cacheEvents: async () => Ok({ oldest: 0, events: [] }),
    cancel: async () => {},
    close: async () => {}
  }
}
