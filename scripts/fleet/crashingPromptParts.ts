/**
 * Requests with a prompt part that crashes engines, on the users' platform, as real processes: engines crash and come back, end
 * their answers with their connection, and an instance, then all, are killed and start again while callers come.
 */
import { mkdirSync } from 'node:fs'
import { callStream } from '@magnoliabay/standins'
import type { PlatformEngine, StreamCall } from '@magnoliabay/standins'
import type { GuaranteeResult } from './guarantees'
import { pause, startInstance } from './platformInstances'
import type { Instance } from './platformInstances'
import { STREAM_HEADERS, STREAM_PATH, createPlatformSite } from './platformSite'
import type { PlatformSite } from './platformSite'
import { createRandom } from './random'

export interface CrashingPromptPartsOptions {
  seed: number
  instances: number
  directory: string
}

/** Values of the platform's rules. */
const MAX_ARRIVALS = 3
const CRASHES = 5
const CONTACT_TIMEOUT_MS = 3000
const MIN_BEGUN_RATIO = 0.5
const MIN_REQUESTS = 20

const SOUND_PARTS = ['5c1e07a2', '91bd3f06']
const CRASHING_PART = 'bad0c0de'
const SOUND_INTERVAL_MS = 40
const CRASHING_INTERVAL_MS = 400
const CALM_MS = 4000
const STEP_MS = 6000
const EVENTS = 40

interface SoundCall {
  startedMs: number
  call: StreamCall
}

const prefixOf = (parts: readonly string[]): string => parts.map(part => `${part}:100`).join(',')

/** Kills an instance, then all of them, while both kinds of callers come. */
async function injectFaults (site: PlatformSite, instances: Instance[], directory: string): Promise<void> {
  const replace = async (index: number): Promise<void> => { instances[index] = await startInstance(site, index, directory) }
  const kill = (index: number): void => { instances[index]!.child.kill('SIGKILL') }
  await pause(CALM_MS)
  site.engines.forEach(engine => engine.setCrashingParts([CRASHING_PART]))
  await pause(STEP_MS)
  kill(0)
  await replace(0)
  await pause(STEP_MS)
  instances.forEach((_, index) => kill(index))
  await Promise.all(instances.map((_, index) => replace(index)))
  await pause(STEP_MS)
}

function verdictsOf (engines: readonly PlatformEngine[], sound: readonly SoundCall[], startedMs: number): GuaranteeResult[] {
  const crashes = engines.flatMap(engine => engine.crashes()).map(({ atMs }) => atMs).sort((left, right) => left - right)
  const lastCrashMs = crashes[CRASHES - 1] ?? crashes.at(-1) ?? Infinity
  const late = engines.flatMap(engine => engine.arrivals()).filter(({ parts, atMs }) => parts.includes(CRASHING_PART) && crashes.length >= CRASHES && atMs > lastCrashMs + CONTACT_TIMEOUT_MS)
  const hasBegun = ({ call }: SoundCall): boolean => call.eventIds.length > 0
  const before = sound.filter(({ startedMs: atMs }) => atMs < startedMs + CALM_MS)
  const after = sound.filter(({ startedMs: atMs }) => atMs > lastCrashMs + 2 * CONTACT_TIMEOUT_MS)
  const shareOf = (calls: readonly SoundCall[]): number => calls.filter(hasBegun).length / calls.length
  const isServed = after.length < MIN_REQUESTS || before.length < MIN_REQUESTS || shareOf(after) >= MIN_BEGUN_RATIO * shareOf(before)
  const incomplete = sound.filter(({ call }) => call.isComplete && call.eventIds.length !== EVENTS)
  return [
    { promise: 'no part crashes engines again and again', checked: crashes.length, violations: late.length > MAX_ARRIVALS ? [`${late.length} requests with the part reached engines, ${crashes.length} crashes`] : [], isSafety: false },
    { promise: 'requests that share its other parts are served', checked: after.length, violations: isServed ? [] : [`${after.filter(hasBegun).length} of ${after.length} began, ${before.filter(hasBegun).length} of ${before.length} before`], isSafety: false },
    { promise: 'what a crash cut never looks whole', checked: sound.length, violations: incomplete.map(({ call }) => `a stream that ended after ${call.eventIds.length} of ${EVENTS} events looks whole`), isSafety: true }
  ]
}

/** Runs the instances, the engines and the callers, and returns what was kept. */
export async function runCrashingPromptParts ({ seed, instances: count, directory }: CrashingPromptPartsOptions): Promise<GuaranteeResult[]> {
  mkdirSync(directory, { recursive: true })
  const random = createRandom(seed)
  const site = await createPlatformSite({ softwareVersions: Array.from({ length: 6 }, () => 'v1'), endsWithConnection: index => index % 2 === 0 })
  const instances = await Promise.all(Array.from({ length: count }, (_, index) => startInstance(site, index, directory)))
  const startedMs = Date.now()
  const sound: Array<Promise<SoundCall>> = []
  const crashing: Array<Promise<StreamCall>> = []
  let attempts = 0
  const open = (parts: readonly string[], maxTries: number): Promise<StreamCall> => {
    const own = (attempts++).toString(16)
    return callStream({
      path: STREAM_PATH,
      body: own,
      headers: { ...STREAM_HEADERS, 'x-magnoliabay-prompt-prefix': prefixOf([...parts, `f${own}`]) },
      addressFor: () => random.pick(instances).entryAddress,
      nextAttemptId: () => `try-${own}-${attempts++}`,
      maxTries
    })
  }
  const soundTimer = setInterval(() => {
    const atMs = Date.now()
    sound.push(open(SOUND_PARTS, 1).then(call => ({ startedMs: atMs, call })))
  }, SOUND_INTERVAL_MS)
  const crashingTimer = setInterval(() => { crashing.push(open([...SOUND_PARTS, CRASHING_PART], 2)) }, CRASHING_INTERVAL_MS)
  const stop = (): void => [soundTimer, crashingTimer].forEach(clearInterval)
  try {
    await injectFaults(site, instances, directory)
    stop()
    await Promise.all(crashing)
    return verdictsOf(site.engines, await Promise.all(sound), startedMs)
  } finally {
    stop()
    instances.forEach(({ child }) => child.kill('SIGKILL'))
    await site.close()
  }
}
