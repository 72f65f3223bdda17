import { expect } from 'chai'
import { answered, createSimulatedEntries, instanceId, streamed } from './support/simulatedEntries'
import type { Partition, SimulatedEntries } from './support/simulatedEntries'
import type { CallerResponse } from './support/callerResponse'
import { serverOf } from './fixtures'

/** Values of the platform's rules. */
const CONTACT_TIMEOUT_MS = 3000
const MIN_SERVED_RATIO = 2 / 3
const maxUnserved = (tries: number): number => 10 + tries / 50

const SERVERS = [1, 2, 3].map(index => serverOf(`s${index}`, { address: `10.0.0.${index}:1`, slots: 64 }))
const PATHS = ['/read/1', '/write/1', '/resumable/1']
/** Requests a second at each instance. */
const RATE = 10
const CUT_MS = 9000
const MODES: Partition[] = ['hang', 'reset', 'refused']

interface Try {
  atMs: number
  at: string
  response: CallerResponse
}

/** Sends requests of all kinds at a steady rate to each instance, and returns the first tries. */
async function sendToEach (fleet: SimulatedEntries, durationMs: number): Promise<Try[]> {
  const tries: Try[] = []
  const ids = [...fleet.entries.keys()]
  const intervalMs = 1000 / RATE
  for (let round = 0; round * intervalMs < durationMs; round += 1) {
    ids.forEach((id, index) => {
      const path = PATHS[(round + index) % PATHS.length]!
      tries.push({ atMs: fleet.clock.monotonic(), at: id, response: fleet.entries.get(id)!.send(path) })
    })
    await fleet.clock.advance(intervalMs)
  }
  await fleet.clock.advance(4000)
  return tries
}

const servedShare = (tries: readonly Try[]): number => tries.filter(({ response }) => response.status === 200).length / tries.length
const unservedCount = (tries: readonly Try[]): number => tries.filter(({ response }) => response.status !== 200).length

function createFleet (size: number): SimulatedEntries {
  const fleet = createSimulatedEntries({ size })
  SERVERS.forEach(server => fleet.addServer(server, ({ path }) => path.startsWith('/resumable/') ? streamed() : answered()))
  return fleet
}

/** Partitions some instances from all servers; returns what was served there and elsewhere, once the contact timeout is over. */
async function playPartition (count: number, mode: Partition): Promise<{ there: Try[], elsewhere: Try[] }> {
  const fleet = createFleet(9)
  await fleet.clock.advance(1000)
  await sendToEach(fleet, 1000)
  const cut = new Set(Array.from({ length: count }, (_, index) => instanceId(index + 1)))
  cut.forEach(id => fleet.partition(id, mode))
  const cutMs = fleet.clock.monotonic()
  const tries = (await sendToEach(fleet, CUT_MS)).filter(({ atMs }) => atMs >= cutMs + CONTACT_TIMEOUT_MS)
  return { there: tries.filter(({ at }) => cut.has(at)), elsewhere: tries.filter(({ at }) => !cut.has(at)) }
}

const isServedLikeOthers = (there: readonly Try[], elsewhere: readonly Try[]): boolean =>
  servedShare(there) >= MIN_SERVED_RATIO * servedShare(elsewhere) || unservedCount(there) <= maxUnserved(there.length + elsewhere.length)

describe('instances that are partitioned from all backend servers', () => {
  const CASES = [1, 6, 8].flatMap(count => MODES.map(mode => ({ count, mode })))

  /** Guards against callers who fail at an instance that cannot reach any server, while other instances reach them all. */
  it('serve callers like the others, whether their connections hang, are reset, or live on while new ones are refused', async () => {
    const failed: string[] = []
    for (const { count, mode } of CASES) {
      const { there, elsewhere } = await playPartition(count, mode)
      if (!isServedLikeOthers(there, elsewhere)) failed.push(`${count} of 9, ${mode}: served ${servedShare(there).toFixed(2)} there, ${servedShare(elsewhere).toFixed(2)} elsewhere`)
    }
    expect(failed).to.deep.equal([])
  })
})
