import { createKvState, createMetadataStoreServer } from '@magnoliabay/standins'
import type { KvState, MetadataStoreServer } from '@magnoliabay/standins'
import { expect } from 'chai'
import { createSystemClock, sleep } from '../../clock'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import { memberRecord } from '../../serving/__tests__/fixtures'
import { createStoredOrigins } from '../../serving/versions/storedOrigins'
import type { StoredOrigins } from '../../serving/versions/storedOrigins'
import { createMetadataStore } from '../metadataStore'
import type { MetadataStore } from '../metadataStore'

const WRITTEN_MS = 700

describe('stream origins in the platform\'s store', () => {
  const clock = createSystemClock()
  const logger = createSilentLogger()
  let state: KvState
  let server: MetadataStoreServer
  let stores: MetadataStore[]

  const start = (id: string): StoredOrigins => {
    const store = createMetadataStore({ address: server.address, clock, logger })
    stores.push(store)
    return createStoredOrigins({ store, peers: createMemoryNetwork({ clock }).join(memberRecord(id)), clock, logger })
  }
  const add = (origins: StoredOrigins, key: string): void => origins.add([{ key, service: 'app', softwareVersion: 'v1', keepMs: 55_000 }], { isUrgent: false })

  beforeEach(async () => {
    stores = []
    state = createKvState({ clock })
    server = await createMetadataStoreServer({ state, clock, pageItems: 2 })
  })
  afterEach(async () => {
    await Promise.all(stores.map(store => store.close()))
    await server.close()
    state.close()
  })

  /** Guards against records under a lease of an earlier era, whose number the store may have granted to another process since. */
  it('are found by another process, also after a restore of the store from a copy without them', async () => {
    const copy = state.snapshot()
    const writer = start('a')
    add(writer, 'one')
    await sleep(clock, WRITTEN_MS)
    state.restore(copy)
    state.grantLease(60)
    add(writer, 'two')
    await sleep(clock, 2 * WRITTEN_MS)
    const reader = start('b')
    expect((await reader.find('one')).kind).to.equal('found')
    expect((await reader.find('two')).kind).to.equal('found')
    expect((await reader.find('three')).kind).to.equal('absent')
  })

  /** Guards against a lookup that waits for a store that does not answer, or takes it for one without the record. */
  it('are unreadable within a second and a half while the store does not answer or refuses', async () => {
    const reader = start('a')
    await server.faults.set({ refuseWith: 429 })
    expect((await reader.find('one')).kind).to.equal('unreadable')
    await server.faults.set({ refuseWith: 0, silent: true })
    await sleep(clock, 1000)
    const startedMs = clock.monotonic()
    expect((await reader.find('one')).kind).to.equal('unreadable')
    expect(clock.monotonic() - startedMs).to.be.at.most(1500)
  })
})
