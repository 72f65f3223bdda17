import { createKvServer, createKvState } from '@magnoliabay/standins'
import type { KvFaults, KvServer, KvState } from '@magnoliabay/standins'
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import type { Result } from '../../result'
import { createEtcdStore } from '../etcd'
import type { Store, StoreError, Transaction } from '../store'

const CALL_TIMEOUT_MS = 500
const KEY = 'p/one'
const put = (value: string, key = KEY): Transaction => ({ compares: [], writes: [{ kind: 'put', key, value }] })

describe('etcd client with faults of the key-value stand-in', () => {
  let clock: VirtualClock
  let state: KvState
  let server: KvServer
  let store: ReturnType<typeof createEtcdStore>

  beforeEach(async () => {
    clock = createVirtualClock()
    state = createKvState({ clock })
    server = await createKvServer({ state, clock })
    store = createEtcdStore({ endpoints: [`http://${server.address}`], callTimeoutMs: CALL_TIMEOUT_MS, clock, logger: createSilentLogger(), random: () => 0 })
  })
  afterEach(async () => {
    await store.close()
    await server.close()
    state.close()
  })

  const advanceUntil = async (done: () => boolean): Promise<void> => {
    while (!done()) {
      await clock.advance(50)
      await new Promise(resolve => setImmediate(resolve))
    }
  }
  const advanceThrough = async <T>(call: Promise<T>): Promise<T> => {
    let isOver = false
    const over = (): void => { isOver = true }
    call.then(over, over)
    await advanceUntil(() => isOver)
    return await call
  }
  const kindOf = (result: Result<unknown, StoreError>): string => result.ok ? 'ok' : result.val.kind
  const stored = (): string | undefined => state.range({ key: KEY })[0]?.value

  // The client must classify a failed write correctly: `unavailable` guarantees that it did not take effect,
  // so a claim may be repeated; after `unknown` the caller has to read first.
  const writes: Array<{ fault: string, faults: Partial<KvFaults>, kind: string, tookEffect: boolean }> = [
    { fault: 'none', faults: {}, kind: 'ok', tookEffect: true },
    { fault: 'connections refused', faults: { down: 'refused' }, kind: 'unavailable', tookEffect: false },
    { fault: 'every call fails with 503', faults: { down: 'status' }, kind: 'unavailable', tookEffect: false },
    { fault: 'slow, within the timeout', faults: { slowMs: CALL_TIMEOUT_MS - 200 }, kind: 'ok', tookEffect: true },
    { fault: 'slower than the timeout', faults: { slowMs: 4 * CALL_TIMEOUT_MS }, kind: 'unknown', tookEffect: true },
    { fault: 'response lost after the effect', faults: { loseAnswers: true }, kind: 'unknown', tookEffect: true }
  ]
  writes.forEach(({ fault, faults, kind, tookEffect }) => it(`reports a write with fault "${fault}" as ${kind}`, async () => {
    await server.faults.set(faults)
    expect(kindOf(await advanceThrough(store.transact(put('v'))))).to.equal(kind)
    await clock.advance(4 * CALL_TIMEOUT_MS)
    expect(stored()).to.equal(tookEffect ? 'v' : undefined)
    await server.faults.reset()
    expect(kindOf(await advanceThrough(store.get(KEY)))).to.equal('ok')
  }))

  it('shows by the stored value, after a lost response and a failed compare, that the first write took effect', async () => {
    // The caller creates a key, the write takes effect, and the response is lost. The repeated compare fails.
    // Without its own id in the value, the caller would take its own write for that of another instance.
    const create: Transaction = { ...put('mine'), compares: [{ key: KEY, target: 'create', equals: 0 }] }
    await server.faults.set({ loseAnswers: true })
    expect(kindOf(await advanceThrough(store.transact(create)))).to.equal('unknown')
    await server.faults.reset()
    const again = await advanceThrough(store.transact(create))
    expect(again.unwrap().succeeded).to.equal(false)
    expect((await advanceThrough(store.get(KEY))).unwrap()!.value).to.equal('mine')
  })

  it('loses one call after connections went silent, and completes the next ones', async () => {
    // Several concurrent calls have opened several connections. All of these go silent and stay so; new ones work.
    // A pool that reuses the next old connection would lose one call after another.
    await advanceThrough(Promise.all([1, 2, 3, 4].map(() => store.get(KEY))))
    await server.faults.set({ silentConnections: true })
    expect(kindOf(await advanceThrough(store.get(KEY)))).to.equal('unknown')
    const next = await advanceThrough(Promise.all([1, 2, 3, 4].map(() => store.get(KEY))))
    expect(next.map(kindOf)).to.deep.equal(['ok', 'ok', 'ok', 'ok'])
  })

  it('reads a range of more than a megabyte', async () => {
    const value = 'x'.repeat(300_000)
    const keys = ['p/a', 'p/b', 'p/c', 'p/d', 'p/e']
    for (const key of keys) await advanceThrough(store.transact(put(value, key)))
    const range = (await advanceThrough(store.range('p/'))).unwrap()
    expect(range.entries.map(entry => entry.key)).to.deep.equal(keys)
    expect(range.entries.every(entry => entry.value === value)).to.equal(true)
  })

  it('refuses a value over the limit, with its whole transaction', async () => {
    const transaction: Transaction = { compares: [], writes: [...put('v').writes, ...put('x'.repeat(1_048_577), 'p/large').writes] }
    expect(kindOf(await advanceThrough(store.transact(transaction)))).to.equal('invalid')
    expect(stored()).to.equal(undefined)
  })

  it('does not include keys outside the prefix in a range', async () => {
    for (const key of ['p/x', 'p0', 'p/', 'o', 'p/é']) await advanceThrough(store.transact(put('v', key)))
    const keys = (await advanceThrough(store.range('p/'))).unwrap().entries.map(entry => entry.key)
    expect(keys).to.have.members(['p/', 'p/x', 'p/é'])
  })

  // A process resumes from a pause after its lease has expired and another process has taken its key.
  const expiredLeaseCalls: Array<{ title: string, call: (lease: string) => Promise<Result<unknown, StoreError>> }> = [
    { title: 'renewal', call: lease => store.renewLease(lease) },
    { title: 'write', call: lease => store.transact({ compares: [], writes: [{ kind: 'put', key: KEY, value: 'late', leaseId: lease }] }) },
    { title: 'revocation', call: lease => store.revokeLease(lease) }
  ]
  expiredLeaseCalls.forEach(({ title, call }) => it(`fails a ${title} on an expired lease with lease-lost, without effect`, async () => {
    const lease = (await advanceThrough(store.grantLease(2))).unwrap()
    await advanceThrough(store.transact({ compares: [], writes: [{ kind: 'put', key: KEY, value: 'v', leaseId: lease }] }))
    expect(stored()).to.equal('v')
    await clock.advance(2000)
    expect(stored()).to.equal(undefined)
    expect(kindOf(await advanceThrough(call(lease)))).to.equal('lease-lost')
    expect(stored()).to.equal(undefined)
  }))

  it('keeps a lease that is renewed in time', async () => {
    const lease = (await advanceThrough(store.grantLease(3))).unwrap()
    await advanceThrough(store.transact({ compares: [], writes: [{ kind: 'put', key: KEY, value: 'v', leaseId: lease }] }))
    for (let renewals = 0; renewals < 4; renewals += 1) {
      await clock.advance(1500)
      expect((await advanceThrough(store.renewLease(lease))).unwrap()).to.be.greaterThan(0)
    }
    expect(stored()).to.equal('v')
  })

  // After any fault of its watch, a watcher must have what is stored; the next snapshot contains the
  // changes that it missed.
  const watchFaults: Array<{ fault: string, act: () => Promise<void> | void, repair?: () => Promise<void> }> = [
    { fault: 'nothing happens', act: () => {} },
    { fault: 'the service is temporarily down', act: () => server.faults.set({ down: 'refused' }), repair: () => server.faults.reset() },
    { fault: 'the service temporarily responds with 503', act: () => server.faults.set({ down: 'status' }), repair: () => server.faults.reset() },
    { fault: 'the watch goes silent', act: () => server.faults.set({ watchSilent: true }) },
    { fault: 'all connections go silent', act: () => server.faults.set({ silentConnections: true }) },
    { fault: 'the service is slow', act: () => server.faults.set({ slowMs: CALL_TIMEOUT_MS - 100 }) },
    {
      fault: 'the watch is disconnected and its revisions are compacted',
      act: () => server.faults.set({ down: 'refused' }),
      repair: () => {
        state.compact(state.revision())
        return server.faults.reset()
      }
    }
  ]
  watchFaults.forEach(({ fault, act, repair }) => it(`brings a watcher up to date when ${fault}`, async () => {
    const seen = new Map<string, string>()
    const stop = new AbortController()
    const watching: Store['watch'] = store.watch
    watching('p/', {
      onSnapshot: snapshot => {
        seen.clear()
        snapshot.entries.forEach(entry => seen.set(entry.key, entry.value))
      },
      onEvent: event => {
        if (event.kind === 'put') seen.set(event.key, event.value)
        else seen.delete(event.key)
      }
    }, stop.signal)
    const write = (key: string, value: string): unknown =>
      state.transact({ compares: [], success: [{ kind: 'put', key, value }], failure: [] })
    write('p/old', '1')
    await advanceUntil(() => seen.get('p/old') === '1')
    await act()
    write('p/old', '2')
    write('p/new', '1')
    state.transact({ compares: [], success: [{ kind: 'delete', range: { key: 'p/new' } }], failure: [] })
    write('p/last', '1')
    await repair?.()
    await advanceUntil(() => seen.has('p/last'))
    expect(Object.fromEntries(seen)).to.deep.equal({ 'p/old': '2', 'p/last': '1' })
    stop.abort()
  }))
})
