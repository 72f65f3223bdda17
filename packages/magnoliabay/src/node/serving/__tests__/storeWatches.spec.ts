/**
 * Failure: a configuration change that the operators' store has accepted is not active for five seconds. Callers get 404
 * on the new route, 401 with the new key, or the service that the route had before.
 * 1. The store stops responding while each instance watches it, and connections stay open. 2. It responds again, and
 * accepts changes; leases are renewed. 3. The instances still wait for a response that never comes.
 * Cause: a watch was trusted until its own timeout, regardless of other calls. In the logs of all instances the leader's
 * other calls were answered for 3.5 s while its watch ran into its timeout, and the next watch returned all changes.
 */
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { sleep } from '../../clock'
import { createSilentLogger } from '../../logger'
import { createStoreConnectivity, runPrefixWatches } from '../../store'
import type { WatchClient, StoreConnectivity, WatchRequest } from '../../store'
import { createPrefixWatches } from '../storeWatches'

/** Longest time until a change is known after the store responds again, or after the change was accepted, milliseconds. */
const KNOWN_WITHIN_MS = 3000
const CALL_TIMEOUT_MS = 1500
const STEP_MS = 10
const CONFIG = 'config'

interface OpenCall {
  /** Prefix that it watches or reads. */
  prefix: string
  /** Whether its response never comes. */
  isLost: boolean
}

interface FakeStore {
  calls: WatchClient
  connectivity: StoreConnectivity
  /** Returns the revision of the configuration that the instance knows. */
  knownRevision (): number
  /** The store stops responding, and loses open calls. */
  stopAnswering (): void
  resume (): void
  /** Open watches of the configuration get no response; the store and other connections work. */
  loseConfigWatch (): void
  /** Changes the configuration as the operators do; returns its revision. */
  change (): number
  /** Makes any other call, such as the renewal of a lease. */
  callOther (): Promise<void>
}

function createFakeStore (clock: VirtualClock): FakeStore {
  const connectivity = createStoreConnectivity({ address: 'store', clock, logger: createSilentLogger() })
  const open = new Set<OpenCall>()
  let isSilent = false
  let revision = 1
  let knownRevision = 0
  const loseCalls = (calls: readonly OpenCall[]): void => calls.forEach(call => { call.isLost = true })

  /** Ends when `isAnswered` holds for a call that is not lost, at its timeout, or when it is aborted. */
  const runCall = async (prefix: string, timeoutMs: number, isAnswered: (ageMs: number) => boolean, signal?: AbortSignal): Promise<'answered' | 'lost' | 'cut'> => {
    const sentMs = clock.monotonic()
    const call: OpenCall = { prefix, isLost: isSilent }
    open.add(call)
    const endOf = (): 'answered' | 'lost' | 'cut' | undefined => {
      const ageMs = clock.monotonic() - sentMs
      if (signal?.aborted) return 'cut'
      if (!call.isLost && isAnswered(ageMs)) return 'answered'
      return ageMs >= timeoutMs ? 'lost' : undefined
    }
    while (endOf() === undefined) await sleep(clock, STEP_MS, signal)
    open.delete(call)
    const end = endOf()!
    if (end !== 'cut') connectivity.recordCall(end === 'answered', 'a call', end)
    return end
  }
  const callOther = async (): Promise<void> => { await runCall('', CALL_TIMEOUT_MS, () => true) }
  const applyRead = (prefix: string): void => { if (prefix === CONFIG) knownRevision = revision }
  const readAll: WatchClient['readAll'] = async ({ prefix }) => {
    if (await runCall(prefix, CALL_TIMEOUT_MS, () => true) !== 'answered') return undefined
    applyRead(prefix)
    return revision
  }
  const watch: WatchClient['watch'] = async ({ prefix }, { after, waitMs, timeoutMs, signal }: WatchRequest) => {
    const hasNewRevision = (): boolean => prefix === CONFIG && revision > after
    const end = await runCall(prefix, timeoutMs, ageMs => hasNewRevision() || ageMs >= waitMs, signal)
    if (end === 'cut') return { kind: 'cut' }
    if (end === 'lost') return { kind: 'failed', err: { kind: 'unknown', message: 'no answer in time' } }
    const hadEvents = hasNewRevision()
    applyRead(prefix)
    return { kind: 'answered', revision, hadEvents }
  }
  return {
    calls: { readAll, watch },
    connectivity,
    knownRevision: () => knownRevision,
    stopAnswering: () => {
      isSilent = true
      loseCalls([...open])
    },
    resume: () => { isSilent = false },
    loseConfigWatch: () => loseCalls([...open].filter(call => call.prefix === CONFIG)),
    change: () => ++revision,
    callOther
  }
}

interface Instance {
  clock: VirtualClock
  store: FakeStore
  setFollowing (following: boolean): void
  /** Returns the time from now until the revision is known, milliseconds. */
  untilKnown (revision: number): Promise<number>
  stop (): void
}

/** Creates an instance that has watched for a second. `renewMs` is the interval of its other calls to the store, milliseconds. */
async function createInstance ({ isFollowing, renewMs }: { isFollowing: boolean, renewMs: number }): Promise<Instance> {
  const clock = createVirtualClock()
  const store = createFakeStore(clock)
  const stop = new AbortController()
  let following = isFollowing
  const watches = createPrefixWatches({
    protocol: { keys: { operator: CONFIG, config: CONFIG, servers: 'servers' } } as never,
    store: undefined as never,
    cfg: undefined as never,
    evacuations: undefined as never,
    servers: undefined as never,
    memberCount: () => 8,
    readsStore: () => !following,
    isProxy: () => false,
    hasPendingOrders: () => false
  })
  const renew = async (): Promise<void> => {
    while (!stop.signal.aborted) {
      await store.callOther()
      await sleep(clock, renewMs, stop.signal)
    }
  }
  runPrefixWatches({ client: store.calls, connectivity: store.connectivity, clock, logger: createSilentLogger() }, watches, stop.signal)
  if (renewMs !== Infinity) renew()
  await clock.advance(1000)
  return {
    clock,
    store,
    setFollowing: value => { following = value },
    untilKnown: async revision => {
      const sinceMs = clock.monotonic()
      while (store.knownRevision() < revision && clock.monotonic() - sinceMs < 60_000) await clock.advance(STEP_MS)
      return clock.monotonic() - sinceMs
    },
    stop: () => stop.abort()
  }
}

const OUTAGES_MS = Array.from({ length: 40 }, (_, index) => 200 * (index + 1))

/** Returns the lengths of outages after which a change is known too late; `duringOutage` is called when an outage begins. */
async function outagesWithLateChange (role: { isFollowing: boolean, renewMs: number }, duringOutage: (instance: Instance) => void = () => {}): Promise<string[]> {
  const late: string[] = []
  for (const outageMs of OUTAGES_MS) {
    const instance = await createInstance(role)
    instance.store.stopAnswering()
    duringOutage(instance)
    await instance.clock.advance(outageMs)
    instance.store.resume()
    const tookMs = await instance.untilKnown(instance.store.change())
    if (tookMs > KNOWN_WITHIN_MS) late.push(`outage of ${outageMs} ms: ${tookMs} ms`)
    instance.stop()
  }
  return late
}

describe('a change in the store', () => {
  const ROLES = [
    { role: 'that leads', isFollowing: false, renewMs: 600 },
    { role: 'that follows no other and makes no other calls to the store', isFollowing: false, renewMs: Infinity }
  ]
  ROLES.forEach(({ role, ...options }) => it(`reaches an instance ${role} in time after an outage of any length`, async () => {
    expect(await outagesWithLateChange(options)).to.deep.equal([])
  }))

  /** A follower does not watch the store, since the leader sends it changes; the leader may end during the outage. */
  it('reaches an instance in time after an outage during which it stopped following another', async () => {
    const late = await outagesWithLateChange({ isFollowing: true, renewMs: Infinity }, instance => instance.setFollowing(false))
    expect(late).to.deep.equal([])
  })

  /**
   * 1. A connection stops responding for good, others work. 2. Later the leader ends, and a change is accepted. 3. An
   * instance that followed it has no watch of its own, and starts one.
   */
  it('reaches an instance in time that no longer follows another, though a connection does not respond', async () => {
    const instance = await createInstance({ isFollowing: true, renewMs: Infinity })
    instance.store.loseConfigWatch()
    await instance.clock.advance(5000)
    instance.setFollowing(false)
    expect(await instance.untilKnown(instance.store.change())).to.be.at.most(KNOWN_WITHIN_MS)
    instance.stop()
  })

  it('reaches the leader in time though the connection of its watch does not respond', async () => {
    const instance = await createInstance({ isFollowing: false, renewMs: 600 })
    instance.store.loseConfigWatch()
    expect(await instance.untilKnown(instance.store.change())).to.be.at.most(KNOWN_WITHIN_MS)
    instance.stop()
  })
})
