import { createDirectStore, createKvFaults, createKvState } from '@magnoliabay/standins'
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemberRecord } from '../../members'
import { MAX_SYNC_AGE_MS } from '../withdrawalFreshness'
import { createKeyring } from '../keyring'
import { KEY_RECORDS_PREFIX, createCallerKey } from '../keys'

function setUp () {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const kv = createKvState({ clock })
  const faults = createKvFaults()
  const store = createDirectStore(kv, { clock, faults })
  const spawn = (id: string) => {
    const record: MemberRecord = { id, incarnation: `${id}#1`, startedAtMs: 0, region: 'r', failureDomain: 'd', peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0 }
    const keyring = createKeyring({ store, peers: network.join(record), clock, logger: createSilentLogger() })
    keyring.start(new AbortController().signal)
    return keyring
  }
  const put = async (key: string, value: string) => await store.transact({ compares: [], writes: [{ kind: 'put', key: KEY_RECORDS_PREFIX + key, value }] })
  return { clock, network, kv, faults, store, spawn, put }
}

async function setUpWithKey () {
  const harness = setUp()
  const created = createCallerKey('depot', 0)
  await harness.put(created.record.id, JSON.stringify(created.record))
  const a = harness.spawn('a')
  const b = harness.spawn('b')
  await harness.clock.advance(100)
  const codeAt = (keyring: typeof a): string => {
    const result = keyring.authenticate(`Bearer ${created.key}`)
    return result.ok ? `team ${result.val.team}` : result.val.code
  }
  const storedAtMs = (): number | undefined => JSON.parse(harness.kv.range({ key: KEY_RECORDS_PREFIX + created.record.id })[0]!.value).withdrawnAtMs
  return { ...harness, a, b, keyId: created.record.id, key: created.key, record: created.record, codeAt, storedAtMs }
}

describe('keyring', () => {
  it('admits callers by the digest of their key, and only with a whole key', async () => {
    const { a, key, keyId, codeAt } = await setUpWithKey()
    expect(codeAt(a)).to.equal('team depot')
    const wrong = [undefined, 'Bearer', `Bearer ${key}x`, `Bearer mb_${keyId}_x`, `Basic ${key}`, key]
    const codes = wrong.map(header => a.authenticate(header)).map(result => result.err && result.val.code)
    expect(codes).to.deep.equal(['missing_key', ...Array.from({ length: 5 }, () => 'invalid_key')])
  })

  // A key is withdrawn at one instance. The others learn of it from that peer or, where the notice is lost, from the
  // next sync with any peer, or from the store. They learn nothing only where all of these are unavailable.
  const WAYS: ReadonlyArray<{ name: string, storeDown: boolean, noticesLost: boolean, withinMs: number }> = [
    { name: 'peers and store', storeDown: false, noticesLost: false, withinMs: 10 },
    { name: 'store down', storeDown: true, noticesLost: false, withinMs: 10 },
    { name: 'store down and the notice lost', storeDown: true, noticesLost: true, withinMs: 4100 }
  ]
  WAYS.forEach(({ name, storeDown, noticesLost, withinMs }) => it(`applies a withdrawal at every instance: ${name}`, async () => {
    const { clock, network, faults, a, b, keyId, codeAt } = await setUpWithKey()
    if (storeDown) faults.set({ down: 'refused' })
    if (noticesLost) network.setDeliveryPolicy(({ type: leg }) => leg === 'notice' ? [] : [1])
    a.withdraw({ keyId, atMs: 5 })
    await clock.advance(withinMs)
    expect([codeAt(a), codeAt(b)]).to.deep.equal(['key_withdrawn', 'key_withdrawn'])
  }))

  // The store is unavailable when the key is withdrawn. A member that joins then learns of it from a peer. Once the
  // store answers again, the withdrawal is written there, so that it outlives the instances that know it.
  it('sends a withdrawal made during an outage to new members, and afterwards to the store', async () => {
    const { clock, faults, a, keyId, spawn, codeAt, storedAtMs } = await setUpWithKey()
    faults.set({ down: 'refused' })
    a.withdraw({ keyId, atMs: 5 })
    const late = spawn('late')
    await clock.advance(1000)
    faults.set({ down: 'no' })
    await clock.advance(500)
    expect(codeAt(late)).to.equal('key_withdrawn')
    await clock.advance(20_000)
    expect(storedAtMs()).to.equal(5)
  })

  // The operator's record of a withdrawn key is overwritten by an old one without the withdrawal: it stays withdrawn.
  it('never reverts a withdrawal', async () => {
    const { clock, a, b, keyId, record, put, codeAt } = await setUpWithKey()
    await put(keyId, JSON.stringify({ ...record, withdrawnAtMs: 7 }))
    await clock.advance(100)
    await put(keyId, JSON.stringify(record))
    await clock.advance(100)
    expect([codeAt(a), codeAt(b)]).to.deep.equal(['key_withdrawn', 'key_withdrawn'])
  })

  // The instance reaches neither store nor peers, so it cannot learn of withdrawals. After MAX_SYNC_AGE_MS it refuses
  // callers before anything runs, so that they use another instance. When a peer answers again, it first learns what it
  // missed.
  it('refuses callers while cut off from store and peers, and syncs before it admits them again', async () => {
    const { clock, network, faults, a, b, keyId, codeAt } = await setUpWithKey()
    network.partition('a', 'b')
    faults.set({ down: 'refused' })
    await clock.advance(MAX_SYNC_AGE_MS - 3000)
    expect(codeAt(b)).to.equal('team depot')
    a.withdraw({ keyId, atMs: 5 })
    await clock.advance(6000)
    expect(codeAt(b)).to.equal('store_unavailable')
    network.heal('a', 'b')
    const codes: string[] = []
    for (let step = 0; step < 50; step += 1) {
      codes.push(codeAt(b))
      await clock.advance(100)
    }
    expect(new Set(codes)).to.deep.equal(new Set(['store_unavailable', 'key_withdrawn']))
  })

  // All instances restart while the store is away. None has the list of keys, but each has synced with another that has none
  // either: callers were told that their key does not exist, after which they do not try again.
  it('does not call a key unknown before it has the list of keys, and admits it then', async () => {
    const { clock, faults, spawn, codeAt } = await setUpWithKey()
    faults.set({ down: 'refused' })
    const restarted = ['c', 'd'].map(spawn)
    await clock.advance(10_000)
    expect(restarted.map(codeAt)).to.deep.equal(['store_unavailable', 'store_unavailable'])
    faults.set({ down: 'no' })
    await clock.advance(5000)
    expect(restarted.map(codeAt)).to.deep.equal(['team depot', 'team depot'])
  })

  // An instance is cut off while a key is withdrawn, and the others restart while the store is away. What they know is as young
  // as they are: a sync with them does not show that no key has been withdrawn.
  it('does not take a sync with an instance that has just started for proof that no key was withdrawn', async () => {
    const { clock, network, kv, faults, b, record, spawn, codeAt } = await setUpWithKey()
    network.kill('a')
    faults.set({ down: 'refused' })
    const operator = createDirectStore(kv, { clock })
    await operator.transact({ compares: [], writes: [{ kind: 'put', key: KEY_RECORDS_PREFIX + record.id, value: JSON.stringify({ ...record, withdrawnAtMs: 7 }) }] })
    await clock.advance(MAX_SYNC_AGE_MS + 3000)
    expect(codeAt(b)).to.equal('store_unavailable')
    spawn('restarted')
    const codes: string[] = []
    for (let step = 0; step < 100; step += 1) {
      codes.push(codeAt(b))
      await clock.advance(100)
    }
    expect(new Set(codes)).to.deep.equal(new Set(['store_unavailable']))
    faults.set({ down: 'no' })
    await clock.advance(5000)
    expect(codeAt(b)).to.equal('key_withdrawn')
  })

  const MALFORMED: readonly string[] = ['', '{', 'null', '[]', '{"id":"x"}', '{"id":"other","team":"t","digest":"00","createdAtMs":1}', '{"id":1,"team":{},"digest":[]}']
  MALFORMED.forEach(value => it(`ignores a malformed record: ${value}`, async () => {
    const { clock, a, keyId, put, codeAt } = await setUpWithKey()
    await put(keyId, value)
    await put('nobody', value)
    await clock.advance(100)
    expect(codeAt(a)).to.equal('team depot')
    expect(a.authenticate('Bearer mb_nobody_x').err).to.equal(true)
  }))

  // 100 streams of one key are open at two instances when it is withdrawn at one of them. Each is notified once, so
  // that it ends with a typed error; a record deleted from the store ends them as well.
  const ENDS = ['withdrawn', 'deleted'] as const
  ENDS.forEach(end => it(`notifies each open stream once of a key that is ${end}`, async () => {
    const { clock, a, b, keyId, store, codeAt } = await setUpWithKey()
    const notified: string[] = []
    Array.from({ length: 50 }, () => [a, b]).flat().forEach(keyring => keyring.onWithdrawn(id => notified.push(id)))
    if (end === 'withdrawn') a.withdraw({ keyId, atMs: 5 })
    else await store.transact({ compares: [], writes: [{ kind: 'delete', key: KEY_RECORDS_PREFIX + keyId }] })
    await clock.advance(30_000)
    expect(notified).to.deep.equal(Array.from({ length: 100 }, () => keyId))
    expect(codeAt(b)).to.equal(end === 'withdrawn' ? 'key_withdrawn' : 'invalid_key')
  }))
})
