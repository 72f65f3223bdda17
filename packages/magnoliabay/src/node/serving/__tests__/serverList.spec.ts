import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createServerList } from '../serverList'
import type { ServerList } from '../serverList'
import type { BackendServer } from '../types'
import { serverOf } from './fixtures'

interface Harness {
  clock: VirtualClock
  servers: ServerList
  reachableSinceMs: { value: number }
  /** Failure domains. */
  evacuated: Set<string>
}

function createHarness (): Harness {
  const clock = createVirtualClock()
  const reachableSinceMs = { value: -60_000 }
  const evacuated = new Set<string>()
  const servers = createServerList({
    decode: (key, text) => text === 'spoilt' ? undefined : serverOf(key, JSON.parse(text) as Partial<BackendServer>),
    idOf: key => key,
    isEvacuated: domain => evacuated.has(domain),
    storeReachableSinceMs: () => reachableSinceMs.value,
    clock,
    logger: createSilentLogger()
  })
  return { clock, servers, reachableSinceMs, evacuated }
}

const usable = ({ servers }: Harness): string[] => servers.usable('app').map(server => server.id)

describe('listed backend servers', () => {
  it('get no new requests once they drain, are removed, or a peer reports that they are leaving', () => {
    const harness = createHarness()
    harness.servers.snapshot(['s1', 's2', 's3', 's4'].map(key => ({ key, value: '{}' })))
    harness.servers.put({ key: 's1', value: '{"state":"draining"}' })
    harness.servers.remove('s2')
    harness.servers.recordLeaving('s3@1', 'peer')
    expect(usable(harness)).to.deep.equal(['s4'])
  })

  it('count as new processes when restarted under the same id', () => {
    const harness = createHarness()
    harness.servers.snapshot([{ key: 's1', value: '{}' }])
    harness.servers.recordLeaving('s1@1', 'answer')
    harness.servers.put({ key: 's1', value: '{"bornMs":2}' })
    expect(usable(harness)).to.deep.equal(['s1'])
  })

  /**
   * Failure: requests find no server though all are running.
   * 1. The store is unreachable, and entries in it expire. 2. It is reachable again, and reports the removals. 3. Within
   * two seconds running servers have written their entries again; only those still missing then are removed.
   */
  it('stay for two seconds when their entries expired while the store was unreachable', async () => {
    const harness = createHarness()
    harness.servers.snapshot(['s1', 's2'].map(key => ({ key, value: '{}' })))
    harness.reachableSinceMs.value = harness.clock.monotonic()
    harness.servers.snapshot([])
    expect(usable(harness)).to.deep.equal(['s1', 's2'])
    await harness.clock.advance(1000)
    harness.servers.put({ key: 's1', value: '{}' })
    await harness.clock.advance(1100)
    expect(usable(harness)).to.deep.equal(['s1'])
  })

  /**
   * Failure: requests reach a server for three seconds after its entry was removed.
   * 1. The store responds to the leader again, which delays a removal for two seconds as a possible expiry. 2. Meanwhile
   * it orders a load there, and the server, which still runs for a while, reports its models. 3. The report was taken for
   * a return of the entry, and the removal was cancelled.
   */
  it('are removed when their entry is not restored, though they report their models', async () => {
    const harness = createHarness()
    harness.servers.snapshot([{ key: 's1', value: '{}' }])
    harness.reachableSinceMs.value = harness.clock.monotonic()
    harness.servers.remove('s1')
    await harness.clock.advance(1500)
    harness.servers.updateModels(harness.servers.get('s1')!, [{ name: 'a', version: 1, adapters: [] }])
    await harness.clock.advance(600)
    expect(usable(harness)).to.deep.equal([])
  })

  it('that were draining are removed at once when their entries expire', () => {
    const harness = createHarness()
    harness.servers.snapshot([{ key: 's1', value: '{"state":"draining"}' }])
    harness.reachableSinceMs.value = Infinity
    harness.servers.remove('s1')
    expect(harness.servers.all()).to.deep.equal([])
  })

  it('keep their previous entry when a new one cannot be read, and are not listed without one', () => {
    const harness = createHarness()
    harness.servers.snapshot([{ key: 's1', value: '{}' }, { key: 's2', value: 'spoilt' }])
    harness.servers.put({ key: 's1', value: 'spoilt' })
    expect(usable(harness)).to.deep.equal(['s1'])
  })

  /**
   * Failure: a request reaches a server that left long ago.
   * 1. One server drains, another is removed. 2. The store is restored from an older copy, and lists both as ready.
   */
  it('are not brought back by a store that is restored from an older copy', async () => {
    const harness = createHarness()
    const copy = ['s1', 's2', 's3'].map(key => ({ key, value: '{}' }))
    harness.servers.snapshot(copy)
    harness.servers.put({ key: 's1', value: '{"state":"draining"}' })
    harness.servers.remove('s2')
    await harness.clock.advance(5000)
    harness.reachableSinceMs.value = harness.clock.monotonic()
    harness.servers.snapshot(copy)
    expect(usable(harness)).to.deep.equal(['s3'])
    harness.servers.put({ key: 's2', value: '{}' })
    expect(usable(harness)).to.deep.equal(['s3', 's2'])
  })

  it('get no new requests while their failure domain is evacuated', () => {
    const harness = createHarness()
    harness.servers.snapshot([{ key: 's1', value: '{}' }, { key: 's2', value: '{"failureDomain":"b"}' }])
    harness.evacuated.add('a')
    expect(usable(harness)).to.deep.equal(['s2'])
    harness.evacuated.clear()
    expect(usable(harness)).to.deep.equal(['s1', 's2'])
  })

  /** Guards against all instances sending at once to a server that has just started: followers must know that it is cold too. */
  it('are cold for as long as their entry says, also at instances that follow the list', async () => {
    const [follower, harness] = [createHarness(), createHarness()]
    harness.servers.snapshot([{ key: 's1', value: '{}' }])
    harness.servers.takeChanges()
    harness.servers.put({ key: 's1', value: '{"coldMs":3000}' })
    follower.servers.replaceAll(harness.servers.takeChanges()!.changed)
    await follower.clock.advance(2900)
    expect(follower.servers.coldMs('s1@1')).to.be.greaterThan(0)
    await follower.clock.advance(200)
    expect(follower.servers.coldMs('s1@1')).to.equal(0)
  })

  /**
   * Failure: a request reaches a server three seconds after it has left.
   * 1. The store rejects an instance's calls; peers report that a server is removed. 2. The store responds again, and the
   * watch resumes where it was, with heartbeats of that server from before its end.
   */
  it('are not brought back by late watch events after a peer has reported their removal', async () => {
    const harness = createHarness()
    harness.servers.snapshot(['s1', 's2'].map(key => ({ key, value: '{}' })))
    harness.servers.applyChanges({ changed: [], holding: [], gone: ['s1'] })
    await harness.clock.advance(3000)
    harness.reachableSinceMs.value = harness.clock.monotonic()
    harness.servers.put({ key: 's1', value: '{}' })
    expect(usable(harness)).to.deep.equal(['s2'])
    await harness.clock.advance(3100)
    harness.servers.put({ key: 's1', value: '{}' })
    expect(usable(harness)).to.deep.equal(['s2', 's1'])
  })
})
