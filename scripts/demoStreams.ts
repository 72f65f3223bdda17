/** The demo's part on the users' platform: a caller resumes a stream at another instance, beside engines of another version. */
import { callStream } from '@magnoliabay/standins'
import type { StreamCall } from '@magnoliabay/standins'
import { createSystemClock } from '../packages/magnoliabay/src/node/clock'
import { createLogger } from '../packages/magnoliabay/src/node/logger'
import { createEngineCalls, createMetadataStore, platformProtocol, readPlatformSettings } from '../packages/magnoliabay/src/node/platform'
import { createServingInstance } from '../packages/magnoliabay/src/node/serving/servingInstance'
import type { ServingInstance } from '../packages/magnoliabay/src/node/serving/servingInstance'
import { createWakeupCounter } from '../packages/magnoliabay/src/node/wakeups'
import { STREAM_HEADERS, STREAM_PATH, createPlatformSite } from './fleet/platformSite'
import type { PlatformSite } from './fleet/platformSite'

const INSTANCES = 2
const STREAMS = 8
const BREAK_AFTER_EVENT = 5
const READY_POLL_INTERVAL_MS = 50
/** Instances know each other's links within this time. */
const SETTLE_MS = 1000

interface DemoInstance {
  instance: ServingInstance
  entryAddress: string
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

async function startInstance (site: PlatformSite, index: number): Promise<DemoInstance> {
  const { text, entryAddress } = await site.settingsOf(index)
  const settings = readPlatformSettings(text).unwrap()
  const clock = createSystemClock()
  const logger = createLogger({ level: 'warn' })
  const store = createMetadataStore({ address: settings.store.address, clock, logger })
  const instance = createServingInstance({ settings, protocol: platformProtocol, store, engines: createEngineCalls(clock), activity: createWakeupCounter(), clock, logger, random: Math.random })
  await instance.start()
  while (!instance.isReady()) await pause(READY_POLL_INTERVAL_MS)
  return { instance, entryAddress }
}

/** Streams that began at the first instance, and were resumed at the second by their callers. */
export async function resumeStreams (): Promise<readonly StreamCall[]> {
  const site = await createPlatformSite()
  const instances = await Promise.all(Array.from({ length: INSTANCES }, (_, index) => startInstance(site, index)))
  await pause(SETTLE_MS)
  let attempts = 0
  const calls = await Promise.all(Array.from({ length: STREAMS }, () => callStream({
    path: STREAM_PATH,
    headers: STREAM_HEADERS,
    addressFor: index => instances[Math.min(index, INSTANCES - 1)]!.entryAddress,
    nextAttemptId: () => `demo-${attempts++}`,
    breakAfterEvent: BREAK_AFTER_EVENT
  })))
  await Promise.all(instances.map(({ instance }) => instance.shutdown()))
  await site.close()
  return calls
}
