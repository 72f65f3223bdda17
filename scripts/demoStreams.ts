/** The demo's part on the users' platform: a caller resumes a stream at another instance, beside engines of another version. */
import { callStream } from '@magnoliabay/standins'
import type { StreamCall } from '@magnoliabay/standins'
import { pause, startInstance } from './demoInstances'
import { STREAM_HEADERS, STREAM_PATH, createPlatformSite } from './fleet/platformSite'

const INSTANCES = 2
const STREAMS = 8
const BREAK_AFTER_EVENT = 5
/** Instances know each other's links within this time. */
const SETTLE_MS = 1000

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
