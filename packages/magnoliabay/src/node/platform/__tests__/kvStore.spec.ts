import { createKvState, createMetadataStoreServer } from '@magnoliabay/standins'
import type { KvState, MetadataStoreServer } from '@magnoliabay/standins'
import { expect } from 'chai'
import { createSystemClock } from '../../clock'
import { createSilentLogger } from '../../logger'
import { startRawServer } from '../../serving/__tests__/rawServer'
import type { Transaction, WatchEvent, PrefixWatch } from '../../store'
import { createMetadataStore } from '../metadataStore'
import type { MetadataStore } from '../metadataStore'

const clock = createSystemClock()
const WATCH_ALL: PrefixWatch = { prefix: '', isEnabled: () => true, batchDelayMs: () => 10, waitMs: () => 4000 }

describe('client of the platform\'s metadata store', () => {
  let state: KvState
  let service: MetadataStoreServer
  let store: MetadataStore
  let stop: AbortController

  beforeEach(async () => {
    state = createKvState({ clock })
    service = await createMetadataStoreServer({ state, clock, pageItems: 2 })
    store = createMetadataStore({ address: service.address, clock, logger: createSilentLogger() })
    stop = new AbortController()
  })
  afterEach(async () => {
    stop.abort()
    await store.close()
    await service.close()
    state.close()
  })
  const put = (key: string, value: string, leaseId?: string): Transaction => ({ compares: [], writes: [{ kind: 'put', key, value, leaseId }] })
  /** Resolves once `isDone` holds after an event or a snapshot. */
  const watchUntil = (prefix: string, isDone: (seen: { events: WatchEvent[], snapshots: string[][] }) => boolean): Promise<void> => new Promise(resolve => {
    const seen = { events: [] as WatchEvent[], snapshots: [] as string[][] }
    const check = (): void => { if (isDone(seen)) resolve() }
    store.watch(prefix, {
      onEvent: event => {
        seen.events.push(event)
        check()
      },
      onSnapshot: ({ entries }) => {
        seen.snapshots.push(entries.map(entry => entry.key))
        check()
      }
    }, stop.signal)
  })

  it('reads back any text that it wrote', async () => {
    const value = 'Grüße \u0000 日本'
    await store.transact(put('a/1', value))
    const read = await store.get('a/1')
    expect(read.unwrap()).to.include({ key: 'a/1', value, leaseId: '0' })
    expect((await store.get('a/2')).unwrap()).to.equal(undefined)
  })

  const CALLS: Record<string, (wrongStore: MetadataStore) => Promise<{ err: boolean }>> = {
    'a read': wrongStore => wrongStore.get('a/1'),
    'a range': wrongStore => wrongStore.range('a/'),
    'a write': wrongStore => wrongStore.transact(put('a/1', 'x')),
    'a lease': wrongStore => wrongStore.grantLease(10),
    'a renewal': wrongStore => wrongStore.renewLease('7')
  }
  const WRONG_BODIES = ['null', '', '[]', '{}', '\u0001{', '{"items":[null],"at":1}', '{"items":7,"at":"x"}', '{"key":1,"revision":{}}', '{"revision":"9","lease":"9","ttl-ms":null}']
  /** Guards against a process that ends, or takes the store for empty, for an answer of the wrong form: its outcome is unknown. */
  Object.entries(CALLS).forEach(([name, call]) => it(`takes the outcome of ${name} for unknown when the answer has the wrong form`, async () => {
    for (const body of WRONG_BODIES) {
      const wrong = await startRawServer(socket => socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`))
      const wrongStore = createMetadataStore({ address: wrong.address, clock, logger: createSilentLogger() })
      const result = await call(wrongStore) as { err: boolean, val: { kind: string } }
      expect(result.err && result.val.kind, body).to.equal('unknown')
      await wrongStore.close()
      await wrong.close()
    }
  }))

  /** Guards against a watch that ends, and with it the changes of everything else, for a value that one subscriber cannot use. */
  it('goes on watching after a subscriber fails on a value', async () => {
    store.watch('a/', { onEvent: () => { throw new TypeError('wrong value') }, onSnapshot: () => { throw new TypeError('wrong value') } }, stop.signal)
    const seen = watchUntil('a/', ({ events }) => events.length === 2)
    store.start(stop.signal, [WATCH_ALL])
    await new Promise(resolve => setTimeout(resolve, 50))
    await store.transact(put('a/1', '1'))
    await store.transact(put('a/2', '2'))
    await seen
  })

  it('reads a range that spans several pages', async () => {
    await Promise.all(['a/1', 'a/2', 'a/3', 'a/4', 'a/5', 'b/1'].map(key => store.transact(put(key, key))))
    expect((await store.range('a/')).unwrap().entries.map(entry => entry.key)).to.deep.equal(['a/1', 'a/2', 'a/3', 'a/4', 'a/5'])
  })

  it('writes under a condition only while it holds', async () => {
    const claim: Transaction = { compares: [{ key: 'leader', target: 'create', equals: 0 }], writes: [{ kind: 'put', key: 'leader', value: 'me' }] }
    expect((await store.transact(claim)).unwrap().succeeded).to.equal(true)
    expect((await store.transact(claim)).unwrap().succeeded).to.equal(false)
  })

  it('refuses conditions that the store does not support without sending them', async () => {
    const byValue: Transaction = { compares: [{ key: 'a', target: 'value', equals: 'x' }], writes: [] }
    expect(await store.transact(byValue)).to.have.nested.property('val.kind', 'invalid')
    expect(service.callCounts.size).to.equal(0)
  })

  it('loses keys when their lease is revoked', async () => {
    const lease = (await store.grantLease(60)).unwrap()
    await store.transact(put('mine', 'x', lease))
    expect((await store.renewLease(lease)).unwrap()).to.equal(60)
    await store.revokeLease(lease)
    expect((await store.get('mine')).unwrap()).to.equal(undefined)
    expect(await store.renewLease(lease)).to.have.nested.property('val.kind', 'lease-lost')
    expect(await store.transact(put('mine', 'x', lease))).to.have.nested.property('val.kind', 'lease-lost')
  })

  const FAILURES = [
    { name: 'a call refused as busy, which was not carried out', faults: { refuseWith: 503 as const }, kind: 'unavailable' },
    { name: 'a call refused as over the rate limit, which was not carried out', faults: { refuseWith: 429 as const }, kind: 'unavailable' },
    { name: 'a call whose response is lost, which may have been carried out', faults: { loseAnswers: true }, kind: 'unknown' }
  ]
  FAILURES.forEach(({ name, faults, kind }) => it(`returns ${kind} for ${name}`, async () => {
    service.faults.set(faults)
    expect(await store.transact(put('a', 'x'))).to.have.nested.property('val.kind', kind)
    expect(state.range({ key: 'a' })).to.have.length(kind === 'unknown' ? 1 : 0)
  }))

  /**
   * Guards against requests that are sent to a server for two seconds after its entry was removed. A process starts and
   * becomes leader, and a server leaves. If the process took its first contact for the store becoming reachable again, it
   * would treat the removal as a possible expiry of the server's lease and delay it, for itself and for all that follow
   * it.
   */
  it('does not count its first contact as the store becoming reachable again, but a later one', async () => {
    await store.get('a')
    expect(store.reachableSinceMs()).to.equal(-Infinity)
    service.faults.set({ refuseWith: 503 })
    await store.get('a')
    expect(store.reachableSinceMs()).to.equal(Infinity)
    await service.faults.reset()
    await store.get('a')
    expect(store.reachableSinceMs()).to.be.within(0, clock.monotonic())
  })

  it('watches all prefixes with one call', async () => {
    await store.transact(put('a/1', 'x'))
    const a = watchUntil('a/', ({ events, snapshots }) => snapshots.length === 1 && events.map(event => event.key).join() === 'a/2,a/2')
    const b = watchUntil('b/', ({ events }) => events.length === 1)
    store.start(stop.signal, [WATCH_ALL])
    while ((service.callCounts.get('/-/kv-watch') ?? 0) === 0) await new Promise(resolve => setImmediate(resolve))
    await store.transact(put('a/2', 'y'))
    await store.transact({ compares: [], writes: [{ kind: 'delete', key: 'a/2' }] })
    await store.transact(put('b/1', 'z'))
    await Promise.all([a, b])
  })

  /**
   * Guards against an instance that keeps an old configuration forever. The store drops its history while the watch is
   * interrupted, so that no event reports the changes made meanwhile. The client must then read everything again.
   */
  it('reads everything again when the store has dropped its history', async () => {
    const readTwice = watchUntil('a/', ({ snapshots }) => snapshots.length >= 2)
    service.faults.set({ forgetHistory: true })
    store.start(stop.signal, [WATCH_ALL])
    await readTwice
  })

  it('resumes a watch at the last revision after its connections were cut', async () => {
    const seen = watchUntil('a/', ({ events, snapshots }) => snapshots.length === 1 && events.map(event => event.key).join() === 'a/1')
    store.start(stop.signal, [WATCH_ALL])
    while ((service.callCounts.get('/-/kv-watch') ?? 0) === 0) await new Promise(resolve => setImmediate(resolve))
    service.listener.dropConnections()
    state.transact({ compares: [], success: [{ kind: 'put', key: 'a/1', value: 'x' }], failure: [] })
    await seen
  })

  describe('after a restore from an older copy', () => {
    const putIfUnchanged = (key: string, equals: number, value: string): Transaction => ({ compares: [{ key, target: 'mod', equals }], writes: [{ kind: 'put', key, value }] })

    /** Guards against two processes that both own one record: the store assigns a revision again, and a condition on it holds by chance. */
    it('does not send a condition of an earlier era', async () => {
      await store.transact(put('other', 'x'))
      const copy = state.snapshot()
      const written = (await store.transact(put('mine', 'before'))).unwrap()
      state.restore(copy)
      await store.transact(put('mine', 'of another'))
      expect((await store.transact(putIfUnchanged('mine', written.revision, 'after'))).unwrap().succeeded).to.equal(false)
      expect((await store.get('mine')).unwrap()).to.include({ value: 'of another' })
    })

    /** Guards against a false success: the condition was sent in one era and held by chance in the next. */
    it('reports the outcome of a write as unknown when it was sent before the restore and answered after it', async () => {
      const copy = state.snapshot()
      const written = (await store.transact(put('mine', 'before'))).unwrap()
      state.restore(copy)
      state.transact({ compares: [], success: [{ kind: 'put', key: 'mine', value: 'of another' }], failure: [] })
      expect(await store.transact(putIfUnchanged('mine', written.revision, 'after'))).to.have.nested.property('val.kind', 'unknown')
    })

    /** Guards against a leader that continues under a lease number that the store has since granted to another process. */
    it('neither renews, writes under nor revokes a lease of an earlier era', async () => {
      const copy = state.snapshot()
      const lease = (await store.grantLease(60)).unwrap()
      state.restore(copy)
      const others = state.grantLease(60).unwrap()
      await store.get('anything')
      expect(await store.renewLease(lease)).to.have.nested.property('val.kind', 'lease-lost')
      expect(await store.transact(put('mine', 'x', lease))).to.have.nested.property('val.kind', 'lease-lost')
      expect((await store.revokeLease(lease)).ok).to.equal(true)
      expect(state.leases().map(({ id }) => id)).to.deep.equal([others.id])
    })

    it('reports a lease as lost when the renewal was for another process\'s lease of the same number', async () => {
      const copy = state.snapshot()
      const lease = (await store.grantLease(60)).unwrap()
      state.restore(copy)
      state.grantLease(60).unwrap()
      expect(await store.renewLease(lease)).to.have.nested.property('val.kind', 'lease-lost')
    })

    /** Guards against a leader that no instance follows, because each claim in the new history counts as older than the last one in the old. */
    it('returns revisions that are greater than all of the earlier era', async () => {
      const copy = state.snapshot()
      const before = (await store.transact(put('a', 'x'))).unwrap().revision
      state.restore(copy)
      expect((await store.transact(put('a', 'y'))).unwrap().revision).to.be.greaterThan(before)
      expect(Number.isSafeInteger((await store.get('a')).unwrap()!.modRevision)).to.equal(true)
    })

    /** Guards against changes that are never reported: the new history has passed the revision at which the watch resumes. */
    it('reads everything again even if the new history has passed the last known revision of the old', async () => {
      const copy = state.snapshot()
      await store.transact(put('w/lost', 'x'))
      const seen = watchUntil('w/', ({ snapshots }) => snapshots.at(-1)?.join() === 'w/new')
      const started = watchUntil('w/', ({ snapshots }) => snapshots.length > 0)
      store.start(stop.signal, [WATCH_ALL])
      await started
      state.restore(copy)
      state.transact({ compares: [], success: [{ kind: 'put', key: 'w/new', value: 'y' }], failure: [] })
      state.transact({ compares: [], success: [{ kind: 'put', key: 'w/new', value: 'z' }], failure: [] })
      await store.get('anything')
      await seen
    })
  })
})
