/**
 * Streams on the users' platform while engines of two software versions serve: real processes are killed, engines crash and come
 * back at another version, connections break, and callers resume their streams at other instances.
 */
import { mkdirSync } from 'node:fs'
import { callStream } from '@magnoliabay/standins'
import type { StreamCall } from '@magnoliabay/standins'
import type { GuaranteeResult } from './guarantees'
import { pause, startInstance } from './platformInstances'
import type { Instance } from './platformInstances'
import { STREAM_HEADERS, STREAM_PATH, createPlatformSite } from './platformSite'
import type { PlatformSite } from './platformSite'
import { createRandom } from './random'

export interface StreamVersionsOptions {
  seed: number
  instances: number
  directory: string
}

/** Values of the platform's rules. */
const MAX_MIXED_STREAMS = 2
export const MIN_RESUMED = 12
export const MIN_CONTINUED_RATIO = 0.5

const STREAM_INTERVAL_MS = 40
const STEP_MS = 1500
/** Part of the callers whose own connection breaks. */
const BREAK_RATIO = 0.2

/** Faults one after the other; streams begin all the while. */
async function injectFaults (site: PlatformSite, instances: Instance[], directory: string): Promise<void> {
  const [first, second, third, fourth] = site.engines
  const replace = async (index: number): Promise<void> => {
    instances[index]!.child.kill('SIGKILL')
    await pause(STEP_MS)
    instances[index] = await startInstance(site, index, directory)
  }
  await pause(STEP_MS)
  await replace(0)
  await first!.crash()
  await pause(STEP_MS)
  await first!.start('v1')
  third!.cutStreams()
  await pause(STEP_MS)
  // Back under its id with another version, which its entry tells late.
  await fourth!.crash()
  await pause(STEP_MS)
  await fourth!.start('v1', STEP_MS / 3)
  await pause(STEP_MS)
  await replace(1)
  second!.cutStreams()
  await pause(STEP_MS)
}

/** Judges what holds at any time, for all instances. */
export function judgeEvents (calls: readonly StreamCall[], maxMixed: number): GuaranteeResult[] {
  const mixed = calls.filter(call => call.softwareVersions.size > 1)
  const outOfOrder = calls.filter(({ eventIds }) => eventIds.some((id, index) => id !== index + 1))
  const describe = (call: StreamCall): string => `the stream of ${call.firstAttemptId} over ${call.statuses.join(', ')} has events of ${[...call.softwareVersions].join(' and ')}`
  return [
    { promise: 'streams keep their version', checked: calls.length, violations: mixed.length > maxMixed ? mixed.map(describe) : [], isSafety: true },
    { promise: 'no event lost or repeated', checked: calls.length, violations: outOfOrder.map(({ eventIds }) => `events ${eventIds.join(' ')}`), isSafety: true }
  ]
}

function verdictsOf (calls: readonly StreamCall[]): GuaranteeResult[] {
  const began = calls.filter(call => call.eventIds.length > 0)
  const resumed = calls.filter(call => call.isResumed)
  const continued = resumed.filter(call => call.hasContinued)
  const enoughContinue = resumed.length < MIN_RESUMED || continued.length / resumed.length >= MIN_CONTINUED_RATIO * began.length / calls.length
  return [
    ...judgeEvents(calls, MAX_MIXED_STREAMS),
    { promise: 'streams resumed go on', checked: resumed.length, violations: enoughContinue ? [] : [`${continued.length} of ${resumed.length} went on, ${began.length} of ${calls.length} began`], isSafety: false }
  ]
}

/** Runs the instances, the engines and the callers, and returns what was kept. */
export async function runStreamVersions ({ seed, instances: count, directory }: StreamVersionsOptions): Promise<GuaranteeResult[]> {
  mkdirSync(directory, { recursive: true })
  const random = createRandom(seed)
  const site = await createPlatformSite()
  const instances = await Promise.all(Array.from({ length: count }, (_, index) => startInstance(site, index, directory)))
  const calls: Array<Promise<StreamCall>> = []
  let attempts = 0
  const open = (): void => {
    calls.push(callStream({
      path: STREAM_PATH,
      headers: STREAM_HEADERS,
      addressFor: () => random.pick(instances).entryAddress,
      nextAttemptId: () => `try-${attempts++}`,
      breakAfterEvent: random.next() < BREAK_RATIO ? 1 + random.below(30) : undefined
    }))
  }
  const timer = setInterval(open, STREAM_INTERVAL_MS)
  try {
    await injectFaults(site, instances, directory)
    clearInterval(timer)
    return verdictsOf(await Promise.all(calls))
  } finally {
    clearInterval(timer)
    instances.forEach(({ child }) => child.kill('SIGKILL'))
    await site.close()
  }
}
