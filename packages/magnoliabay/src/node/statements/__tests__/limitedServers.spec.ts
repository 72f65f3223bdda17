import { createRandom } from '@magnoliabay/standins'
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import { createLimitedServers } from '../limitedServers'
import type { LimitedServers } from '../limitedServers'
import { createRateBucket } from '../rateBucket'
import { memberRecord } from '../../serving/__tests__/fixtures'

const TURN_MS = 10
const SERVER = 's1@1'

describe('requests to limited servers', () => {
  /** Guards against instances that together ask the home so often that control costs more than it may. */
  const CASES = [{ size: 9, limit: 1 }, { size: 420, limit: 1 }, { size: 420, limit: 60 }]
  CASES.forEach(({ size, limit }) => it(`that can go elsewhere are asked for a few times for each that is granted, by ${size} instances at ${limit} a second`, async () => {
    const clock = createVirtualClock()
    const random = createRandom(1)
    let asked = 0
    const network = createMemoryNetwork({ clock, deliveryPolicy: ({ type }) => { asked += type === 'call' ? 1 : 0; return [1] } })
    const instances: LimitedServers[] = Array.from({ length: size }, (_, index) => {
      const peers = network.join(memberRecord(`m${index}`))
      const members = (): ReturnType<typeof peers.members> => allMembers
      return createLimitedServers({ peers: { ...peers, members }, limits: { limitOf: () => limit }, clock, logger: createSilentLogger(), random })
    })
    const allMembers = Array.from({ length: size }, (_, index) => memberRecord(`m${index}`))
    let granted = 0
    const durationMs = 10_000
    for (let leftMs = durationMs; leftMs > 0; leftMs -= TURN_MS) {
      instances.forEach(async instance => { if ((await instance.admit(SERVER, true)).freeInMs === 0) granted += 1 })
      await clock.advance(TURN_MS)
    }
    const perSecond = durationMs / 1000
    // The first turn asks once at each instance.
    expect((asked - size) / perSecond).to.be.at.most(Math.max(20, 3 * limit) + limit)
    expect(granted / perSecond).to.be.within(0.8 * limit, limit + 0.5)
  }))

  /** Guards against a caller that is refused for many seconds because others were, though the server has a place. */
  it('that nobody else can take are asked for again within a second, and find a place', async () => {
    const clock = createVirtualClock()
    const network = createMemoryNetwork({ clock })
    const allMembers = Array.from({ length: 420 }, (_, index) => memberRecord(`m${index}`))
    const instances = allMembers.map(member => createLimitedServers({ peers: { ...network.join(member), members: () => allMembers }, limits: { limitOf: () => 1 }, clock, logger: createSilentLogger(), random: () => 0.99 }))
    await Promise.all([...instances.slice(0, 3).map(instance => instance.admit(SERVER, false)), clock.advance(10)])
    const refused = await instances[2]!.admit(SERVER, false)
    expect(refused.freeInMs).to.be.within(1, 1000)
    await clock.advance(refused.freeInMs)
    const asked = instances[2]!.admit(SERVER, false)
    await clock.advance(10)
    expect((await asked).freeInMs).to.equal(0)
  })

  it('are granted at the rate after a burst of two, and told when those refused before have come back', () => {
    const bucket = createRateBucket({ burst: 2, initialTokens: 2, nowMs: 0 })
    expect([bucket.take(2, 0, 0), bucket.take(2, 0, 0)].map(({ freeInMs }) => freeInMs)).to.deep.equal([0, 0])
    expect([bucket.take(2, 0, 0), bucket.take(2, 0, 0), bucket.take(2, 100, 0)].map(({ retryInMs }) => retryInMs)).to.deep.equal([500, 1000, 1400])
    expect(bucket.take(2, 100, 1)).to.deep.equal({ freeInMs: 900, retryInMs: 900 })
    expect(bucket.take(2, 500, 0).freeInMs).to.equal(0)
    expect(bucket.take(2, 600, 0).freeInMs).to.equal(400)
  })
})
