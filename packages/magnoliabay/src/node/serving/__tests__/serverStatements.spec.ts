import { expect } from 'chai'
import { answered, createSimulatedEntries, instanceId, maxArrivalsWithin } from './support/simulatedEntries'
import type { SimulatedEntries } from './support/simulatedEntries'
import { serverOf } from './fixtures'

/** Values of the platform's rules. */
const CONTACT_TIMEOUT_MS = 3000
const LIMIT_SPAN_MS = 4000
const maxInSpan = (requestsPerSecond: number): number => requestsPerSecond * LIMIT_SPAN_MS / 1000 * 1.5 + 5

const FLEET_SIZES = [9, 420]
const REQUESTS_PER_SECOND = 50

/** Sends requests at a steady rate through all instances in turn; returns what callers got. */
async function sendSteadily (fleet: SimulatedEntries, durationMs: number, path = '/read/1'): Promise<Array<number | undefined>> {
  const sent = []
  const intervalMs = 1000 / REQUESTS_PER_SECOND
  for (let sentMs = 0; sentMs < durationMs; sentMs += intervalMs) {
    const ids = [...fleet.entries.keys()]
    sent.push(fleet.entries.get(ids[sent.length % ids.length]!)!.send(path))
    await fleet.clock.advance(intervalMs)
  }
  await fleet.clock.advance(1000)
  return sent.map(({ status }) => status)
}

describe('a server that states a rate limit in its answers', () => {
  /** Guards against a server getting more requests than it takes, because what its answers state is not read. */
  FLEET_SIZES.forEach(size => it(`gets no more than that from ${size} instances together, and the rest goes elsewhere`, async () => {
    const fleet = createSimulatedEntries({ size })
    const limited = fleet.addServer(serverOf('limited', { address: '10.0.0.1:1' }), () => answered({ 'server-limit': '1' }))
    fleet.addServer(serverOf('other', { address: '10.0.0.2:1' }), () => answered())
    await fleet.clock.advance(1000)
    const statuses = await sendSteadily(fleet, 15_000)
    const statedMs = limited.arrivals[0]!.atMs
    expect(statuses.filter(status => status !== 200)).to.have.length(0)
    expect(maxArrivalsWithin(limited.arrivals, LIMIT_SPAN_MS, statedMs + CONTACT_TIMEOUT_MS)).to.be.at.most(maxInSpan(1))
    expect(fleet.entries.has(instanceId(0))).to.equal(true)
  }))
})
