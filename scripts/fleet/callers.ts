/** Open-loop callers: they look up entry instances, cache the result, send calls there and record the outcomes. */
import { Agent, request } from 'undici'
import { expectedText, serviceAnswer } from '@magnoliabay/standins'
import { messageOf } from '../../packages/magnoliabay/src/node/utils'
import type { Random } from './random'
import type { CallRecord, Observations } from './records'
import { MODELS, SERVICE, TEAMS } from './fleetConfig'
import type { SiteTeam } from './fleetConfig'

export interface TeamKey {
  id: string
  key: string
}

export interface CallersOptions {
  random: Random
  observations: Observations
  /** Entry addresses that callers know in advance. */
  seeds: () => readonly string[]
  instanceAt: (address: string) => string
  keyOf: (team: string) => TeamKey
  /** Arrivals per second. */
  rate: number
}

export interface Callers {
  /** Sends calls until `stop`. */
  start (): void
  stop (): void
  /** Resolves when every call has ended. */
  waitForOpenCalls (): Promise<void>
  /** Makes a team send `factor` times its rate. */
  flood (team: string, factor: number): void
  /** Sends one completion whose prompt contains `text`. */
  complete (text: string): Promise<CallRecord>
}

interface LocateResult {
  addresses: readonly string[]
  expiresAtMs: number
}

const CALL_DEADLINE_MS = 15_000
/** Well after the deadline: a call without a response until then counts as unanswered. */
const CLIENT_TIMEOUT_MS = 25_000
const MAX_TOKENS = 32
const SERVICE_CALL_RATIO = 0.12
const REPEAT_RATIO = 0.3
const BURST_RATIO = 0.02
const BURST_SIZE = 6
const CONNECT_TIMEOUT_MS = 1000
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT'])
const TIMEOUT_CODES: ReadonlySet<string> = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT'])

export function createCallers (options: CallersOptions): Callers {
  const { random, observations } = options
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: CLIENT_TIMEOUT_MS, bodyTimeout: CLIENT_TIMEOUT_MS })
  const entriesByTeam = new Map<string, LocateResult>()
  const openCalls = new Set<Promise<unknown>>()
  const floods = new Map<string, number>()
  const totalPopularity = MODELS.reduce((sum, model) => sum + model.popularity, 0)
  let isRunning = false
  let nextId = 1

  const track = <T>(promise: Promise<T>): Promise<T> => {
    openCalls.add(promise)
    promise.finally(() => openCalls.delete(promise))
    return promise
  }
  const pickTeam = (): SiteTeam => {
    let left = random.next()
    return TEAMS.find(team => (left -= team.arrivalRatio) < 0) ?? TEAMS[0]!
  }
  const pickModel = (): string => {
    let left = random.next() * totalPopularity
    return (MODELS.find(model => (left -= model.popularity) < 0) ?? MODELS[0]!).name
  }

  const locate = async (team: string, key: string): Promise<readonly string[]> => {
    const cached = entriesByTeam.get(team)
    if (cached !== undefined && cached.expiresAtMs > Date.now()) return cached.addresses
    const candidates = [...(cached?.addresses ?? []), ...options.seeds()]
    for (const address of candidates) {
      const result = await fetchEntries(address, key)
      if (result === undefined || result.addresses.length === 0) continue
      entriesByTeam.set(team, result)
      return result.addresses
    }
    return options.seeds()
  }
  const fetchEntries = async (address: string, key: string): Promise<LocateResult | undefined> => {
    try {
      const res = await request(`http://${address}/v1/locate`, {
        headers: { authorization: `Bearer ${key}` }, dispatcher: agent, headersTimeout: CONNECT_TIMEOUT_MS
      })
      const body = await res.body.json() as { addresses?: Array<{ address: string }>, keep_seconds?: number }
      if (body.addresses === undefined) return undefined
      return { addresses: body.addresses.map(item => item.address), expiresAtMs: Date.now() + (body.keep_seconds ?? 1) * 1000 }
    } catch {
      return undefined
    }
  }

  /** Sends to the first address that accepts the connection; nothing is sent to the others. */
  const send = async (record: CallRecord, path: string, body: object, headers: Record<string, string>, addresses: readonly string[]): Promise<CallRecord> => {
    for (const address of addresses) {
      record.instance = options.instanceAt(address)
      const isSent = await attempt(record, address, path, body, headers)
      if (isSent) break
      entriesByTeam.delete(record.team)
    }
    record.endedAtMs = Date.now()
    observations.calls.push(record)
    return record
  }
  const attempt = async (record: CallRecord, address: string, path: string, body: object, headers: Record<string, string>): Promise<boolean> => {
    const received: string[] = []
    let status = 0
    try {
      const res = await request(`http://${address}${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        headers: { authorization: `Bearer ${record.key}`, 'content-type': 'application/json', 'x-deadline-ms': String(CALL_DEADLINE_MS), ...headers },
        dispatcher: agent
      })
      status = res.statusCode
      for await (const chunk of res.body) {
        record.firstByteAtMs ??= Date.now()
        received.push(String(chunk))
      }
      if (record.kind === 'completion') record.softwareVersions = versionsIn(received.join(''))
    } catch (err) {
      record.softwareVersions = versionsIn(received.join(''))
      return classifyConnectionError(record, (err as { code?: string }).code ?? messageOf(err), received.join(''))
    }
    classifyResponse(record, status, received.join(''), body)
    return true
  }

  const newRecord = (kind: CallRecord['kind'], team: string): CallRecord => {
    const { id, key } = options.keyOf(team)
    const now = Date.now()
    return { id: `call-${nextId++}`, kind, team, keyId: id, key, instance: '', startedAtMs: now, endedAtMs: now, result: 'no-connection' }
  }
  const complete = async (team: string, model: string, text: string): Promise<CallRecord> => {
    const record = newRecord('completion', team)
    record.model = model
    record.prompt = `${record.id} ${text}`
    const body = { model, stream: true, max_tokens: MAX_TOKENS, messages: [{ role: 'user', content: record.prompt }] }
    return await send(record, '/v1/chat/completions', body, {}, await locate(team, record.key))
  }
  const book = async (team: string, idempotencyKey: string): Promise<CallRecord> => {
    const record = newRecord('service', team)
    record.idempotencyKey = idempotencyKey
    return await send(record, `/v1/services/${SERVICE}/bookings`, { note: idempotencyKey }, { 'idempotency-key': idempotencyKey }, await locate(team, record.key))
  }
  /** Sends a booking; some callers repeat it at a random instance, regardless of the outcome of the first call. */
  const bookAndRepeat = async (team: string): Promise<void> => {
    const idempotencyKey = `${team}-${nextId}-${random.below(1_000_000)}`
    const isRepeated = random.next() < REPEAT_RATIO
    const first = book(team, idempotencyKey)
    if (!isRepeated) {
      await first
      return
    }
    const seeds = options.seeds()
    const repeat = newRecord('service', team)
    repeat.idempotencyKey = idempotencyKey
    await send(repeat, `/v1/services/${SERVICE}/bookings`, { note: idempotencyKey }, { 'idempotency-key': idempotencyKey }, [random.pick(seeds), ...seeds])
    await first
  }
  const sendArrival = (): void => {
    const team = pickTeam().name
    if (random.next() < SERVICE_CALL_RATIO) {
      track(bookAndRepeat(team))
      return
    }
    const isBurst = random.next() < BURST_RATIO
    const model = isBurst ? random.pick(MODELS).name : pickModel()
    Array.from({ length: isBurst ? BURST_SIZE : 1 }, () => track(complete(team, model, 'where is my lorry')))
  }
  const sendFloodCall = (team: string): void => {
    track(complete(team, pickModel(), 'again and again and again'))
  }
  const scheduleRepeatedly = (meanIntervalMs: () => number, action: () => void): void => {
    const next = (): void => {
      if (!isRunning) return
      action()
      setTimeout(next, random.exponential(meanIntervalMs()))
    }
    setTimeout(next, random.exponential(meanIntervalMs()))
  }

  return {
    start: () => {
      isRunning = true
      scheduleRepeatedly(() => 1000 / options.rate, sendArrival)
    },
    stop: () => { isRunning = false },
    waitForOpenCalls: async () => {
      while (openCalls.size > 0) await Promise.allSettled([...openCalls])
      await agent.destroy()
    },
    flood: (team, factor) => {
      if (floods.has(team)) return
      floods.set(team, factor)
      const { tokensPerSecond } = TEAMS.find(known => known.name === team)!
      const callsPerSecond = tokensPerSecond / MAX_TOKENS * factor
      scheduleRepeatedly(() => 1000 / callsPerSecond, () => sendFloodCall(team))
    },
    complete: text => track(complete(TEAMS[0]!.name, MODELS[0]!.name, text))
  }
}

function classifyResponse (record: CallRecord, status: number, text: string, body: object): void {
  if (status !== 200) return classifyTypedError(record, text)
  const isWhole = record.kind === 'service' ? isWholeService(text, body) : isWholeStream(record, text)
  if (!isWhole && hasTypedError(text)) return classifyTypedError(record, text)
  record.result = isWhole ? 'whole' : 'wrong'
  if (!isWhole) record.detail = text.slice(0, 300)
}

function isWholeService (text: string, body: object): boolean {
  const expected = serviceAnswer(SERVICE, { method: 'POST', path: '/bookings', body: JSON.stringify(body) })
  return text === JSON.stringify(expected)
}

/** Records a connection error. Returns false if nothing can have been sent. */
function classifyConnectionError (record: CallRecord, code: string, text: string): boolean {
  record.detail = code
  if (NOT_SENT_CODES.has(code)) {
    record.result = 'no-connection'
    return false
  }
  if (hasTypedError(text)) classifyTypedError(record, text)
  else record.result = TIMEOUT_CODES.has(code) ? 'unanswered' : 'cut'
  return true
}

function isWholeStream (record: CallRecord, text: string): boolean {
  const events = text.split('\n\n').filter(block => block.length > 0).map(parseEvent)
  if (events.some(event => event.name === 'error') || events.at(-1)?.data !== '[DONE]') return false
  const content = events.slice(0, -1)
    .map(event => (JSON.parse(event.data) as { choices: Array<{ delta?: { content?: string } }> }).choices[0]?.delta?.content ?? '')
    .join('')
  return content === expectedText({ model: record.model!, prompt: record.prompt!, maxTokens: MAX_TOKENS })
}

const versionsIn = (text: string): string[] => [...new Set([...text.matchAll(/"system_fingerprint":"([^"]*)"/g)].map(([, version]) => version!))]

interface StreamEvent {
  name?: string
  data: string
}

function parseEvent (block: string): StreamEvent {
  const lines = block.split('\n')
  const valueOf = (field: string): string | undefined => lines.find(line => line.startsWith(`${field}: `))?.slice(field.length + 2)
  return { name: valueOf('event'), data: valueOf('data') ?? '' }
}

function hasTypedError (text: string): boolean {
  return text.includes('event: error')
}

interface TypedError {
  code?: string
  not_run?: boolean
}

function classifyTypedError (record: CallRecord, text: string): void {
  const typed = typedErrorOf(text)
  record.result = typed?.code === undefined ? 'wrong' : 'refused'
  record.code = typed?.code
  record.notRun = typed?.not_run
  if (record.result === 'wrong') record.detail = text.slice(0, 300)
}

/** Parses the typed error, from the JSON body or from the error event of a stream. */
function typedErrorOf (text: string): TypedError | undefined {
  const event = text.split('\n\n').map(parseEvent).find(candidate => candidate.name === 'error')
  try {
    return (JSON.parse(event?.data ?? text) as { error?: TypedError }).error
  } catch {
    return undefined
  }
}
