/**
 * Generated input that a process does not expect, by a seed: values of the store (configurations, entries of servers), answers of
 * engines to reports and orders, and frames of a member. Sound documents of each kind are changed in one or two places.
 */
import { Encoder } from 'cbor-x'
import { connect } from 'node:net'
import type { KvState } from '@magnoliabay/standins'
import type { Random } from './random'

/** Values at the edges of what JSON, timers, sockets and lists hold, and values of another type. */
const ODD_VALUES: readonly unknown[] = [
  null, true, '', 'x', '9'.repeat(400), '127.0.0.1:99999', '999.1.1.1:80', [], [null], {}, -1, 0, 0.5, 1, 65_536, 2 ** 31, 2 ** 53, 1e15, 1e300, -1e300, 'x'.repeat(100_000)
]
/** Nested arrays: a recursive reader exhausts its stack. */
const NESTING_LEVELS = 20_000
const MAX_CHANGES = 2
const FRAME_LENGTH_BYTES = 4
/** The link ends itself when a frame is refused, and is closed after this time otherwise. */
const LINK_MS = 300

type Json = unknown

const isContainer = (value: Json): value is Record<string, Json> => typeof value === 'object' && value !== null

/** Replaces one value of a document, at any depth, by an odd one, or takes it out. */
function changeOnce (random: Random, document: Json): Json {
  if (!isContainer(document) || Object.keys(document).length === 0) return random.pick(ODD_VALUES)
  const key = random.pick(Object.keys(document))
  const copy = (Array.isArray(document) ? [...document] : { ...document }) as Record<string, Json>
  if (random.below(3) > 0 && isContainer(copy[key])) copy[key] = changeOnce(random, copy[key])
  else if (random.below(6) === 0) delete copy[key]
  else copy[key] = random.pick(ODD_VALUES)
  return copy
}

function change (random: Random, document: Json): Json {
  return Array.from({ length: 1 + random.below(MAX_CHANGES) }).reduce<Json>(changed => changeOnce(random, changed), document)
}

/** Returns a changed document as text; now and then text that is no document. `kept`: fields that keep these values. */
export function toOddText (random: Random, sound: string, kept: object = {}): string {
  const kind = random.below(12)
  if (kind === 0) return sound.slice(0, random.below(sound.length))
  if (kind === 1) return `${'['.repeat(NESTING_LEVELS)}${']'.repeat(NESTING_LEVELS)}`
  if (kind === 2) return '\u0000\u0001{oops'
  return JSON.stringify({ ...change(random, JSON.parse(sound) as Json) as object, ...kept })
}

const OPERATOR_CONFIG_KEY = 'op/config'

export interface OddStoreOptions {
  store: KvState
  random: Random
  /** Writes the next version of the sound configuration. */
  restoreConfig: () => void
}

/** Writes one odd value to the store: a configuration, after which the sound one follows, or an entry of a server. */
export function writeOddValue ({ store, random, restoreConfig }: OddStoreOptions): string {
  const put = (key: string, value: string): void => { store.transact({ compares: [], success: [{ kind: 'put', key, value, leaseId: '0' }], failure: [] }) }
  const range = (key: string): string | undefined => store.range({ key })[0]?.value
  if (random.below(2) === 0) {
    const sound = range(OPERATOR_CONFIG_KEY)!
    const { version } = JSON.parse(sound) as { version: number }
    // A version far above would keep every later configuration from being taken over.
    const text = toOddText(random, sound, { version: version + 1 })
    put(OPERATOR_CONFIG_KEY, text)
    // The odd one has the next version; one that was accepted is replaced only by the version after that.
    restoreConfig()
    restoreConfig()
    return `config ${text.slice(0, 300)}`
  }
  const entry = JSON.stringify({ service: random.pick(['desk', 'llm']), address: '127.0.0.1:9', zone: 'zone-a', version: 'v1', slots: 4, state: 'ready', born: Date.now(), models: [{ name: 'm1', version: 1, adapters: [] }], sequence: 0, 'cold-remaining-ms': 0, 'remaining-ms': 0 })
  const text = toOddText(random, entry)
  put(`servers/odd-${random.below(4)}`, text)
  return `entry ${text.slice(0, 300)}`
}

const MEMBER = { id: 'odd', incarnation: 'odd-1', startedAtMs: 1, region: 'region-1', failureDomain: 'zone-b', peerAddress: '127.0.0.1:9', entryAddress: '127.0.0.1:9', operatorAddress: '127.0.0.1:9', leaving: false, processorShare: 1 }
const STATED = { limits: [{ server: 'sound-1 1', requestsPerSecond: 5, ageMs: 0 }], brittle: [{ service: 'desk', maxRejectionsPerSecond: 1, ageMs: 0 }] }
const REPORT = { configVersion: 1, storeAgeMs: 0, inFlight: [{ server: 'sound-1', model: '', count: 2 }], demand: [{ model: 'm1', rate: 1, waiting: 0 }], leavingServers: [], silentServers: [{ server: 'sound-1', tellers: 1 }], ...STATED, spent: [{ team: 't', units: 5 }], isReady: true, below: [], isUrgent: true, speeds: [{ server: 'sound-1', logSum: 1, count: 1 }] }
const SUMMARY = { leading: { claim: { holder: 'odd', machine: 'odd', claim: 'odd' }, revision: 1 }, count: 1, configVersion: 1, storeAgeMs: 0, storeSteadyMs: 1000, loads: [{ server: 'sound-1', count: 1, speed: 10 }], unavailable: [], forwarders: [], leavingServers: [], ...STATED, spent: [], evacuation: { domains: [], revision: 0 }, listDigest: '', membersDigest: '' }
const LISTED = { id: 'odd-9', bornMs: 1, service: 'desk', address: '127.0.0.1:9', failureDomain: 'zone-a', slots: 4, softwareVersion: 'v1', state: 'ready', coldMs: 0, models: [], remainingMs: 0 }
/** Sound bodies of messages between members, by kind. */
const BODIES: Readonly<Record<string, Json>> = {
  'serving.report': REPORT,
  'serving.summary': SUMMARY,
  'serving.servers-changed': { changed: [LISTED], holding: [{ id: 'odd-9', bornMs: 1, models: [] }], gone: [] },
  'serving.members-changed': { put: [MEMBER], gone: [] },
  'serving.evacuation-changed': { domains: [], revision: 0 },
  'serving.config-changed': { packed: new Uint8Array([1, 2, 3]) },
  'serving.place-used': { process: 'sound-1 1', held: 1, isRejected: true },
  'serving.take-place': { process: 'sound-1 1', slots: 4, most: 1 },
  'serving.admit-limited': { process: 'sound-1 1', requestsPerSecond: 5, count: 1 },
  'serving.admit-cold': { process: 'sound-1 1', most: 1 },
  'serving.record-stream-origins': { records: [{ service: 'llm', softwareVersion: 'v1', key: 'a', keepMs: 1000 }] },
  'serving.find-stream-origin': { services: ['llm'], key: 'a' },
  'members.gossip': { id: 'odd 1', origin: MEMBER, kind: 'serving.report', body: REPORT },
  'members.gone': { process: { member: 'odd', incarnation: 'odd-0' }, proof: 'goodbye' },
  'placement.want': { model: 'm1', waitedMs: 0, patienceMs: 1000, waiting: [{ inTimeMs: 10, giveUpMs: 20, count: 2 }] },
  'allowance.take': { team: 't', amount: 1 },
  'allowance.give-back': { team: 't', amount: 1 },
  'crashes.crashed': { crashes: [] },
  'crashes.cleared': { cleared: [{ process: 'sound-1 1', suspects: ['a'] }] }
}
const encoder = new Encoder({ useRecords: false })

function toFrame (value: Json): Buffer {
  const payload = encoder.encode(value)
  const length = Buffer.alloc(FRAME_LENGTH_BYTES)
  length.writeUInt32BE(payload.length)
  return Buffer.concat([length, payload])
}

/** A bignum of 400 kilobytes: a process that decodes it answers nothing for the rest of the run. */
const BIGNUM = Buffer.concat([Buffer.from([0xc2, 0x5a, 0, 6, 0x40, 0]), Buffer.alloc(0x64000, 0xff)])

function oddFrame (random: Random): Buffer {
  const kind = random.pick(Object.keys(BODIES))
  const body = random.below(4) === 0 ? BODIES[kind] : change(random, BODIES[kind])
  const type = random.pick(['notice', 'notice', 'call', 'reply'])
  const frame = { type, id: random.below(100), ok: true, kind, body }
  const choice = random.below(12)
  if (choice === 0) return toFrame(change(random, frame))
  if (choice === 1) return Buffer.concat([Buffer.from([0, 6, 0x40, 6]), BIGNUM])
  if (choice === 2) return Buffer.from(Array.from({ length: 40 }, () => random.below(256)))
  return toFrame(frame)
}

/** Connects to a process as a member does, and sends a greeting and some frames, any of which may be odd. */
export function sendOddFrames (address: string, random: Random): Promise<void> {
  const [host, port] = address.split(':')
  const greeting = { type: 'hello', member: { ...MEMBER, id: `odd-${random.below(3)}`, incarnation: `odd-${random.below(1000)}` } }
  const frames = [random.below(5) === 0 ? toFrame(change(random, greeting)) : toFrame(greeting), ...Array.from({ length: 1 + random.below(6) }, () => oddFrame(random))]
  return new Promise(resolve => {
    const socket = connect(Number(port), host, () => frames.forEach(frame => socket.write(frame)))
    socket.on('error', () => {})
    socket.resume()
    const timer = setTimeout(() => random.below(2) === 0 ? socket.destroy() : socket.end(), LINK_MS)
    socket.on('close', () => {
      clearTimeout(timer)
      resolve()
    })
  })
}
