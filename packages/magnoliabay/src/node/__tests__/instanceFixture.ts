/** Test fixture: one instance on the state of the stand-ins, with virtual time and real sockets. */
import { freeAddresses } from './freeAddresses'
import { createDirectInstanceList, createDirectStore, createInstanceListState, createKvFaults, createKvState } from '@magnoliabay/standins'
import type { KvFaults } from '@magnoliabay/standins'
import type { FaultSwitches } from '@magnoliabay/standins/faults'
import { createVirtualClock } from '../clock/virtual'
import type { VirtualClock } from '../clock/virtual'
import { EMBEDDED_CONFIG_TOML } from '../commands/embeddedConfig'
import { resolveSettings } from '../config'
import type { Settings } from '../config'
import { decodeServerStatement } from '../platform'
import { createInstance } from '../instance'
import type { Instance } from '../instance'
import { createLogger } from '../logger'
import { operatorKeyDigest } from '../operators'
import { createOperatorClient } from '../operators/client'
import type { OperatorClient } from '../operators/client'

export interface InstanceFixture {
  clock: VirtualClock
  instance: Instance
  operators: OperatorClient
  storeFaults: FaultSwitches<KvFaults>
  /** Caller key of a team that may call all models and services. */
  key: string
  /** Lines logged so far. */
  logLines: readonly string[]
  /** Advances time in small steps until `done` returns true; socket events are handled after each step. */
  passUntil (done: () => boolean): Promise<void>
  close (): Promise<void>
}

const STEP_MS = 250
const OPERATOR_KEY = 'op-test'
const TEAM = 'depot'

export async function startInstanceFixture (limits: Settings['limits'] = {}): Promise<InstanceFixture> {
  const clock = createVirtualClock()
  const logLines: string[] = []
  const kv = createKvState({ clock })
  const list = createInstanceListState({ clock })
  const storeFaults = createKvFaults()
  const [entry, peer, operator] = await freeAddresses(3) as [string, string, string]
  const instance = createInstance({
    decodeStatement: decodeServerStatement,
    settings: resolveSettings({
      instance: {
        id: 'entry-1',
        site: 'test',
        region: 'ie-south',
        failureDomain: 'ie-south-a',
        entryAddress: entry,
        peerAddress: peer,
        operatorAddress: operator
      },
      platform: { store: ['http://127.0.0.1:1'], instanceList: 'http://127.0.0.1:1/instances' },
      operators: { keyDigests: [operatorKeyDigest(OPERATOR_KEY)] },
      limits
    }),
    store: createDirectStore(kv, { clock, faults: storeFaults }),
    list: createDirectInstanceList(list),
    clock,
    logger: createLogger({ write: line => { logLines.push(line) } })
  })
  const passUntil = async (done: () => boolean): Promise<void> => {
    while (!done()) {
      await clock.advance(STEP_MS)
      await new Promise(resolve => setImmediate(resolve))
    }
  }
  /** Advances time until `task` settles. */
  const advanceUntilSettled = async <T>(task: Promise<T>): Promise<T> => {
    let isOver = false
    const over = (): void => { isOver = true }
    task.then(over, over)
    await passUntil(() => isOver)
    return await task
  }

  await advanceUntilSettled(instance.start())
  const operators = createOperatorClient({ address: operator, key: OPERATOR_KEY })
  await advanceUntilSettled(operators.applyConfig(EMBEDDED_CONFIG_TOML))
  const { key } = await advanceUntilSettled(operators.createKey(TEAM))
  await passUntil(() => instance.isReady())
  return {
    clock,
    instance,
    operators,
    storeFaults,
    key,
    logLines,
    passUntil,
    close: async () => {
      await advanceUntilSettled(instance.shutdown())
      kv.close()
      list.close()
    }
  }
}
