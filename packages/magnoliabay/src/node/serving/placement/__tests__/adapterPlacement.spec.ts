import { expect } from 'chai'
import { chooseAdapterPlacement, planAdapterPreloads } from '../adapterPlacement'
import type { EngineAdapters, LoadedAdapter } from '../adapterPlacement'

const loaded = (adapter: string, changes: Partial<LoadedAdapter> = {}): LoadedAdapter => ({ model: 'm', adapter, rate: 0, isInUse: false, ...changes })
const engine = (id: string, adapters: LoadedAdapter[], changes: Partial<EngineAdapters> = {}): EngineAdapters => ({ id, load: 0, adapterCapacity: 2, models: ['m'], adapters, ...changes })

describe('adapter placement', () => {
  it('chooses the engine that already has the adapter', () => {
    expect(chooseAdapterPlacement([engine('idle', []), engine('has', [loaded('a1')], { load: 9 })], 'm', 'a1')).to.deep.equal({ id: 'has', evict: undefined })
  })

  it('chooses the least loaded engine with free capacity', () => {
    expect(chooseAdapterPlacement([engine('busy', [], { load: 5 }), engine('calm', [loaded('a2')])], 'm', 'a1')).to.deep.equal({ id: 'calm', evict: undefined })
  })

  it('evicts the least requested adapter of those not in use', () => {
    const full = engine('full', [loaded('a2', { rate: 0.1, isInUse: true }), loaded('a3', { rate: 0.5 })])
    const other = engine('other', [loaded('a4', { rate: 0.2 }), loaded('a5', { rate: 0.9 })])
    expect(chooseAdapterPlacement([full, other], 'm', 'a1')).to.deep.equal({ id: 'other', evict: { model: 'm', adapter: 'a4' } })
  })

  it('chooses no engine while all adapters are in use', () => {
    expect(chooseAdapterPlacement([engine('full', [loaded('a2', { isInUse: true }), loaded('a3', { isInUse: true })])], 'm', 'a1')).to.equal(undefined)
  })
})

describe('adapter preloads', () => {
  const adapterNames = (): readonly string[] => ['a1', 'a2', 'a3', 'a4', 'a5']

  it('fill free capacity, each adapter once, starting with the engine that has the fewest', () => {
    const engines = [engine('one', [loaded('a1')]), engine('two', [])]
    expect(planAdapterPreloads(engines, ['one', 'two'], adapterNames)).to.deep.equal([
      { id: 'two', model: 'm', adapter: 'a2' },
      { id: 'one', model: 'm', adapter: 'a3' }
    ])
  })

  it('skip engines that are busy or full', () => {
    const engines = [engine('full', [loaded('a1'), loaded('a2')]), engine('busy', [])]
    expect(planAdapterPreloads(engines, ['full'], adapterNames)).to.deep.equal([])
  })
})
