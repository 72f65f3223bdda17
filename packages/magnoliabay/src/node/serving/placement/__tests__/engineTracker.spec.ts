import { expect } from 'chai'
import type { EngineReport } from '../../engineCalls'
import type { EngineSpec } from '../../types'
import { createEngineTracker, freeWeightsMb } from '../engineTracker'

const spec: EngineSpec = {
  slots: 8,
  kvTokens: 1000,
  weightMemoryMb: 210,
  adapterCapacity: 2,
  storeLoadsPerSecond: 1,
  models: new Map(['a', 'b', 'c', 'd'].map(name => [name, { name, weightsMb: 70, adapters: [], adapterMb: 0, loadMs: { memory: 1, disk: 2, store: 3 } }]))
}

const loadedModels = (...names: string[]): EngineReport['models'] => names.map(name => ({ name, version: 1, adapters: [] }))

function report (changes: Partial<EngineReport>): EngineReport {
  return { bornMs: undefined, isOrderPending: false, acceptedOrders: 0, waiting: 0, running: 0, models: [], loadingAdapters: [], copies: { memory: [], disk: [] }, ...changes }
}

describe('engine tracker', () => {
  /**
   * Guards against an engine that is ordered to load more than its memory holds and crashes with all running requests.
   * 1. A load is accepted. 2. The engine's entry shows it as done. 3. A report arrives that was made before: it counts the
   * order, but shows the engine as busy and without the model. Applied, it would show memory for one model more.
   */
  it('keeps the state from an entry when an older report arrives', () => {
    const tracker = createEngineTracker()
    tracker.applyReport('e', report({ acceptedOrders: 1, models: loadedModels('a', 'b') }), 0)
    tracker.recordAccepted('e', { operation: 'load', model: 'c', sentMs: 0, expectedMs: 10 })
    tracker.recordDone('e', loadedModels('a', 'b', 'c'))
    expect(tracker.applyReport('e', report({ acceptedOrders: 2, isOrderPending: true, models: loadedModels('a', 'b') }), 20)).to.equal(false)
    expect(freeWeightsMb(tracker.get('e'), spec)).to.equal(0)
  })

  /**
   * Guards against the same failure, caused by an even older report. 1. Orders are accepted. 2. One is rejected, and the
   * number of accepted orders is requested again. 3. The report counts fewer orders than were accepted, so it is older.
   */
  it('rejects a report that counts fewer orders than were accepted', () => {
    const tracker = createEngineTracker()
    tracker.applyReport('e', report({ acceptedOrders: 3, models: loadedModels('a', 'b') }), 0)
    tracker.recordAccepted('e', { operation: 'load', model: 'c', sentMs: 0, expectedMs: 10 })
    tracker.forgetAcceptedOrders('e')
    expect(tracker.applyReport('e', report({ acceptedOrders: 3, models: loadedModels('a', 'b') }), 20)).to.equal(false)
    expect(tracker.get('e').acceptedOrders).to.equal(undefined)
  })

  it('accepts after some time that an engine has restarted under the same id', () => {
    const tracker = createEngineTracker()
    tracker.applyReport('e', report({ acceptedOrders: 9 }), 0)
    expect(tracker.applyReport('e', report({ acceptedOrders: 0 }), 100)).to.equal(false)
    expect(tracker.applyReport('e', report({ acceptedOrders: 0 }), 2200)).to.equal(true)
  })

  it('counts the memory of a model that is being loaded or unloaded', () => {
    const tracker = createEngineTracker()
    tracker.applyReport('e', report({ models: loadedModels('a', 'b') }), 0)
    tracker.recordAccepted('e', { operation: 'load', model: 'c', sentMs: 0, expectedMs: 10 })
    expect(freeWeightsMb(tracker.get('e'), spec)).to.equal(0)
    tracker.recordDone('e', loadedModels('a', 'b', 'c'))
    tracker.recordAccepted('e', { operation: 'unload', model: 'a', sentMs: 0, expectedMs: 10 })
    expect(freeWeightsMb(tracker.get('e'), spec)).to.equal(0)
    tracker.recordDone('e', loadedModels('b', 'c'))
    expect(freeWeightsMb(tracker.get('e'), spec)).to.equal(70)
  })

  it('does not know the number of accepted orders while an order of another instance is pending', () => {
    const tracker = createEngineTracker()
    tracker.applyReport('e', report({ acceptedOrders: 4, isOrderPending: true }), 0)
    expect(tracker.get('e').acceptedOrders).to.equal(undefined)
    tracker.applyReport('e', report({ acceptedOrders: 4 }), 300)
    expect(tracker.get('e').acceptedOrders).to.equal(4)
  })
})
