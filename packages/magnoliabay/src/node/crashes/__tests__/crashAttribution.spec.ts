/** Instances that tell each other of crashes, over a network in memory and in virtual time. */
import { createDirectStore, createKvState } from '@magnoliabay/standins'
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemoryNetwork } from '../../members/memoryNetwork'
import { rankHomeInstances } from '../../members'
import { Err } from '../../result'
import { memberRecord } from '../../serving/__tests__/fixtures'
import type { Store } from '../../store'
import { createCrashAttribution } from '../crashAttribution'
import type { CrashAttribution, CrashAttributionOptions } from '../crashAttribution'
import { createRequestGuard } from '../requestGuard'
import { suspectsOf } from '../suspects'
import type { RequestSuspects } from '../suspects'

const RETENTION_MS = 60_000
const VERSION = 'v1'

interface Fixture {
  clock: VirtualClock
  network: MemoryNetwork
  join (id: string, options?: Partial<CrashAttributionOptions>): CrashAttribution
}

function createFixture (): Fixture {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  return {
    clock,
    network,
    join: (id, options = {}) => {
      const peers = network.join(memberRecord(id))
      const crashes = createCrashAttribution({ peers, hasCrashed: async () => true, crashesToBlame: 2, retentionMs: RETENTION_MS, clock, logger: createSilentLogger(), ...options })
      crashes.start(new AbortController().signal)
      return crashes
    }
  }
}

const requestWith = (sharedParts: readonly string[], fingerprint: string, team = 't'): RequestSuspects => suspectsOf({ service: 's', team, sharedParts, fingerprint })
const isRefused = async (crashes: CrashAttribution, req: RequestSuspects): Promise<boolean> => (await crashes.admit(req, 'r')).kind === 'refused'

describe('crash attribution', () => {
  let fixture: Fixture
  beforeEach(() => { fixture = createFixture() })
  const crash = (crashes: CrashAttribution, req: RequestSuspects, process: string): void => {
    const nowMs = fixture.clock.monotonic()
    crashes.recordCrash(req, { process, softwareVersion: VERSION, sentMs: nowMs - 1, brokeMs: nowMs, trial: [] })
  }

  // Two instances each see one server die while it runs the same request, and every notice is delivered twice. Two crashes
  // lead to a refusal at every instance; a duplicate notice of one crash does not.
  it('counts each crash in the fleet once, and forgets crashes after the retention time', async () => {
    fixture.network.setDeliveryPolicy(() => [1, 5])
    const all = ['a', 'b', 'c'].map(id => fixture.join(id))
    const deadly = requestWith([], 'f')
    crash(all[0]!, deadly, 'server-1@1')
    await fixture.clock.advance(100)
    expect(await Promise.all(all.map(crashes => isRefused(crashes, deadly)))).to.deep.equal([false, false, false])
    crash(all[1]!, deadly, 'server-2@1')
    await fixture.clock.advance(10)
    expect(await Promise.all(all.map(crashes => isRefused(crashes, deadly)))).to.deep.equal([true, true, true])
    await fixture.clock.advance(RETENTION_MS + 1000)
    expect(await Promise.all(all.map(crashes => isRefused(crashes, deadly)))).to.deep.equal([false, false, false])
  })

  // Ten instances have requests with a part at one server; each tells its own crash of it.
  it('counts a crash that ten instances tell as one', async () => {
    const all = Array.from({ length: 10 }, (_, index) => fixture.join(`i${index}`))
    all.forEach((crashes, index) => crash(crashes, requestWith(['part'], `f${index}`), 'server-1@1'))
    await fixture.clock.advance(20)
    expect(all.map(crashes => crashes.accusationOf(requestWith(['part'], 'new')))).to.deep.equal(all.map(() => undefined))
  })

  it('clears a request whose answer began, keeps one that crashed servers, and bounds the number of records', async () => {
    const crashes = fixture.join('d', { maxCrashes: 4 })
    const innocent = requestWith([], 'innocent')
    crash(crashes, innocent, 'server-1@1')
    crashes.recordBegun(innocent, VERSION)
    await fixture.clock.advance(100)
    crash(crashes, innocent, 'server-2@1')
    expect(await isRefused(crashes, innocent)).to.equal(false)
    const guilty = requestWith([], 'guilty')
    for (const server of ['server-3@1', 'server-4@1']) {
      await fixture.clock.advance(100)
      crash(crashes, guilty, server)
    }
    expect(await isRefused(crashes, guilty)).to.equal(true)
    for (const index of Array.from({ length: 20 }, (_, each) => each)) {
      await fixture.clock.advance(100)
      crash(crashes, requestWith([], `later-${index}`), `later-${index}@1`)
    }
    expect(await isRefused(crashes, guilty), 'crashes that are needed stay').to.equal(true)
  })

  // An answer on another instance clears a part; a late notice of the crash must not bring the suspicion back.
  it('clears a part for all instances, also where the crash is told again', async () => {
    const [one, other] = [fixture.join('a'), fixture.join('b')]
    crash(one, requestWith(['part'], 'f1'), 'server-1@1')
    await fixture.clock.advance(10)
    other.recordBegun(requestWith(['part'], 'f2'), VERSION)
    await fixture.clock.advance(100)
    crash(one, requestWith(['part'], 'f3'), 'server-2@1')
    await fixture.clock.advance(10)
    fixture.join('c')
    await fixture.clock.advance(10)
    expect([one, other].map(crashes => crashes.accusationOf(requestWith(['part'], 'f4')))).to.deep.equal([undefined, undefined])
  })

  // The crash of a server with another software version says nothing of an answer of this one.
  it('is not cleared by an answer of servers with another software version, while those that crashed are there', async () => {
    const crashes = fixture.join('a')
    for (const server of ['server-1@1', 'server-2@1']) {
      await fixture.clock.advance(100)
      crash(crashes, requestWith(['part'], server), server)
    }
    crashes.recordBegun(requestWith(['part'], 'new'), 'v2')
    expect(crashes.accusationOf(requestWith(['part'], 'other'))).to.not.equal(undefined)
    crashes.recordBegun(requestWith(['part'], 'newer'), VERSION)
    expect(crashes.accusationOf(requestWith(['part'], 'other'))).to.equal(undefined)
  })

  // All instances refuse at once what may be tried by one; without one that grants, several would try.
  it('lets one request of the fleet at a time try a part', async () => {
    const all = ['a', 'b', 'c', 'd'].map(id => fixture.join(id))
    for (const server of ['server-1@1', 'server-2@1']) {
      await fixture.clock.advance(100)
      crash(all[0]!, requestWith(['part'], server), server)
    }
    await fixture.clock.advance(10)
    const guards = all.map((crashes, index) => createRequestGuard(crashes, requestWith(['part'], `try-${index}`), `try-${index}`))
    const admitted = Promise.all(guards.map(guard => guard.admit()))
    await fixture.clock.advance(1000)
    expect((await admitted).filter(accusation => accusation === undefined)).to.have.length(1)
  })

  // An instance that is cut off from all others would let its own requests try what is blamed.
  it('lets no request try a part on an instance that reaches none of those that grant trials', async () => {
    const ids = ['a', 'b', 'c', 'd', 'e', 'f']
    const all = ids.map(id => fixture.join(id))
    for (const server of ['server-1@1', 'server-2@1']) {
      await fixture.clock.advance(100)
      crash(all[0]!, requestWith(['part'], server), server)
    }
    await fixture.clock.advance(10)
    ids.forEach(one => ids.filter(other => one < other).forEach(other => fixture.network.partition(one, other)))
    const admitted = Promise.all(all.map((crashes, index) => crashes.admit(requestWith(['part'], `try-${index}`), 'r')))
    await fixture.clock.advance(2000)
    expect((await admitted).filter(({ kind }) => kind === 'trial').length).to.be.at.most(2)
  })

  describe('with a store', () => {
    const blameAt = async (crashes: CrashAttribution): Promise<void> => {
      for (const server of ['server-1@1', 'server-2@1']) {
        await fixture.clock.advance(100)
        crash(crashes, requestWith(['part'], server), server)
      }
      await fixture.clock.advance(100)
    }
    const part = requestWith(['part'], 'new')
    let store: Store
    /** Instances whose writes the store rejects. */
    let rejected: Set<string>
    beforeEach(() => {
      store = createDirectStore(createKvState({ clock: fixture.clock }), { clock: fixture.clock })
      rejected = new Set()
    })
    const storeOf = (id: string): Store => ({ ...store, transact: async (...args) => rejected.has(id) ? Err({ kind: 'unavailable', message: 'rejected' }) : await store.transact(...args) })
    const restartAll = async (ids: readonly string[]): Promise<CrashAttribution> => {
      ids.forEach(id => fixture.network.kill(id))
      const restarted = fixture.join('restarted', { store })
      await fixture.clock.advance(100)
      return restarted
    }

    // A restart of all instances forgets what was blamed.
    it('knows what is blamed after all instances have restarted', async () => {
      await blameAt(fixture.join('a', { store }))
      fixture.network.kill('a')
      const restarted = fixture.join('b', { store })
      await fixture.clock.advance(100)
      expect(restarted.accusationOf(part)).to.deep.equal({ suspects: ['s/part:part'], servers: ['server-1', 'server-2'] })
    })

    // The store rejects the write as a part is blamed. All requests with it are refused from then on, so that no further crash
    // leads to another write, and a restart of all instances lets it crash servers again.
    it('knows after a restart of all instances what was blamed while the store rejected writes', async () => {
      const first = fixture.join('a', { store: storeOf('a') })
      rejected.add('a')
      await blameAt(first)
      rejected.clear()
      await fixture.clock.advance(5000)
      const restarted = await restartAll(['a'])
      expect(restarted.accusationOf(part)?.suspects).to.deep.equal(['s/part:part'])
    })

    // The store rejects the removal as a part is freed: a restart of all instances would refuse sound requests.
    it('knows after a restart of all instances what was freed while the store rejected writes', async () => {
      const first = fixture.join('a', { store: storeOf('a') })
      await blameAt(first)
      rejected.add('a')
      first.recordBegun(part, VERSION)
      await fixture.clock.advance(100)
      rejected.clear()
      await fixture.clock.advance(5000)
      const restarted = await restartAll(['a'])
      expect(restarted.accusationOf(part)).to.equal(undefined)
    })

    // The instance that writes for all ends before it has written, and no other does in its place.
    it('writes what is blamed in place of an instance that ended before it had written', async () => {
      const ids = ['a', 'b', 'c']
      ids.forEach(id => rejected.add(id))
      const all = ids.map(id => fixture.join(id, { store: storeOf(id) }))
      await blameAt(all[0]!)
      const writer = rankHomeInstances({ members: () => ids.map(id => memberRecord(id)) }, '/magnoliabay/crash-suspects/')[0]!
      ids.filter(id => id !== writer).forEach(id => rejected.delete(id))
      fixture.network.kill(writer)
      fixture.network.setRegistered(writer, false)
      await fixture.clock.advance(5000)
      const restarted = await restartAll(ids)
      expect(restarted.accusationOf(part)?.suspects).to.deep.equal(['s/part:part'])
    })

    // The platform's store refuses a transaction of more than 32 entries, so that none of the suspects would be stored.
    it('stores more suspects than one transaction takes', async () => {
      const writes: number[] = []
      const bounded = storeOf('a')
      const counting: Store = {
        ...bounded,
        transact: async (transaction, ...rest) => {
          writes.push(transaction.writes.length)
          return transaction.writes.length > 32 ? Err({ kind: 'invalid', message: 'too many' }) : await bounded.transact(transaction, ...rest)
        }
      }
      const first = fixture.join('a', { store: counting })
      rejected.add('a')
      const parts = Array.from({ length: 40 }, (_, index) => `part-${index}`)
      for (const name of parts) {
        for (const server of ['server-1@1', 'server-2@1']) {
          await fixture.clock.advance(1)
          crash(first, requestWith([name], `${name} ${server}`), `${name}-${server}`)
        }
      }
      rejected.clear()
      await fixture.clock.advance(5000)
      const restarted = await restartAll(['a'])
      expect(parts.filter(name => restarted.accusationOf(requestWith([name], 'new')) !== undefined)).to.have.length(parts.length)
      expect(writes.length, 'writes').to.be.at.most(6)
    })

    // A server crashes on a trial and on another request with the part, which is told first. Without the trial in the store,
    // a restart of all instances lets a further one through at once.
    it('knows the trials that were made after all instances have restarted', async () => {
      const first = fixture.join('a', { store })
      await blameAt(first)
      const trial = await first.admit(part, 'trial')
      expect(trial.kind).to.equal('trial')
      const nowMs = fixture.clock.monotonic()
      const cut = { process: 'server-3@1', softwareVersion: VERSION, sentMs: nowMs - 1, brokeMs: nowMs }
      first.recordCrash(requestWith(['part'], 'queued'), { ...cut, trial: [] })
      await fixture.clock.advance(100)
      first.recordCrash(part, { ...cut, trial: ['s/part:part'] })
      await fixture.clock.advance(100)
      expect((await first.admit(requestWith(['part'], 'next'), 'next')).kind).to.equal('refused')
      const restarted = await restartAll(['a'])
      expect((await restarted.admit(requestWith(['part'], 'other'), 'other')).kind).to.equal('refused')
    })

    // The wall clock of the machines jumps ahead. All that is stored then looks too old to count, and is removed.
    it('knows what is blamed after a restart of all instances with clocks that have jumped', async () => {
      await blameAt(fixture.join('a', { store }))
      const jumped: VirtualClock = { ...fixture.clock, now: () => fixture.clock.now() + 2 * RETENTION_MS }
      fixture.network.kill('a')
      const restarted = fixture.join('restarted', { store, clock: jumped })
      await fixture.clock.advance(100)
      expect(restarted.accusationOf(part)?.suspects).to.deep.equal(['s/part:part'])
    })

    // An instance that is cut off from the others misses notices.
    it('tells an instance that reaches the store but no other instance, and frees a part there too', async () => {
      const [one, apart] = [fixture.join('a', { store }), fixture.join('b', { store })]
      fixture.network.partition('a', 'b')
      await blameAt(one)
      expect(apart.accusationOf(part)).to.not.equal(undefined)
      one.recordBegun(part, VERSION)
      await fixture.clock.advance(100)
      expect(apart.accusationOf(part)).to.equal(undefined)
    })

    // Without crashes, the store must not be called.
    it('writes when something is blamed and when it is freed, and at no other time', async () => {
      let writes = 0
      const counting: Store = { ...store, transact: async (...args) => { writes += 1; return await store.transact(...args) } }
      const all = ['a', 'b', 'c'].map(id => fixture.join(id, { store: counting }))
      crash(all[0]!, requestWith(['other'], 'f'), 'server-0@1')
      all.forEach(crashes => crashes.recordBegun(requestWith(['other'], 'g'), VERSION))
      await fixture.clock.advance(1000)
      expect(writes).to.equal(0)
      await blameAt(all[0]!)
      expect(writes).to.equal(1)
      all[1]!.recordBegun(part, VERSION)
      await fixture.clock.advance(1000)
      expect(writes).to.equal(2)
    })

    // A damaged record, or one of another program, must neither blame anything nor stop the instance.
    it('ignores records that it cannot read', async () => {
      await store.transact({ compares: [], writes: ['', '{}', '{"suspect":"s/part:part","service":"s","crashes":[{}]}'].map((value, index) => ({ kind: 'put', key: `/magnoliabay/crash-suspects/x${index}`, value })) })
      const crashes = fixture.join('a', { store })
      await fixture.clock.advance(100)
      expect(crashes.accusationOf(part)).to.equal(undefined)
    })
  })
})
