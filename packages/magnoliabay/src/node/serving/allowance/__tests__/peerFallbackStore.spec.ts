import { createDirectStore, createKvFaults, createKvState } from '@magnoliabay/standins'
import { expect } from 'chai'
import { createVirtualClock } from '../../../clock/virtual'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import { memberRecord } from '../../__tests__/fixtures'
import { createPeerFallbackStore } from '../peerFallbackStore'
import type { RecordStore } from '../peerFallbackStore'

/** Creates members of which the store refuses all but the last; returns the record store of the first. */
function createHarness (ids: readonly string[]): { home: RecordStore, state: ReturnType<typeof createKvState> } {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const state = createKvState({ clock })
  const stores = ids.map((id, index) => {
    const faults = createKvFaults()
    if (index < ids.length - 1) faults.set({ down: 'refused' })
    const peers = network.join(memberRecord(id))
    return createPeerFallbackStore({ peers, store: createDirectStore(state, { clock, faults }), isStoreUnreachable: () => index < ids.length - 1, peersWithStoreAccess: () => ids.slice(1) })
  })
  const advance = async (): Promise<void> => {
    for (let turn = 0; turn < 50; turn += 1) await clock.advance(20)
  }
  advance()
  return { home: stores[0]!, state }
}

describe('records written through a peer', () => {
  const write = { compares: [], writes: [{ kind: 'put' as const, key: 'spent', value: '1' }] }

  /** Guards against a home whose teams are refused everything because the store refuses the one peer that it asks as well. */
  it('are written when the store refuses the first two peers too', async () => {
    const { home, state } = createHarness(['home', 'one', 'two', 'three'])
    expect((await home.transact(write)).ok).to.equal(true)
    expect(state.range({ key: 'spent' }).map(entry => entry.value)).to.deep.equal(['1'])
  })

  it('fail when none of the peers asked reaches the store', async () => {
    const { home, state } = createHarness(['home', 'one', 'two', 'three', 'four'])
    expect((await home.transact(write)).ok).to.equal(false)
    expect(state.range({ key: 'spent' })).to.have.length(0)
  })
})
