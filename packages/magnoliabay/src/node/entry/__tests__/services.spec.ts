import { expect } from 'chai'
import { serviceAnswer } from '@magnoliabay/standins'
import type { KvFaults, ServiceFaults } from '@magnoliabay/standins'
import { SERVICE, createEntryHarness, errorOf, waitUntil } from './harness'
import type { ClientResponse, EntryHarness } from './harness'

const PATH = `/v1/services/${SERVICE}/deposits?slot=3`
const BODY = { parish: 'St Anne', slot: 3 }
const EXPECTED_RESPONSE = JSON.stringify(serviceAnswer(SERVICE, { method: 'POST', path: '/deposits?slot=3', body: JSON.stringify(BODY) }))

type ObservedOutcome = 'answer' | `${string} not-run` | `${string} may-have-run`

function observedOutcomeOf (response: ClientResponse): ObservedOutcome {
  if (response.text === EXPECTED_RESPONSE) return 'answer'
  const error = errorOf(response)
  return `${error?.code ?? 'broken unsaid'} ${error?.not_run === true ? 'not-run' : 'may-have-run'}`
}

describe('services: non-idempotent requests run at most once', () => {
  let harness: EntryHarness
  afterEach(() => harness.close())
  const runCount = (): number => harness.fleet.services.reduce((sum, service) => sum + service.state.total(), 0)
  const deposit = (index: number, key?: string, body: object = BODY): Promise<ClientResponse> =>
    harness.call(index, PATH, body, key === undefined ? {} : { 'idempotency-key': key })
  /** Repeats the call with the same key while the request is reported as in progress, as callers do. */
  const depositUntilAnswered = async (index: number, key: string, body?: object): Promise<ClientResponse> => {
    const response = await deposit(index, key, body)
    return errorOf(response)?.code === 'idempotency_in_progress' ? await depositUntilAnswered(index, key, body) : response
  }
  const setFaultsOfAllServices = (faults: Partial<ServiceFaults>): Promise<unknown> => Promise.all(harness.fleet.services.map(service => service.state.faults.set(faults)))

  interface FaultCase {
    title: string
    faults: Partial<ServiceFaults>
    store?: Partial<KvFaults>
    withKey: ObservedOutcome
    withoutKey: ObservedOutcome
    /** Outcome of a repeat with the same key at another instance after the fault has ended. */
    repeat: ObservedOutcome
    /** Number of runs with the key, including the repeat. */
    runs: number
    elapseMs?: number
  }
  // The caller sends a deposit during the fault, and repeats it with the same key at another instance after the
  // fault. Whatever response it got, the service has run it at most once; if the response said not run, not at all.
  const CASES: readonly FaultCase[] = [
    { title: 'no fault', faults: {}, withKey: 'answer', withoutKey: 'answer', repeat: 'answer', runs: 1 },
    { title: 'servers are down', faults: { crash: true }, withKey: 'backend_failed not-run', withoutKey: 'backend_failed not-run', repeat: 'answer', runs: 1 },
    { title: 'servers refuse', faults: { refuse: true }, withKey: 'backend_failed not-run', withoutKey: 'no_capacity not-run', repeat: 'answer', runs: 1 },
    { title: 'the response is lost', faults: { loseAnswer: true }, withKey: 'may_have_run may-have-run', withoutKey: 'may_have_run may-have-run', repeat: 'idempotency_in_progress may-have-run', runs: 1 },
    { title: 'the connection breaks within the response', faults: { crashMid: true }, withKey: 'may_have_run may-have-run', withoutKey: 'may_have_run may-have-run', repeat: 'idempotency_in_progress may-have-run', runs: 1 },
    { title: 'servers send the response to another request', faults: { crossedAnswers: true }, withKey: 'may_have_run may-have-run', withoutKey: 'may_have_run may-have-run', repeat: 'idempotency_in_progress may-have-run', runs: 1 },
    { title: 'servers send no response', faults: { stall: true }, withKey: 'may_have_run may-have-run', withoutKey: 'may_have_run may-have-run', repeat: 'idempotency_in_progress may-have-run', runs: 1, elapseMs: 31_000 },
    { title: 'the store is down', faults: {}, store: { down: 'status' }, withKey: 'store_unavailable not-run', withoutKey: 'answer', repeat: 'answer', runs: 1 },
    { title: 'responses of the store are lost', faults: {}, store: { loseAnswers: true }, withKey: 'store_unavailable not-run', withoutKey: 'answer', repeat: 'answer', runs: 1 }
  ]
  const depositThroughFault = async (faultCase: FaultCase, key?: string): Promise<ClientResponse> => {
    const before = runCount()
    const responsePromise = deposit(0, key)
    if (faultCase.elapseMs === undefined) return await responsePromise
    await waitUntil(() => runCount() > before)
    harness.clock.elapse(faultCase.elapseMs)
    return await responsePromise
  }

  CASES.forEach(faultCase => it(faultCase.title, async () => {
    harness = await createEntryHarness({ entries: 2 })
    await setFaultsOfAllServices(faultCase.faults)
    await harness.storeFaults.set(faultCase.store ?? {})
    const first = await depositThroughFault(faultCase, 'k')
    expect(observedOutcomeOf(first)).to.equal(faultCase.withKey)
    const runsOfFirst = runCount()
    if (observedOutcomeOf(first).endsWith('not-run')) expect(runsOfFirst).to.equal(0)
    const unkeyed = await depositThroughFault(faultCase)
    expect(observedOutcomeOf(unkeyed)).to.equal(faultCase.withoutKey)
    expect(runCount() - runsOfFirst).to.be.at.most(observedOutcomeOf(unkeyed).endsWith('not-run') ? 0 : 1)
    await setFaultsOfAllServices({ crash: false, refuse: false, loseAnswer: false, crashMid: false, crossedAnswers: false, stall: false })
    await harness.storeFaults.reset()
    // Long enough for servers that refused to be used again, and much shorter than the retention of any claim.
    harness.clock.elapse(11_000)
    const repeat = faultCase.repeat === 'answer' ? await depositUntilAnswered(1, 'k') : await deposit(1, 'k')
    expect(observedOutcomeOf(repeat)).to.equal(faultCase.repeat)
    const runsWithKey = harness.fleet.services.reduce((sum, service) => sum + (service.state.runsByIdempotencyKey().k ?? 0), 0)
    expect(runsWithKey).to.equal(faultCase.runs)
  }))

  // Nine instances get the same key at the same time. One sends the request, the others report that it is in
  // progress or return its response; later all return the same response.
  it('runs a key once if nine instances get it at the same time', async () => {
    harness = await createEntryHarness({ entries: 9 })
    const responses = await Promise.all(harness.entries.map((_entry, index) => deposit(index, 'k')))
    expect(runCount()).to.equal(1)
    const outcomes = responses.map(observedOutcomeOf)
    expect(outcomes.filter(outcome => outcome === 'answer').length).to.be.at.least(1)
    expect(outcomes.filter(outcome => outcome !== 'answer' && outcome !== 'idempotency_in_progress may-have-run')).to.deep.equal([])
    const later = await Promise.all(harness.entries.map((_entry, index) => depositUntilAnswered(index, 'k')))
    expect(later.map(observedOutcomeOf)).to.deep.equal(later.map(() => 'answer'))
    expect(runCount()).to.equal(1)
  })

  it('refuses a key that was used with another request, as not run', async () => {
    harness = await createEntryHarness({ entries: 2 })
    await deposit(0, 'k')
    const other = await deposit(1, 'k', { ...BODY, slot: 4 })
    expect([other.status, observedOutcomeOf(other)]).to.deep.equal([422, 'idempotency_conflict not-run'])
    expect(runCount()).to.equal(1)
  })

  // The caller disconnects while the service runs. Its repeat at another instance gets the response of that run.
  it('stores the response for a caller that disconnected before it arrived', async () => {
    harness = await createEntryHarness({ entries: 2 })
    await setFaultsOfAllServices({ delayMs: 60 })
    const callerAbort = new AbortController()
    const responsePromise = harness.call(0, PATH, BODY, { 'idempotency-key': 'k' }, callerAbort.signal).catch(() => undefined)
    await waitUntil(() => runCount() === 1)
    callerAbort.abort()
    await responsePromise
    const records = harness.fleet.services.flatMap(service => service.state.records())
    await waitUntil(() => records[0]!.answered)
    expect(observedOutcomeOf(await depositUntilAnswered(1, 'k'))).to.equal('answer')
    expect(runCount()).to.equal(1)
  })

  // A response larger than one value of the store is stored in parts, and another instance returns it complete.
  it('replays a response larger than a value of the store', async () => {
    harness = await createEntryHarness({ entries: 2, limits: { maxBodyBytes: 4_000_000 } })
    const large = { text: 'x'.repeat(2_000_000) }
    const first = await deposit(0, 'k', large)
    const repeat = await depositUntilAnswered(1, 'k', large)
    expect(repeat.text === first.text && repeat.text.length > 2_000_000).to.equal(true)
    expect(runCount()).to.equal(1)
  })

  /** Guards against a service getting more calls than it takes, because its answers are not read. */
  it('sends a server that states a rate limit no more than that, and the rest to another', async () => {
    harness = await createEntryHarness({ entries: 2 })
    const [limited] = harness.fleet.services
    await limited!.state.faults.set({ statedLimit: 1 })
    const startedMs = harness.clock.monotonic()
    await Promise.all([deposit(0, 'a'), deposit(0, 'b'), deposit(1, 'c'), deposit(1, 'd')])
    const before = limited!.state.total()
    const later = await Promise.all(Array.from({ length: 40 }, (_, index) => deposit(index % 2, `later-${index}`)))
    const seconds = (harness.clock.monotonic() - startedMs) / 1000
    expect(later.map(observedOutcomeOf)).to.deep.equal(Array(40).fill('answer'))
    expect(limited!.state.total() - before).to.be.at.most(seconds * 1.5 + 5)
  })

  // The instance list still shows the server as live. Its refusal stops new calls, at this instance and at peers.
  it('sends no more calls to a server that reported that it leaves', async () => {
    harness = await createEntryHarness({ entries: 2 })
    const leaving = harness.fleet.services[0]!
    leaving.state.startDraining()
    const first = await Promise.all([deposit(0, 'a'), deposit(0, 'b')])
    expect(first.map(observedOutcomeOf)).to.deep.equal(['answer', 'answer'])
    await new Promise(resolve => setTimeout(resolve, 20))
    const later = await Promise.all(['c', 'd', 'e'].map(key => deposit(1, key)))
    expect(later.map(observedOutcomeOf)).to.deep.equal(['answer', 'answer', 'answer'])
    expect(leaving.state.total()).to.equal(0)
  })
})
