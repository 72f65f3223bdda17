/** Instances on the users' platform within the process of the demo. */
import { createSystemClock } from '../packages/magnoliabay/src/node/clock'
import { createLogger } from '../packages/magnoliabay/src/node/logger'
import { createEngineCalls, createMetadataStore, platformProtocol, readPlatformSettings } from '../packages/magnoliabay/src/node/platform'
import { createServingInstance } from '../packages/magnoliabay/src/node/serving/servingInstance'
import type { ServingInstance } from '../packages/magnoliabay/src/node/serving/servingInstance'
import { createWakeupCounter } from '../packages/magnoliabay/src/node/wakeups'
import type { PlatformSite } from './fleet/platformSite'

const READY_POLL_INTERVAL_MS = 50

export interface DemoInstance {
  instance: ServingInstance
  entryAddress: string
}

export const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

/** Starts an instance and waits until it is ready. */
export async function startInstance (site: PlatformSite, index: number): Promise<DemoInstance> {
  const { text, entryAddress } = await site.settingsOf(index)
  const settings = readPlatformSettings(text).unwrap()
  const clock = createSystemClock()
  const logger = createLogger({ level: 'error' })
  const store = createMetadataStore({ address: settings.store.address, clock, logger })
  const instance = createServingInstance({ settings, protocol: platformProtocol, store, engines: createEngineCalls({ clock }), activity: createWakeupCounter(), clock, logger, random: Math.random })
  await instance.start()
  while (!instance.isReady()) await pause(READY_POLL_INTERVAL_MS)
  return { instance, entryAddress }
}
