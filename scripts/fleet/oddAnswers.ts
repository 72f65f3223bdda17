/**
 * Odd answers of servers, on the users' platform, as real processes: sound servers that answer with 204, 304, without a length or
 * at length, and close their idle connections; a faulty one whose answers are cut or none; engines whose reports and answers to
 * orders are wrong; configurations, entries of servers and messages between members that are generated; and a sound server that
 * crashes and comes back.
 */
import { createWriteStream, mkdirSync } from 'node:fs'
import { request } from 'undici'
import { FAULTY_ANSWERS, SOUND_ANSWERS, createOddServer } from '@magnoliabay/standins'
import type { IdleEnd, OddServer } from '@magnoliabay/standins'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'
import type { GuaranteeResult } from './guarantees'
import { callWithHttp10, createKeptCaller } from './oddCallers'
import type { CallMethod, OddCall } from './oddCallers'
import { pause, startInstance } from './platformInstances'
import type { Instance } from './platformInstances'
import { FAILURE_DOMAINS, PLAIN_SERVICE, RARE_MODEL, READ_PATH, STREAM_HEADERS, STREAM_PATH, WRITE_PATH, createPlatformSite } from './platformSite'
import { sendOddFrames, toOddText, writeOddValue } from './oddInputs'
import { createRandom } from './random'
import type { Random } from './random'

export interface OddAnswersOptions {
  seed: number
  instances: number
  directory: string
}

/** Requests that a machine may lose on kept connections, by the platform's rules. */
const MAX_LOST = 3
const SOUND_SERVERS = 3
const CALLERS_PER_INSTANCE = 3
/** The faulty server gives so many sound answers for each faulty one. */
const SOUND_RATIO = 4
/** One call in so many is made with HTTP/1.0. */
const HTTP_10_EVERY = 4
const CALM_MS = 3000
const CRASH_MS = 2500
const RARE_MODEL_TIMEOUT_MS = 100
const IDLE_ENDS: readonly IdleEnd[] = ['kept', 'ended', 'reset']
const METHODS: readonly CallMethod[] = ['GET', 'GET', 'HEAD', 'POST']
const WRONG_REPORTS: ReadonlyArray<(sound: string) => string | undefined> = [
  () => undefined, () => 'null', () => '', () => '{}', () => '\u0001{oops', sound => sound.slice(0, 20), sound => sound.replace('"sequence":0', '"sequence":"x"'), sound => sound.replace('"models":[', '"models":[null,')
]

async function createServers (store: Parameters<typeof createOddServer>[0]['store'], random: Random): Promise<OddServer[]> {
  const clock = createSystemClock()
  const chooseIdleEnd = (): IdleEnd => random.pick(IDLE_ENDS)
  const chooseSound = (): typeof SOUND_ANSWERS[number] => random.pick(SOUND_ANSWERS)
  const create = (index: number, isFaulty: boolean): Promise<OddServer> => createOddServer({
    id: isFaulty ? 'faulty' : `sound-${index}`,
    service: PLAIN_SERVICE,
    failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
    store,
    clock,
    chooseAnswer: () => isFaulty && random.below(SOUND_RATIO) === 0 ? random.pick(FAULTY_ANSWERS) : chooseSound(),
    chooseIdleEnd
  })
  return await Promise.all(Array.from({ length: SOUND_SERVERS + 1 }, (_, index) => create(index, index === SOUND_SERVERS)))
}

/** Whether the answer is one server's whole answer to this request. */
function isOneWholeAnswer (call: OddCall, servers: readonly OddServer[]): boolean {
  return call.isSigned && servers.some(server => server.answers().some(answer => answer.attemptId === call.attemptId && answer.body === call.body))
}

const describe = ({ attemptId, method, version, status, body }: OddCall): string => `${attemptId}: ${method} with HTTP/${version} got ${status} and ${body.length} bytes`

interface Judged {
  calls: readonly OddCall[]
  servers: readonly OddServer[]
  /** Instances whose processes ended by themselves. */
  ended: readonly string[]
  instances: number
  /** Sound servers that were not killed. */
  steady: ReadonlySet<string>
}

function verdictsOf ({ calls, servers, ended, instances, steady }: Judged): GuaranteeResult[] {
  const successes = calls.filter(({ status, isWhole }) => isWhole && status !== undefined && status >= 200 && status < 300)
  const mixed = successes.filter(call => !isOneWholeAnswer(call, servers))
  const reached = new Map<string, string[]>()
  servers.forEach(server => server.answers().forEach(({ attemptId }) => reached.set(attemptId, [...reached.get(attemptId) ?? [], server.id])))
  const ranAtSteadyOnly = (call: OddCall): boolean => (reached.get(call.attemptId) ?? []).length > 0 && reached.get(call.attemptId)!.every(id => steady.has(id))
  const lost = calls.filter(call => call.isKept && call.status === undefined && ranAtSteadyOnly(call))
  const lostByInstance = Array.from({ length: instances }, (_, index) => lost.filter(({ instance }) => instance === index).length)
  return [
    { promise: 'a success is one server\'s whole answer', checked: successes.length, violations: mixed.map(describe), isSafety: true },
    { promise: 'no process ends by itself', checked: instances, violations: ended, isSafety: true },
    { promise: 'requests at sound servers are not lost', checked: calls.length, violations: lostByInstance.flatMap((count, index) => count > MAX_LOST ? [`instance ${index + 1} lost ${count}`] : []), isSafety: true }
  ]
}

/** A request for a model that no engine has, given up after a moment. */
async function askForRareModel (address: string): Promise<void> {
  const headers = { ...STREAM_HEADERS, 'x-magnoliabay-model': RARE_MODEL, 'x-magnoliabay-attempt-id': `rare-${Date.now()}` }
  await request(`http://${address}${STREAM_PATH}`, { headers, signal: AbortSignal.timeout(RARE_MODEL_TIMEOUT_MS) }).then(res => res.body.dump()).catch(() => {})
}

/** Runs the instances, the servers and the callers, and returns what was kept. */
export async function runOddAnswers ({ seed, instances: count, directory }: OddAnswersOptions): Promise<GuaranteeResult[]> {
  mkdirSync(directory, { recursive: true })
  const random = createRandom(seed)
  /** Drawn apart from the choices of servers and callers. */
  const inputRandom = createRandom(seed + 1)
  const site = await createPlatformSite({ spoilReport: sound => random.below(2) === 0 ? random.pick(WRONG_REPORTS)(sound) : toOddText(inputRandom, sound), spoilOrderAnswer: sound => toOddText(inputRandom, sound) })
  const servers = await createServers(site.store, random)
  const instances: Instance[] = await Promise.all(Array.from({ length: count }, (_, index) => startInstance(site, index, directory)))
  const ended: string[] = []
  const run = { isOver: false }
  instances.forEach(({ child }, index) => child.once('exit', code => { if (!run.isOver) ended.push(`instance ${index + 1} ended with code ${code}`) }))
  const calls: OddCall[] = []
  const callOn = async (instance: number, caller: number): Promise<void> => {
    const kept = createKeptCaller()
    for (let number = 0; !run.isOver; number += 1) {
      const method = random.pick(METHODS)
      const req = { attemptId: `try-${instance}-${caller}-${number}`, instance, method, address: instances[instance]!.entryAddress, path: method === 'POST' ? WRITE_PATH : READ_PATH }
      calls.push(number % HTTP_10_EVERY === 0 ? await callWithHttp10(req) : await kept.call(req))
      // Without an answer at once, as from a process that has ended.
      if (calls.at(-1)!.status === undefined) await pause(50)
    }
    kept.close()
  }
  const inputs = createWriteStream(`${directory}/odd-inputs.log`)
  const sendOddInputs = async (): Promise<void> => {
    while (!run.isOver) {
      inputs.write(`${writeOddValue({ store: site.store, random: inputRandom, restoreConfig: site.changeConfig })}\n`)
      await Promise.all(instances.map(({ peersAddress }) => sendOddFrames(peersAddress, inputRandom)))
      await askForRareModel(instances[0]!.entryAddress)
    }
  }
  const callers = instances.flatMap((_, instance) => Array.from({ length: CALLERS_PER_INSTANCE }, (_, caller) => callOn(instance, caller)))
  try {
    const oddInputs = sendOddInputs()
    await pause(CALM_MS)
    servers[0]!.crash()
    await pause(CRASH_MS)
    await servers[0]!.restart()
    await pause(CALM_MS)
    run.isOver = true
    await Promise.all([...callers, oddInputs])
    const steady = new Set(servers.slice(1, SOUND_SERVERS).map(({ id }) => id))
    return verdictsOf({ calls, servers, ended, instances: count, steady })
  } finally {
    run.isOver = true
    instances.forEach(({ child }) => child.kill('SIGKILL'))
    servers.forEach(server => server.close())
    await site.close()
  }
}
