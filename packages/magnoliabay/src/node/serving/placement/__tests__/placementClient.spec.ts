import { expect } from 'chai'
import { createVirtualClock } from '../../../clock/virtual'
import type { VirtualClock } from '../../../clock/virtual'
import { createSilentLogger } from '../../../logger'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import { memberRecord, serverOf } from '../../__tests__/fixtures'
import { createServerList } from '../../serverList'
import type { ServerList } from '../../serverList'
import type { BackendServer } from '../../types'
import { placementCall } from '../messages'
import type { PlacementReply, PlacementRequest } from '../messages'
import { createPlacementClient } from '../placementClient'
import type { ModelWaitResult } from '../placementClient'

interface Harness {
  clock: VirtualClock
  servers: ServerList
  asked: PlacementRequest[]
  leader: { reply: PlacementReply, id: string | undefined }
  isIsolated: { value: boolean }
  isShuttingDown: { value: boolean }
  /** Waits for a model for at most `maxWaitMs`; returns the result and the time that it took. */
  waitFor (maxWaitMs: number): Promise<{ awaited: ModelWaitResult, tookMs: number }>
}

function createHarness (reply: PlacementReply): Harness {
  const clock = createVirtualClock()
  const logger = createSilentLogger()
  const network = createMemoryNetwork({ clock })
  const peers = network.join(memberRecord('me'))
  const leader: Harness['leader'] = { reply, id: 'leader' }
  const asked: PlacementRequest[] = []
  network.join(memberRecord('leader')).serve(placementCall, req => {
    asked.push(req)
    return leader.reply
  })
  const servers = createServerList({ decode: (_key, text) => JSON.parse(text) as BackendServer, idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => -60_000, clock, logger })
  const isIsolated = { value: false }
  const isShuttingDown = { value: false }
  const client = createPlacementClient({ peers, servers, leader: () => leader.id, isServerResponding: () => true, isIsolated: () => isIsolated.value, clock, logger })
  return {
    clock,
    servers,
    asked,
    leader,
    isIsolated,
    isShuttingDown,
    waitFor: async maxWaitMs => {
      const sinceMs = clock.monotonic()
      const awaited = await client.waitForModel({ model: 'a', adapter: undefined, service: 'llm', maxWaitMs, signal: new AbortController().signal, isShuttingDown: () => isShuttingDown.value, excludedProcesses: new Set(), unavailableProcesses: () => new Set() })
      return { awaited, tookMs: clock.monotonic() - sinceMs }
    }
  }
}

const addServerWithModel = ({ servers }: Harness): void =>
  servers.put({ key: 'e1', value: JSON.stringify(serverOf('e1', { service: 'llm', models: [{ name: 'a', version: 1, adapters: [] }] })) })

async function resultWithin<T> (harness: Harness, ms: number, promise: Promise<T>): Promise<T | undefined> {
  let result: T | undefined
  promise.then(value => { result = value })
  await harness.clock.advance(ms)
  return result
}

describe('placement client', () => {
  it('stops waiting as soon as a server has the model', async () => {
    const harness = createHarness({ kind: 'coming', inMs: 1500 })
    const waiting = harness.waitFor(12_000)
    await harness.clock.advance(1300)
    addServerWithModel(harness)
    expect((await resultWithin(harness, 10, waiting))?.awaited.kind).to.equal('ready')
  })

  /**
   * Guards against a caller that has waited for a model for seconds and is cut off without a response.
   * 1. It calls an instance that is about to stop or has just been asked to. 2. Its model is not loaded when the
   * instance's grace period ends, and waiting requests are closed with all connections. 3. It was not refused in time
   * to retry elsewhere. The instance then logs requests-cut-by-shutdown, with this request among the waiting ones.
   */
  it('stops waiting if the process would end before a request that begins now', async () => {
    const harness = createHarness({ kind: 'coming', inMs: 6000 })
    const waiting = harness.waitFor(12_000)
    await harness.clock.advance(1300)
    harness.isShuttingDown.value = true
    expect((await resultWithin(harness, 410, waiting))?.awaited.kind).to.equal('closing')
  })

  it('does not wait if the model would be loaded too late', async () => {
    const harness = createHarness({ kind: 'coming', inMs: 8000 })
    expect(await resultWithin(harness, 10, harness.waitFor(1750))).to.deep.include({ awaited: { kind: 'not-in-time', inMs: 8000 } })
    expect(harness.asked).to.deep.equal([{ model: 'a', adapter: undefined, waitedMs: 0, patienceMs: 1750, unavailable: [] }])
  })

  it('keeps waiting if the leader is briefly unknown', async () => {
    const harness = createHarness({ kind: 'coming', inMs: 500 })
    harness.leader.id = undefined
    const waiting = harness.waitFor(1750)
    await harness.clock.advance(100)
    harness.leader.id = 'leader'
    await harness.clock.advance(900)
    addServerWithModel(harness)
    expect((await resultWithin(harness, 10, waiting))?.awaited.kind).to.equal('ready')
  })

  it('stops at once if this instance is isolated', async () => {
    const harness = createHarness({ kind: 'unavailable' })
    harness.isIsolated.value = true
    expect((await resultWithin(harness, 10, harness.waitFor(12_000)))?.awaited.kind).to.equal('no-orderer')
  })
})
