import { expect } from 'chai'
import type { EngineReport } from '../../engineCalls'
import type { EngineSpec } from '../../types'
import { createEngineBook, freeWeightsMb } from '../engineStates'

const spec: EngineSpec = {
  slots: 8,
  kvTokens: 1000,
  weightMemoryMb: 210,
  adapterCapacity: 2,
  storeLoadsPerSecond: 1,
  models: new Map(['a', 'b', 'c', 'd'].map(name => [name, { name, weightsMb: 70, adapters: [], adapterMb: 0, loadMs: { memory: 1, disk: 2, store: 3 } }]))
}

const held = (...names: string[]): EngineReport['models'] => names.map(name => ({ name, version: 1, adapters: [] }))

function report (changes: Partial<EngineReport>): EngineReport {
  return { bornMs: undefined, isOrderPending: false, acceptedOrders: 0, waiting: 0, running: 0, models: [], loadingAdapters: [], copies: { memory: [], disk: [] }, ...changes }
}

describe('engine book', () => {
  /**
   * An engine ends up ordered to load more than it holds, and crashes with all that it runs.
   * 1. A load is accepted. 2. The engine's entry shows it done. 3. A report arrives that the engine made before that:
   * it counts the order, but shows the engine busy and without the model. Taken over, it would show room for one more.
   */
  it('keeps what the entry told when a report from before arrives', () => {
    const book = createEngineBook()
    book.takeReport('e', report({ acceptedOrders: 1, models: held('a', 'b') }), 0)
    book.noteAccepted('e', { operation: 'load', model: 'c', sentMs: 0, expectedMs: 10 })
    book.noteDone('e', held('a', 'b', 'c'))
    expect(book.takeReport('e', report({ acceptedOrders: 2, isOrderPending: true, models: held('a', 'b') }), 20)).to.equal(false)
    expect(freeWeightsMb(book.entry('e'), spec)).to.equal(0)
  })

  /**
   * The same, by a report that is older still. 1. Orders are accepted. 2. One is turned back, and the count is asked
   * for anew. 3. The answer counts fewer orders than were accepted: it is from before them.
   */
  it('takes no report that counts fewer orders than were accepted', () => {
    const book = createEngineBook()
    book.takeReport('e', report({ acceptedOrders: 3, models: held('a', 'b') }), 0)
    book.noteAccepted('e', { operation: 'load', model: 'c', sentMs: 0, expectedMs: 10 })
    book.doubt('e')
    expect(book.takeReport('e', report({ acceptedOrders: 3, models: held('a', 'b') }), 20)).to.equal(false)
    expect(book.entry('e').orders).to.equal(undefined)
  })

  it('believes in the end that an engine has started anew under its id', () => {
    const book = createEngineBook()
    book.takeReport('e', report({ acceptedOrders: 9 }), 0)
    expect(book.takeReport('e', report({ acceptedOrders: 0 }), 100)).to.equal(false)
    expect(book.takeReport('e', report({ acceptedOrders: 0 }), 2200)).to.equal(true)
  })

  it('charges a model that is being loaded or unloaded', () => {
    const book = createEngineBook()
    book.takeReport('e', report({ models: held('a', 'b') }), 0)
    book.noteAccepted('e', { operation: 'load', model: 'c', sentMs: 0, expectedMs: 10 })
    expect(freeWeightsMb(book.entry('e'), spec)).to.equal(0)
    book.noteDone('e', held('a', 'b', 'c'))
    book.noteAccepted('e', { operation: 'unload', model: 'a', sentMs: 0, expectedMs: 10 })
    expect(freeWeightsMb(book.entry('e'), spec)).to.equal(0)
    book.noteDone('e', held('b', 'c'))
    expect(freeWeightsMb(book.entry('e'), spec)).to.equal(70)
  })

  it('knows no count while an order of another instance is under way', () => {
    const book = createEngineBook()
    book.takeReport('e', report({ acceptedOrders: 4, isOrderPending: true }), 0)
    expect(book.entry('e').orders).to.equal(undefined)
    book.takeReport('e', report({ acceptedOrders: 4 }), 300)
    expect(book.entry('e').orders).to.equal(4)
  })
})
