/** The demo's part on a prompt part that crashes engines: requests with it are refused, others that share the rest are served. */
import { callStream } from '@magnoliabay/standins'
import type { StreamCall } from '@magnoliabay/standins'
import { pause, startInstance } from './demoInstances'
import { STREAM_HEADERS, STREAM_PATH, createPlatformSite } from './fleet/platformSite'

export interface CrashingPartResult {
  crashes: number
  /** Requests with the part, by how they ended. */
  crashing: readonly StreamCall[]
  /** Requests without it, sent after the others. */
  sound: readonly StreamCall[]
}

const INSTANCES = 2
const ENGINES = 6
const REQUESTS = 10
const SHARED_PARTS = ['5c1e07a2', '91bd3f06']
const CRASHING_PART = 'bad0c0de'
const SETTLE_MS = 1000
const INTERVAL_MS = 200

/** Sends different requests with one part, which crashes engines, beside and before others without it. */
export async function sendCrashingPart (): Promise<CrashingPartResult> {
  const site = await createPlatformSite({ softwareVersions: Array.from({ length: ENGINES }, () => 'v1') })
  const instances = await Promise.all(Array.from({ length: INSTANCES }, (_, index) => startInstance(site, index)))
  await pause(SETTLE_MS)
  let attempts = 0
  const send = (parts: readonly string[]): Promise<StreamCall> => {
    const index = attempts++
    return callStream({
      path: STREAM_PATH,
      body: `prompt ${index}`,
      headers: { ...STREAM_HEADERS, 'x-magnoliabay-prompt-prefix': [...parts, `f${index}`].map(part => `${part}:100`).join(',') },
      addressFor: () => instances[index % INSTANCES]!.entryAddress,
      nextAttemptId: () => `crash-${index}`,
      maxTries: 1
    })
  }
  site.engines.forEach(engine => engine.setCrashingParts([CRASHING_PART]))
  const crashing: StreamCall[] = []
  for (let count = 0; count < REQUESTS; count += 1) {
    send(SHARED_PARTS)
    crashing.push(await send([...SHARED_PARTS, CRASHING_PART]))
    await pause(INTERVAL_MS)
  }
  const sound = await Promise.all(Array.from({ length: REQUESTS }, () => send(SHARED_PARTS)))
  const crashes = site.engines.flatMap(engine => engine.crashes()).length
  await Promise.all(instances.map(({ instance }) => instance.shutdown()))
  await site.close()
  return { crashes, crashing, sound }
}
