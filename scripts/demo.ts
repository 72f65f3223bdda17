/**
 * Exercises the main use cases against the embedded fleet over real HTTP. Every step is checked, and the program
 * exits with code 0 only if every check passes.
 */
import type { Socket } from 'node:net'
import { request } from 'undici'
import type { Clock } from '../packages/magnoliabay/src/node/clock'
import { startEmbeddedFleet } from '../packages/magnoliabay/src/node/commands/embedded'
import type { EmbeddedFleet } from '../packages/magnoliabay/src/node/commands/embedded'
import { EMBEDDED_SERVICE, EMBEDDED_SMALL_TEAM } from '../packages/magnoliabay/src/node/commands/embeddedConfig'
import { createLogger } from '../packages/magnoliabay/src/node/logger'
import type { MemberRecord } from '../packages/magnoliabay/src/node/members'
import { TCP_TRANSPORT } from '../packages/magnoliabay/src/node/members/transport'
import { DialError, createSocketPrimitives } from '../packages/magnoliabay/src/node/paths'
import { sendCrashingPart } from './demoCrashes'
import { resumeStreams } from './demoStreams'
import type { DialPrimitives } from '../packages/magnoliabay/src/node/paths'

const BURST_PER_ENTRY = 4
const KEY_PROPAGATION_DELAY_MS = 500
/** After this time the limited engine has a place again, and its next answer lifts the limit. */
const LIMIT_LIFT_DELAY_MS = 2500

interface HttpResponse {
  status: number
  text: string
}

/** Index of the instance that the demo partitions from all backend servers. */
const PARTITIONED = 1
const PRESS_PER_ENTRY = 12
/** Three crashes show a part, and a trial may be needed to tell it from the others. */
const MAX_CRASHES = 5

let failures = 0
let isPartitioned = false

/** New connections of one instance to backend servers fail while the demo partitions it; other instances still connect. */
function dialPrimitivesOf (index: number, clock: Clock, self: MemberRecord): DialPrimitives<Socket> {
  const primitives = createSocketPrimitives(TCP_TRANSPORT, clock, self)
  return {
    ...primitives,
    connectDirectly: async (address, timeoutMs) => {
      if (isPartitioned && index === PARTITIONED) throw new DialError('refused', 'partitioned by the demo')
      return await primitives.connectDirectly(address, timeoutMs)
    }
  }
}

function check (description: string, passed: boolean, detail: string): void {
  process.stdout.write(`${passed ? 'ok  ' : 'FAIL'} ${description}: ${detail}\n`)
  if (!passed) failures += 1
}

async function call (url: string, key: string, body?: object, headers: Record<string, string> = {}): Promise<HttpResponse> {
  const res = await request(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json', ...headers },
    body: body === undefined ? undefined : JSON.stringify(body)
  })
  return { status: res.statusCode, text: await res.body.text() }
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))
const isComplete = (response: HttpResponse): boolean => response.status === 200 && response.text.trimEnd().endsWith('data: [DONE]')
const codeOf = (response: HttpResponse): string => (JSON.parse(response.text) as { error: { code: string } }).error.code

async function checkColdStart ({ entryUrls: entries, callerKey, models, standIns }: EmbeddedFleet): Promise<void> {
  const located = await call(`${entries[0]}/v1/locate?model=${models[0]}`, callerKey)
  const { addresses } = JSON.parse(located.text) as { addresses: Array<{ address: string, failure_domain: string }> }
  const domains = new Set(addresses.map(address => address.failure_domain))
  check('locate returns entry instances in different failure domains', addresses.length === domains.size && domains.size > 1, addresses.map(address => address.address).join(', '))

  const body = { model: models[0], stream: true, max_tokens: 16, messages: [{ role: 'user', content: 'where is my lorry' }] }
  const burst = entries.flatMap(entry => Array.from({ length: BURST_PER_ENTRY }, () => call(`${entry}/v1/chat/completions`, callerKey, body)))
  const responses = await Promise.all(burst)
  const incomplete = responses.find(answer => !isComplete(answer))
  check('every entry instance completes all requests of a burst for a cold model', incomplete === undefined, `${responses.filter(isComplete).length} of ${responses.length} ${incomplete?.text ?? ''}`)
  const loaded = standIns.engines.flatMap(engine => engine.state.state().models.filter(model => model.model === models[0]))
  check('the model was loaded once', loaded.length === 1, `${loaded.length} replica(s)`)
}

async function checkRunsOnce ({ entryUrls: entries, callerKey, standIns }: EmbeddedFleet): Promise<void> {
  const headers = { 'idempotency-key': 'note-17' }
  const note = { tins: 12, residueKg: 3.5 }
  const first = await call(`${entries[0]}/v1/services/${EMBEDDED_SERVICE}/transfer-notes`, callerKey, note, headers)
  const second = await call(`${entries[1]}/v1/services/${EMBEDDED_SERVICE}/transfer-notes`, callerKey, note, headers)
  const ran = standIns.services[0]!.state.total()
  check('a repeated transfer note is executed once', ran === 1 && first.status === 200, `executed ${ran} time(s)`)
  check('a repeat at another instance returns the same response', first.text === second.text, second.text.slice(0, 60))
}

async function checkStatedLimit ({ entryUrls: entries, callerKey, models, standIns }: EmbeddedFleet): Promise<void> {
  const engine = standIns.engines.find(candidate => candidate.state.state().models.some(model => model.model === models[0]))!
  const body = { model: models[0], max_tokens: 4, messages: [{ role: 'user', content: 'gently' }] }
  const sendToAll = (): Promise<HttpResponse[]> => Promise.all(entries.map(entry => call(`${entry}/v1/chat/completions`, callerKey, body)))
  await engine.state.faults.set({ statedLimit: 1 })
  await sendToAll()
  const startedMs = Date.now()
  const before = engine.state.records().requests.length
  const responses = [...await sendToAll(), ...await sendToAll(), ...await sendToAll(), ...await sendToAll(), ...await sendToAll()]
  const sent = engine.state.records().requests.length - before
  const allowed = (Date.now() - startedMs) / 1000 * 1.5 + 5
  await engine.state.faults.set({ statedLimit: 0 })
  const refused = responses.filter(response => response.status === 503 && response.text.includes('"not_run":true'))
  check('an engine that states a limit gets no more, and the rest is refused as not run', sent <= allowed && sent + refused.length === responses.length, `${sent} sent, ${refused.length} refused`)
  await pause(LIMIT_LIFT_DELAY_MS)
}

async function checkBrittleEngine ({ entryUrls: entries, callerKey, models, standIns }: EmbeddedFleet): Promise<void> {
  const engine = standIns.engines.find(candidate => candidate.state.state().models.some(model => model.model === models[0]))!
  const body = { model: models[0], max_tokens: 4, messages: [{ role: 'user', content: 'not all at once' }] }
  const send = (entry: string): Promise<HttpResponse> => call(`${entry}/v1/chat/completions`, callerKey, body)
  await engine.state.faults.set({ brittleRejections: 1, brittleRoom: 2 })
  await Promise.all(entries.map(send))
  await pause(LIMIT_LIFT_DELAY_MS)
  const responses = await Promise.all(entries.flatMap(entry => Array.from({ length: PRESS_PER_ENTRY }, () => send(entry))))
  await engine.state.faults.set({ brittleRejections: -1 })
  const answered = responses.filter(response => response.status === 200).length
  check('a brittle engine does not fall over while callers press', engine.falls() === 0 && answered > 0, `${engine.falls()} falls, ${answered} of ${responses.length} answered`)
  await pause(LIMIT_LIFT_DELAY_MS)
}

async function checkPartitionedInstance ({ entryUrls: entries, callerKey, standIns }: EmbeddedFleet): Promise<void> {
  isPartitioned = true
  const before = standIns.services[0]!.state.total()
  const notes = await Promise.all(Array.from({ length: 5 }, (_, index) => call(`${entries[PARTITIONED]}/v1/services/${EMBEDDED_SERVICE}/transfer-notes`, callerKey, { tins: index }, { 'idempotency-key': `cut-${index}` })))
  isPartitioned = false
  const ran = standIns.services[0]!.state.total() - before
  check('an instance without a path to the servers serves through others, each note once', notes.every(note => note.status === 200) && ran === notes.length, `${notes.map(note => note.status).join(', ')}; executed ${ran}`)
}

async function checkOverAllowance ({ entryUrls: entries, operatorClient: operators, models }: EmbeddedFleet): Promise<void> {
  const { key } = await operators.createKey(EMBEDDED_SMALL_TEAM)
  await pause(KEY_PROPAGATION_DELAY_MS)
  const body = { model: models[0], max_tokens: 5000, messages: [{ role: 'user', content: 'everything, please' }] }
  const response = await call(`${entries[0]}/v1/chat/completions`, key, body)
  check('a request that exceeds the allowance is refused without being run', response.status === 429 && response.text.includes('"not_run":true'), codeOf(response))
}

async function checkWithdrawnKey ({ entryUrls: entries, callerKey, callerKeyId, operatorClient: operators, models }: EmbeddedFleet): Promise<void> {
  await operators.withdrawKey(callerKeyId)
  await pause(KEY_PROPAGATION_DELAY_MS)
  const body = { model: models[0], messages: [{ role: 'user', content: 'let me in' }] }
  const responses = await Promise.all(entries.map(entry => call(`${entry}/v1/chat/completions`, callerKey, body)))
  check('a withdrawn key is refused at every instance', responses.every(answer => answer.status === 401), responses.map(codeOf).join(', '))
}

async function checkResumedStreams (): Promise<void> {
  const calls = await resumeStreams()
  const whole = calls.filter(({ isComplete, isResumed }) => isComplete && isResumed)
  const mixed = calls.filter(({ softwareVersions }) => softwareVersions.size > 1)
  const versions = new Set(calls.flatMap(({ softwareVersions }) => [...softwareVersions]))
  check('streams resumed at another instance go on at the software version that began them', whole.length === calls.length && mixed.length === 0, `${whole.length} of ${calls.length} complete, ${mixed.length} of two versions; versions ${[...versions].join(', ')}`)
}

function checkKeyNotForwarded ({ standIns, callerKey }: EmbeddedFleet): void {
  const engineRecords = JSON.stringify(standIns.engines.flatMap(engine => engine.state.records()))
  check('no backend server receives the key of the caller', !engineRecords.includes(callerKey), `${standIns.engines.length} engines`)
}

async function checkCrashingPart (): Promise<void> {
  const { crashes, crashing, sound } = await sendCrashingPart()
  const refused = crashing.filter(({ refusal }) => refusal.includes('crashes-servers')).length
  const served = sound.filter(({ isComplete }) => isComplete).length
  check('different requests with a prompt part that crashes engines are refused, and others that share the rest are served', crashes <= MAX_CRASHES && refused > 0 && served === sound.length, `${crashes} crashes, ${refused} of ${crashing.length} refused, ${served} of ${sound.length} others served`)
}

async function main (): Promise<void> {
  const embedded = await startEmbeddedFleet({ logger: createLogger({ level: 'warn' }), dialPrimitivesOf })
  await checkColdStart(embedded)
  await checkRunsOnce(embedded)
  await checkStatedLimit(embedded)
  await checkBrittleEngine(embedded)
  await checkPartitionedInstance(embedded)
  await checkResumedStreams()
  await checkCrashingPart()
  await checkOverAllowance(embedded)
  await checkWithdrawnKey(embedded)
  checkKeyNotForwarded(embedded)
  await embedded.close()
  process.stdout.write(failures === 0 ? 'demo: all checks passed\n' : `demo: ${failures} check(s) failed\n`)
  process.exit(failures === 0 ? 0 : 1)
}

main()
