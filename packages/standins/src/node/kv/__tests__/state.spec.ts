import { expect } from 'chai'
import fc from 'fast-check'
import { createVirtualClock } from 'magnoliabay/clock/virtual'
import { createKvState, prefixEnd } from '..'
import type { KvCompare, KvErrorKind, KvEvent, KvOperation, KvState } from '..'

const SEED = 4201

function put (key: string, value = 'v', leaseId?: string): KvOperation {
  return { kind: 'put', key, value, leaseId }
}

function write (state: KvState, ...success: KvOperation[]): number {
  return state.transact({ compares: [], success, failure: [] }).unwrap().revision
}

function keys (state: KvState, prefix = ''): readonly string[] {
  return state.range({ key: prefix, end: prefixEnd(prefix) }).map(entry => entry.key)
}

describe('key-value state: transactions', () => {
  it('assigns one revision to all writes of a transaction, and none to a transaction that writes nothing', () => {
    const state = createKvState({ clock: createVirtualClock() })
    const revision = write(state, put('a'), put('b'))
    const entries = state.range({ key: 'a', end: prefixEnd('') })
    expect(entries.map(entry => entry.modRevision)).to.deep.equal([revision, revision])
    expect(write(state, { kind: 'delete', range: { key: 'absent' } })).to.equal(revision)
  })

  const COMPARES: ReadonlyArray<{ name: string, compare: KvCompare, holds: boolean }> = [
    { name: 'the create revision of an absent key equals 0', compare: { key: 'z', target: 'create', result: 'equal', operand: 0 }, holds: true },
    { name: 'the create revision stays the same after a change', compare: { key: 'a', target: 'create', result: 'equal', operand: 2 }, holds: true },
    { name: 'the mod revision equals that of the last change', compare: { key: 'a', target: 'mod', result: 'equal', operand: 3 }, holds: true },
    { name: 'the mod revision no longer equals that of an earlier change', compare: { key: 'a', target: 'mod', result: 'equal', operand: 2 }, holds: false },
    { name: 'the version counts changes', compare: { key: 'a', target: 'version', result: 'greater', operand: 1 }, holds: true },
    { name: 'the value equals the last one written', compare: { key: 'a', target: 'value', result: 'equal', operand: 'two' }, holds: true },
    { name: 'no comparison of the value of an absent key holds', compare: { key: 'z', target: 'value', result: 'not-equal', operand: 'x' }, holds: false }
  ]

  COMPARES.forEach(({ name, compare, holds }) => it(`evaluates comparisons: ${name}`, () => {
    const state = createKvState({ clock: createVirtualClock() })
    write(state, put('a', 'one'))
    write(state, put('a', 'two'))
    const done = state.transact({ compares: [compare], success: [put('then')], failure: [put('else')] }).unwrap()
    expect(done.succeeded).to.equal(holds)
    expect(keys(state)).to.deep.equal(['a', holds ? 'then' : 'else'])
  }))

  const REFUSED: ReadonlyArray<{ operations: KvOperation[], kind: KvErrorKind }> = [
    { operations: [put('a'), put('a')], kind: 'duplicate-key' },
    { operations: [put('a'), put('b', 'v', '99')], kind: 'lease-not-found' },
    { operations: [put('a', 'x'.repeat(1_048_577))], kind: 'too-large' },
    { operations: [put('')], kind: 'empty-key' }
  ]

  REFUSED.forEach(({ operations, kind }) => it(`refuses the whole transaction as ${kind}`, () => {
    const state = createKvState({ clock: createVirtualClock() })
    const done = state.transact({ compares: [], success: operations, failure: [] })
    expect(done.val).to.deep.equal({ kind })
    expect(keys(state)).to.deep.equal([])
  }))

  it('returns the same ranges as a naive list', () => {
    const key = fc.constantFrom('a', 'a/1', 'a/2', 'a0', 'b', 'b/1')
    const step = fc.record({ kind: fc.constantFrom('put', 'delete'), key })
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), key, (steps, prefix) => {
      const state = createKvState({ clock: createVirtualClock() })
      const naive = new Set<string>()
      steps.forEach(({ kind, key }) => {
        write(state, kind === 'put' ? put(key) : { kind: 'delete', range: { key } })
        if (kind === 'put') naive.add(key)
        else naive.delete(key)
      })
      expect(keys(state, prefix)).to.deep.equal([...naive].filter(name => name.startsWith(prefix)).sort())
    }), { seed: SEED })
  })
})

describe('key-value state: leases', () => {
  it('deletes every key of a lease when it expires, in one revision', async () => {
    const clock = createVirtualClock()
    const state = createKvState({ clock })
    const lease = state.grantLease(5).unwrap().id
    const before = write(state, put('a', 'v', lease), put('b', 'v', lease), put('c'))
    await clock.advance(4999)
    expect(keys(state)).to.deep.equal(['a', 'b', 'c'])
    await clock.advance(1)
    expect(keys(state)).to.deep.equal(['c'])
    expect(state.revision()).to.equal(before + 1)
    expect(state.renewLease(lease).val).to.deep.equal({ kind: 'lease-not-found' })
  })

  it('keeps the keys of a lease that is renewed in time, and a key that moved to another lease', async () => {
    const clock = createVirtualClock()
    const state = createKvState({ clock })
    const renewed = state.grantLease(5).unwrap().id
    const expiring = state.grantLease(5).unwrap().id
    write(state, put('renewed', 'v', renewed))
    write(state, put('moved', 'v', expiring))
    write(state, put('moved', 'v', renewed))
    await clock.advance(4000)
    expect(state.renewLease(renewed).unwrap().secondsLeft).to.equal(5)
    await clock.advance(4000)
    expect(keys(state)).to.deep.equal(['moved', 'renewed'])
    expect(state.leases().map(lease => lease.id)).to.deep.equal([renewed])
  })
})

describe('key-value state: watches', () => {
  it('delivers the events since a revision, then new ones, and only those in its range', () => {
    const state = createKvState({ clock: createVirtualClock() })
    write(state, put('a/1'))
    const since = write(state, put('a/2'))
    write(state, put('b/1'))
    const seen: string[] = []
    const record = (events: readonly KvEvent[]): void => events.forEach(({ kind, entry }) => seen.push(`${kind} ${entry.key}`))
    const watch = state.watch({ key: 'a/', end: prefixEnd('a/') }, since, record)
    if (watch.kind === 'watching') record(watch.backlog)
    write(state, { kind: 'delete', range: { key: 'a/', end: prefixEnd('a/') } })
    if (watch.kind === 'watching') watch.cancel()
    write(state, put('a/3'))
    expect(seen).to.deep.equal(['put a/2', 'delete a/1', 'delete a/2'])
  })

  it('reports a watch as compacted if it starts before the oldest event kept', () => {
    const state = createKvState({ clock: createVirtualClock(), historyEvents: 10 })
    Array.from({ length: 30 }, (_unused, index) => write(state, put(`k${index}`)))
    expect(state.watch({ key: 'k1' }, 2, () => {}).kind).to.equal('compacted')
    expect(state.watch({ key: 'k1' }, state.revision(), () => {}).kind).to.equal('watching')
  })
})
