import { expect } from 'chai'
import { chooseAdapterPlace, spareAdapters } from '../adapterPlacement'
import type { AdapterHolder, HeldAdapter } from '../adapterPlacement'

const held = (adapter: string, changes: Partial<HeldAdapter> = {}): HeldAdapter => ({ model: 'm', adapter, rate: 0, isInUse: false, ...changes })
const holder = (id: string, adapters: HeldAdapter[], changes: Partial<AdapterHolder> = {}): AdapterHolder => ({ id, load: 0, places: 2, models: ['m'], adapters, ...changes })

describe('where an adapter is loaded', () => {
  it('is where it is already', () => {
    expect(chooseAdapterPlace([holder('idle', []), holder('has', [held('a1')], { load: 9 })], 'm', 'a1')).to.deep.equal({ id: 'has', evict: undefined })
  })

  it('is the least loaded engine with a free place', () => {
    expect(chooseAdapterPlace([holder('busy', [], { load: 5 }), holder('calm', [held('a2')])], 'm', 'a1')).to.deep.equal({ id: 'calm', evict: undefined })
  })

  it('takes the place of the one that is asked for least, of those not in use', () => {
    const full = holder('full', [held('a2', { rate: 0.1, isInUse: true }), held('a3', { rate: 0.5 })])
    const other = holder('other', [held('a4', { rate: 0.2 }), held('a5', { rate: 0.9 })])
    expect(chooseAdapterPlace([full, other], 'm', 'a1')).to.deep.equal({ id: 'other', evict: { model: 'm', adapter: 'a4' } })
  })

  it('is nowhere while all places are in use', () => {
    expect(chooseAdapterPlace([holder('full', [held('a2', { isInUse: true }), held('a3', { isInUse: true })])], 'm', 'a1')).to.equal(undefined)
  })
})

describe('adapters loaded ahead of their first request', () => {
  const names = (): readonly string[] => ['a1', 'a2', 'a3', 'a4', 'a5']

  it('fill free places, each adapter once, roomiest engine first', () => {
    const holders = [holder('one', [held('a1')]), holder('two', [])]
    expect(spareAdapters(holders, ['one', 'two'], names)).to.deep.equal([
      { id: 'two', model: 'm', adapter: 'a2' },
      { id: 'one', model: 'm', adapter: 'a3' }
    ])
  })

  it('leave engines alone that are busy or full', () => {
    const holders = [holder('full', [held('a1'), held('a2')]), holder('busy', [])]
    expect(spareAdapters(holders, ['full'], names)).to.deep.equal([])
  })
})
