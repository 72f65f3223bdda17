import { expect } from 'chai'
import type { Store, StoreErrorKind } from 'magnoliabay/store/store'
import { createVirtualClock } from 'magnoliabay/clock/virtual'
import { createDirectStore, createKvCallCounter, createKvFaults, createKvState } from '..'
import type { KvFaults } from '..'

function setUp () {
  const clock = createVirtualClock()
  const state = createKvState({ clock })
  const faults = createKvFaults()
  const counter = createKvCallCounter()
  const store = createDirectStore(state, { clock, faults, counter, caller: 'me' })
  return { clock, state, faults, counter, store }
}

function create (store: Store, key: string) {
  return store.transact({ compares: [{ key, target: 'create', equals: 0 }], writes: [{ kind: 'put', key, value: 'v' }] })
}

describe('direct store', () => {
  // Only the error kind distinguishes a write that was refused from one whose answer was lost: 'unavailable' means
  // that nothing was written, 'unknown' that it may have been. The state shows whether that is true.
  const FAULTS: ReadonlyArray<{ name: string, faults: Partial<KvFaults>, kind: StoreErrorKind, written: boolean }> = [
    { name: 'down', faults: { down: 'refused' }, kind: 'unavailable', written: false },
    { name: 'answer lost', faults: { loseAnswers: true }, kind: 'unknown', written: true }
  ]

  FAULTS.forEach(({ name, faults: changes, kind, written }) => it(`with the fault "${name}", a write fails as ${kind}`, async () => {
    const { faults, state, store } = setUp()
    faults.set(changes)
    const done = await create(store, 'a')
    expect(done.err && done.val.kind).to.equal(kind)
    expect(state.range({ key: 'a' }).length).to.equal(written ? 1 : 0)
  }))

  it('counts calls by kind, and lets one of two concurrent creations succeed', async () => {
    const { counter, store } = setUp()
    const done = await Promise.all([create(store, 'a'), create(store, 'a')])
    expect(done.map(result => result.unwrap().succeeded)).to.deep.equal([true, false])
    await store.get('a')
    expect(counter.byCaller()).to.deep.equal({ me: { reads: 1, writes: 2, watches: 0, leases: 0 } })
  })

  it('refuses to renew an expired lease', async () => {
    const { clock, store } = setUp()
    const leaseId = (await store.grantLease(2)).unwrap()
    await clock.advance(2000)
    const renewed = await store.renewLease(leaseId)
    expect(renewed.err && renewed.val.kind).to.equal('lease-lost')
  })

  // The watch gets no event for a change made while it is silent or the store is down. When it restarts, it gets a
  // snapshot of the prefix, which includes the change.
  const INTERRUPTIONS: ReadonlyArray<Partial<KvFaults>> = [{ watchSilent: true }, { down: 'refused' }]
  INTERRUPTIONS.forEach(fault => it(`restarts a watch after ${JSON.stringify(fault)}`, async () => {
    const { clock, faults, store, state } = setUp()
    const seen: string[] = []
    const stop = new AbortController()
    store.watch('a/', {
      onEvent: event => seen.push(`${event.kind} ${event.key}`),
      onSnapshot: snapshot => seen.push(`snapshot ${snapshot.entries.map(entry => entry.key).join(',')}`)
    }, stop.signal)
    await clock.settle()
    await create(store, 'a/1')
    faults.set(fault)
    state.transact({ compares: [], success: [{ kind: 'put', key: 'a/2', value: '' }], failure: [] })
    await clock.advance(100)
    expect(seen).to.deep.equal(['snapshot ', 'put a/1'])
    faults.set({ down: 'no' })
    await clock.advance(6000)
    await create(store, 'a/3')
    await clock.settle()
    stop.abort()
    await create(store, 'a/4')
    expect(seen.slice(2)).to.deep.equal(['snapshot a/1,a/2', 'put a/3'])
  }))
})
