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

describe('etcd client against the faults of the key-value stand-in', () => {
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

  const passUntil = async (done: () => boolean): Promise<void> => {
    while (!done()) {
      await clock.advance(50)
      await new Promise(resolve => setImmediate(resolve))
    }
  }
  const during = async <T>(call: Promise<T>): Promise<T> => {
    let isOver = false
    const over = (): void => { isOver = true }
    call.then(over, over)
    await passUntil(() => isOver)
    return await call
  }
  const kindOf = (result: Result<unknown, StoreError>): string => result.ok ? 'ok' : result.val.kind
  const stored = (): string | undefined => state.range({ key: KEY })[0]?.value

  // What the client says of a write must be true: `unavailable` promises that it did not take effect,
  // and a claim may be made again; after `unknown` the caller has to read back first.
  const writes: Array<{ fault: string, faults: Partial<KvFaults>, kind: string, tookEffect: boolean }> = [
    { fault: 'none', faults: {}, kind: 'ok', tookEffect: true },
    { fault: 'connections refused', faults: { down: 'refused' }, kind: 'unavailable', tookEffect: false },
    { fault: 'every call answered 503', faults: { down: 'status' }, kind: 'unavailable', tookEffect: false },
    { fault: 'slow, within the timeout', faults: { slowMs: CALL_TIMEOUT_MS - 200 }, kind: 'ok', tookEffect: true },
    { fault: 'slower than the timeout', faults: { slowMs: 4 * CALL_TIMEOUT_MS }, kind: 'unknown', tookEffect: true },
    { fault: 'the answer lost after the effect', faults: { loseAnswers: true }, kind: 'unknown', tookEffect: true }
  ]
  writes.forEach(({ fault, faults, kind, tookEffect }) => it(`write, ${fault}: ${kind}`, async () => {
    await server.faults.set(faults)
    expect(kindOf(await during(store.transact(put('v'))))).to.equal(kind)
    await clock.advance(4 * CALL_TIMEOUT_MS)
    expect(stored()).to.equal(tookEffect ? 'v' : undefined)
    await server.faults.reset()
    expect(kindOf(await during(store.get(KEY)))).to.equal('ok')
  }))

  it('a compare that fails after a lost answer shows by its value that the first write took effect', async () => {
    // The caller creates a key, the write takes effect, the answer is lost. It asks again: the compare
    // fails. Without its own id in the value it would take itself for somebody else.
    const create: Transaction = { ...put('mine'), compares: [{ key: KEY, target: 'create', equals: 0 }] }
    await server.faults.set({ loseAnswers: true })
    expect(kindOf(await during(store.transact(create)))).to.equal('unknown')
    await server.faults.reset()
    const again = await during(store.transact(create))
    expect(again.unwrap().succeeded).to.equal(false)
    expect((await during(store.get(KEY))).unwrap()!.value).to.equal('mine')
  })

  it('after connections went silent, one call is lost and the next ones work', async () => {
    // Several calls at once have opened several connections; all go silent for good, new ones work.
    // A pool that hands out the next old connection would lose one call after another.
    await during(Promise.all([1, 2, 3, 4].map(() => store.get(KEY))))
    await server.faults.set({ silentConnections: true })
    expect(kindOf(await during(store.get(KEY)))).to.equal('unknown')
    const next = await during(Promise.all([1, 2, 3, 4].map(() => store.get(KEY))))
    expect(next.map(kindOf)).to.deep.equal(['ok', 'ok', 'ok', 'ok'])
  })

  it('reads a range of more than a megabyte', async () => {
    const value = 'x'.repeat(300_000)
    const keys = ['p/a', 'p/b', 'p/c', 'p/d', 'p/e']
    for (const key of keys) await during(store.transact(put(value, key)))
    const range = (await during(store.range('p/'))).unwrap()
    expect(range.entries.map(entry => entry.key)).to.deep.equal(keys)
    expect(range.entries.every(entry => entry.value === value)).to.equal(true)
  })

  it('a value over the limit is refused, and nothing of its transaction takes effect', async () => {
    const transaction: Transaction = { compares: [], writes: [...put('v').writes, ...put('x'.repeat(1_048_577), 'p/large').writes] }
    expect(kindOf(await during(store.transact(transaction)))).to.equal('invalid')
    expect(stored()).to.equal(undefined)
  })

  it('a range ends before the keys of a neighbour with a longer name', async () => {
    for (const key of ['p/x', 'p0', 'p/', 'o', 'p/é']) await during(store.transact(put('v', key)))
    const keys = (await during(store.range('p/'))).unwrap().entries.map(entry => entry.key)
    expect(keys).to.have.members(['p/', 'p/x', 'p/é'])
  })

  // A paused process wakes after its lease has lapsed and somebody else has taken its key.
  const lapsed: Array<{ title: string, call: (lease: string) => Promise<Result<unknown, StoreError>> }> = [
    { title: 'renewal', call: lease => store.renewLease(lease) },
    { title: 'write', call: lease => store.transact({ compares: [], writes: [{ kind: 'put', key: KEY, value: 'late', leaseId: lease }] }) },
    { title: 'revocation', call: lease => store.revokeLease(lease) }
  ]
  lapsed.forEach(({ title, call }) => it(`${title} on a lapsed lease: lease-lost, and no effect`, async () => {
    const lease = (await during(store.grantLease(2))).unwrap()
    await during(store.transact({ compares: [], writes: [{ kind: 'put', key: KEY, value: 'v', leaseId: lease }] }))
    expect(stored()).to.equal('v')
    await clock.advance(2000)
    expect(stored()).to.equal(undefined)
    expect(kindOf(await during(call(lease)))).to.equal('lease-lost')
    expect(stored()).to.equal(undefined)
  }))

  it('a lease that is renewed in time stands', async () => {
    const lease = (await during(store.grantLease(3))).unwrap()
    await during(store.transact({ compares: [], writes: [{ kind: 'put', key: KEY, value: 'v', leaseId: lease }] }))
    for (let renewals = 0; renewals < 4; renewals += 1) {
      await clock.advance(1500)
      expect((await during(store.renewLease(lease))).unwrap()).to.be.greaterThan(0)
    }
    expect(stored()).to.equal('v')
  })

  // A watcher must end up with what is stored, whatever happens to its watch meanwhile; what it missed
  // comes with the next snapshot.
  const watchFaults: Array<{ fault: string, act: () => Promise<void> | void, mend?: () => Promise<void> }> = [
    { fault: 'nothing happens', act: () => {} },
    { fault: 'the service is down for a while', act: () => server.faults.set({ down: 'refused' }), mend: () => server.faults.reset() },
    { fault: 'the service answers 503 for a while', act: () => server.faults.set({ down: 'status' }), mend: () => server.faults.reset() },
    { fault: 'the watch goes silent', act: () => server.faults.set({ watchSilent: true }) },
    { fault: 'all connections go silent', act: () => server.faults.set({ silentConnections: true }) },
    { fault: 'the service is slow', act: () => server.faults.set({ slowMs: CALL_TIMEOUT_MS - 100 }) },
    {
      fault: 'the watch is cut and its revisions are compacted',
      act: () => server.faults.set({ down: 'refused' }),
      mend: () => {
        state.compact(state.revision())
        return server.faults.reset()
      }
    }
  ]
  watchFaults.forEach(({ fault, act, mend }) => it(`a watcher catches up when ${fault}`, async () => {
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
    await passUntil(() => seen.get('p/old') === '1')
    await act()
    write('p/old', '2')
    write('p/new', '1')
    state.transact({ compares: [], success: [{ kind: 'delete', range: { key: 'p/new' } }], failure: [] })
    write('p/last', '1')
    await mend?.()
    await passUntil(() => seen.has('p/last'))
    expect(Object.fromEntries(seen)).to.deep.equal({ 'p/old': '2', 'p/last': '1' })
    stop.abort()
  }))
})
