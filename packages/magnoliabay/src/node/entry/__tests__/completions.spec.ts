import { expect } from 'chai'
import { connect } from 'node:net'
import { expectedText } from '@magnoliabay/standins'
import type { EngineFaults } from '@magnoliabay/standins'
import { parseHostPort } from '../../utils'
import { contentOf, createEntryHarness, errorOf, waitUntil } from './harness'
import type { ClientResponse, EntryHarness } from './harness'

const PROMPT = 'when is the christening?'
const EXPECTED_TEXT = expectedText({ model: 'm', prompt: PROMPT })

/** `whole`: the complete response to the caller's own prompt. Otherwise the failure code, and whether the request may have run. */
type ObservedOutcome = 'whole' | `${string} not-run` | `${string} may-have-run`

function observedOutcomeOf (response: ClientResponse): ObservedOutcome {
  const error = errorOf(response)
  if (error !== undefined) return `${error.code} ${error.not_run ? 'not-run' : 'may-have-run'}`
  const isWhole = !response.isCut && contentOf(response) === EXPECTED_TEXT
  const hasEnd = response.headers['content-type'] === 'application/json' || response.text.endsWith('data: [DONE]\n\n')
  return isWhole && hasEnd ? 'whole' : 'broken unsaid may-have-run'
}

interface FaultCase {
  title: string
  /** Faults of each engine, in the order in which routing selects them. */
  faults: ReadonlyArray<Partial<EngineFaults>>
  canResume?: boolean
  whole: ObservedOutcome
  streamed: ObservedOutcome
  /** Maximum number of runs that the engines count. */
  runs: number
  /** Virtual time that passes each time an engine has started the request, milliseconds. */
  elapseMs?: number
}

// The first engine that routing selects has a fault, the second may have another. The caller gets the whole
// response or a typed failure. If the failure says not run, no engine has counted a run.
const CASES: readonly FaultCase[] = [
  { title: 'no fault', faults: [{}, {}], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'both engines refuse', faults: [{ refuse: true }, { refuse: true }], whole: 'backend_failed not-run', streamed: 'backend_failed not-run', runs: 0 },
  { title: 'the first engine refuses', faults: [{ refuse: true }, {}], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'the first engine is down before the request', faults: [{ crash: true }, {}], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'both engines are down', faults: [{ crash: true }, { crash: true }], whole: 'backend_failed not-run', streamed: 'backend_failed not-run', runs: 0 },
  { title: 'the first engine crashes during the request, the second refuses', faults: [{ crashOnPrompt: PROMPT, restartAfterMs: 0 }, { refuse: true }], whole: 'backend_failed may-have-run', streamed: 'backend_failed may-have-run', runs: 1 },
  { title: 'the first engine crashes during the request', faults: [{ crashOnPrompt: PROMPT, restartAfterMs: 0 }, {}], whole: 'whole', streamed: 'whole', runs: 2 },
  { title: 'connections break after the first byte, no resume', faults: [{ dieAfterFirstByte: true }, {}], canResume: false, whole: 'whole', streamed: 'answer_cut may-have-run', runs: 3 },
  { title: 'connections break after the last token, no resume', faults: [{ dieBeforeEnd: true }, {}], canResume: false, whole: 'whole', streamed: 'answer_cut may-have-run', runs: 3 },
  { title: 'connections break repeatedly', faults: [{ dieAfterFirstByte: true }, {}], whole: 'whole', streamed: 'answer_cut may-have-run', runs: 3 },
  { title: 'the first engine sends the response to another request', faults: [{ crossedAnswers: true }, {}], whole: 'whole', streamed: 'whole', runs: 3 },
  { title: 'both engines send the response to another request', faults: [{ crossedAnswers: true }, { crossedAnswers: true }], whole: 'backend_failed may-have-run', streamed: 'backend_failed may-have-run', runs: 4 },
  { title: 'both engines send every response twice', faults: [{ doubleAnswer: true }, { doubleAnswer: true }], whole: 'whole', streamed: 'whole', runs: 1 },
  { title: 'the first engine stalls after the headers', faults: [{ stall: true }, {}], whole: 'whole', streamed: 'whole', runs: 3, elapseMs: 45_000 }
]

describe('completions: faults of engines', () => {
  let harness: EntryHarness
  const runCount = (): number => harness.fleet.engines.flatMap(engine => engine.state.records().requests).filter(record => record.outcome !== 'refused').length
  const start = async (faultCase: FaultCase): Promise<void> => {
    harness = await createEntryHarness({ engines: faultCase.faults.map(() => ({ canResume: faultCase.canResume ?? true })), limits: { deadlineMs: 600_000 } })
    await Promise.all(faultCase.faults.map((faults, index) => harness.fleet.engines[index]!.state.faults.set(faults)))
  }
  /** Advances the clock by `ms` each time an engine has started a run. */
  const elapseWhileRunning = async (responsePromise: Promise<ClientResponse>, ms: number): Promise<ClientResponse> => {
    const progress = { isOver: false }
    responsePromise.finally(() => { progress.isOver = true }).catch(() => {})
    const elapseOncePerRun = async (previousRunCount: number): Promise<void> => {
      await waitUntil(() => progress.isOver || runCount() > previousRunCount)
      if (progress.isOver) return
      const now = runCount()
      await new Promise(resolve => setTimeout(resolve, 50))
      harness.clock.elapse(ms)
      await elapseOncePerRun(now)
    }
    await elapseOncePerRun(0)
    return await responsePromise
  }
  afterEach(() => harness.close())

  const modes = [{ title: 'whole', stream: false }, { title: 'streamed', stream: true }] as const
  CASES.forEach(faultCase => modes.forEach(({ title, stream }) => it(`${faultCase.title}: ${title}`, async () => {
    await start(faultCase)
    const responsePromise = harness.chat(0, PROMPT, { stream })
    const response = faultCase.elapseMs === undefined ? await responsePromise : await elapseWhileRunning(responsePromise, faultCase.elapseMs)
    const outcome = observedOutcomeOf(response)
    expect(outcome).to.equal(faultCase[title])
    expect(runCount()).to.be.at.most(faultCase.runs)
    if (outcome.endsWith('not-run')) expect(runCount()).to.equal(0)
    expect(EXPECTED_TEXT.startsWith(errorOf(response) === undefined ? contentOf(response) : '')).to.equal(true)
  })))
})

describe('completions: callers', () => {
  let harness: EntryHarness
  afterEach(() => harness.close())
  const outcomes = (): string[] => harness.fleet.engines.flatMap(engine => engine.state.records().requests).map(record => record.outcome)
  const LONG = 'long [tokens=100000]'

  // The caller disconnects in the middle of its stream. The engine keeps the run for a resume, so only a cancel
  // ends it.
  it('cancels the run when the caller disconnects', async () => {
    harness = await createEntryHarness({ engines: [{ tokenMs: 1 }] })
    const callerAbort = new AbortController()
    const responsePromise = harness.call(0, '/v1/chat/completions', { model: 'm', stream: true, max_tokens: 100_000, messages: [{ role: 'user', content: LONG }] }, {}, callerAbort.signal).catch(() => undefined)
    await waitUntil(() => (harness.fleet.engines[0]!.state.records().requests[0]?.tokens ?? 0) > 3)
    callerAbort.abort()
    await responsePromise
    await waitUntil(() => outcomes()[0] === 'cancelled')
  })

  const aborts: ReadonlyArray<{ title: string, cause: () => void, code: string }> = [
    { title: 'the deadline', cause: () => harness.clock.elapse(60_000), code: 'deadline_exceeded may-have-run' },
    { title: 'the withdrawal of the key', cause: () => harness.withdraw('key-1'), code: 'key_withdrawn may-have-run' }
  ]
  aborts.forEach(({ title, cause, code }) => it(`ends a stream at ${title} with a typed event, and cancels the run`, async () => {
    harness = await createEntryHarness({ engines: [{ tokenMs: 1 }], limits: { engineGapMs: 600_000, engineFirstByteMs: 600_000 } })
    const responsePromise = harness.chat(0, LONG, { stream: true, max_tokens: 100_000 })
    await waitUntil(() => (harness.fleet.engines[0]!.state.records().requests[0]?.tokens ?? 0) > 3)
    cause()
    const response = await responsePromise
    expect(observedOutcomeOf(response)).to.equal(code)
    expect([response.isCut, response.text.includes('[DONE]')]).to.deep.equal([true, false])
    await waitUntil(() => outcomes()[0] === 'cancelled')
  }))

  // The caller stops reading while its connection stays open. Backpressure stops the engine's response; after
  // the timeout the caller is disconnected without an end mark.
  it('disconnects a caller that stops reading', async () => {
    harness = await createEntryHarness({ engines: [{}], limits: { deadlineMs: 600_000, engineGapMs: 600_000 } })
    const socket = connect(parseHostPort(harness.entries[0]!.address))
    const body = JSON.stringify({ model: 'm', stream: true, max_tokens: 100_000, messages: [{ role: 'user', content: LONG }] })
    socket.write(`POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer k\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    await waitUntil(() => outcomes()[0] === 'completed')
    // The timeout starts only once the socket buffers are full, at an unknown time.
    for (let turn = 0; turn < 10; turn += 1) {
      await new Promise(resolve => setTimeout(resolve, 100))
      harness.clock.elapse(31_000)
    }
    let text = ''
    socket.on('data', chunk => { text = (text + String(chunk)).slice(-100) })
    socket.on('error', () => {})
    await new Promise(resolve => socket.on('close', resolve))
    expect(text.includes('[DONE]')).to.equal(false)
  })

  // One request is open, which is the limit. The next one is refused at once, with a retry-after time.
  it('refuses requests above the limit at once, as not run', async () => {
    harness = await createEntryHarness({ engines: [{ tokenMs: 1 }], limits: { maxOpenRequests: 1 } })
    const callerAbort = new AbortController()
    const openRequest = harness.call(0, '/v1/chat/completions', { model: 'm', stream: true, max_tokens: 100_000, messages: [{ role: 'user', content: LONG }] }, {}, callerAbort.signal).catch(() => undefined)
    await waitUntil(() => outcomes().length === 1)
    const rejected = await harness.chat(0, PROMPT)
    expect([rejected.status, errorOf(rejected)?.code, errorOf(rejected)?.not_run, rejected.headers['retry-after']]).to.deep.equal([503, 'overloaded', true, '1'])
    callerAbort.abort()
    await openRequest
  })

  // A request crashes each engine that runs it, and its caller retries it at the other instances.
  it('runs a request that crashes engines on two of them at most, and then refuses it at every instance', async () => {
    harness = await createEntryHarness({ entries: 3, engines: [{}, {}, {}, {}] })
    await Promise.all(harness.fleet.engines.map(engine => engine.state.faults.set({ crashOnPrompt: 'poison', restartAfterMs: 0 })))
    const responses: ClientResponse[] = []
    for (const index of [0, 1, 2, 0]) responses.push(await harness.chat(index, 'poison'))
    const crashedEngines = harness.fleet.engines.filter(engine => engine.state.isDown()).length
    expect(crashedEngines).to.equal(2)
    expect(responses.slice(1).map(response => errorOf(response)?.code)).to.deep.equal(['crashes_backend', 'crashes_backend', 'crashes_backend'])
    expect(responses.slice(1).map(response => errorOf(response)?.not_run)).to.deep.equal([true, true, true])
    const unrelated = await harness.chat(1, PROMPT)
    expect(contentOf(unrelated)).to.equal(EXPECTED_TEXT)
  })
})

describe('completions: requests that crash engines', () => {
  // A request waits in the queue of an engine when it turns out to crash engines, and crashes this one as well.
  it('are withdrawn from an engine that has not begun to answer them', async () => {
    const harness = await createEntryHarness({ entries: 2, engines: [{}, {}, {}] })
    const [first, ...others] = harness.fleet.engines
    await first!.state.faults.set({ stall: true })
    const waiting = harness.chat(0, 'poison')
    await waitUntil(() => first!.state.records().requests.length === 1)
    await first!.state.faults.set({ refuse: true })
    await Promise.all(others.map(engine => engine.state.faults.set({ crashOnPrompt: 'poison', restartAfterMs: 0 })))
    await harness.chat(1, 'poison')
    const withdrawn = await waiting
    expect([withdrawn.status, errorOf(withdrawn)?.code, errorOf(withdrawn)?.not_run]).to.deep.equal([422, 'crashes_backend', false])
    await harness.close()
  })
})

describe('completions: engines that state a rate limit', () => {
  let harness: EntryHarness
  afterEach(() => harness.close())
  const LIMIT = 1
  const sendAll = (count: number): Promise<ClientResponse[]> => Promise.all(Array.from({ length: count }, (_, index) => harness.chat(index % 3, `${PROMPT} ${index}`)))
  const requestsAt = (index: number): number => harness.fleet.engines[index]!.state.records().requests.length

  /** Guards against an engine getting more than it takes, summed over the instances, because its answers are not read. */
  it('get no more than that from three instances together, and the rest goes to another engine', async () => {
    harness = await createEntryHarness({ entries: 3 })
    await harness.fleet.engines[0]!.state.faults.set({ statedLimit: LIMIT })
    await sendAll(3)
    const beforeLimit = requestsAt(0)
    const startedMs = harness.clock.monotonic()
    const responses = [...await sendAll(30), ...await sendAll(30)]
    const seconds = (harness.clock.monotonic() - startedMs) / 1000
    expect(responses.map(({ status }) => status)).to.deep.equal(Array(60).fill(200))
    expect(requestsAt(0) - beforeLimit).to.be.at.most(seconds * LIMIT * 1.5 + 5)
    expect(requestsAt(0)).to.be.greaterThan(beforeLimit)
  })

  it('get as many as before once they state none any more', async () => {
    harness = await createEntryHarness({ entries: 3, engines: [{}] })
    const { faults } = harness.fleet.engines[0]!.state
    await faults.set({ statedLimit: LIMIT })
    await sendAll(3)
    await faults.set({ statedLimit: 0 })
    harness.clock.elapse(2000)
    await harness.chat(0, PROMPT)
    // The first answer lifts the limit at the instance that got it, and its notice at the others.
    const isServedEverywhere = async (): Promise<boolean> => (await sendAll(3)).every(({ status }) => status === 200)
    while (!await isServedEverywhere()) harness.clock.elapse(500)
    expect((await sendAll(30)).map(({ status }) => status)).to.deep.equal(Array(30).fill(200))
  })
})

describe('completions: engines that ask for backoff, or say that they leave', () => {
  let harness: EntryHarness
  afterEach(() => harness.close())
  const requestsAt = (index: number): number => harness.fleet.engines[index]!.state.records().requests.length
  const sendFrom = (entry: number, count: number): Promise<ClientResponse[]> => Promise.all(Array.from({ length: count }, (_, index) => harness.chat(entry, `${PROMPT} ${index}`)))

  /** Guards against requests that pile up at an engine that turns them away. */
  it('get none of an instance that they have asked for backoff until it is over', async () => {
    harness = await createEntryHarness()
    await harness.fleet.engines[0]!.state.faults.set({ refuse: true, backoffSeconds: 60 })
    expect((await harness.chat(0, PROMPT)).status).to.equal(200)
    const before = requestsAt(0)
    expect((await sendFrom(0, 10)).map(({ status }) => status)).to.deep.equal(Array(10).fill(200))
    expect(requestsAt(0)).to.equal(before)
    harness.clock.elapse(61_000)
    await harness.chat(0, PROMPT)
    expect(requestsAt(0)).to.be.greaterThan(before)
  })

  /** Guards against requests to an engine that has said that it leaves, while the instance list cannot tell. */
  it('get none of any instance once they have said that they leave', async () => {
    harness = await createEntryHarness({ entries: 2 })
    harness.fleet.engines[0]!.state.startDraining()
    expect((await harness.chat(0, PROMPT)).status).to.equal(200)
    await new Promise(resolve => setTimeout(resolve, 20))
    const before = requestsAt(0)
    const responses = [...await sendFrom(0, 5), ...await sendFrom(1, 5)]
    expect(responses.map(({ status }) => status)).to.deep.equal(Array(10).fill(200))
    expect(requestsAt(0)).to.equal(before)
  })
})
