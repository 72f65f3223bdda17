import { expect } from 'chai'
import { createBrittleServer, createSimulatedEntries, instanceId } from './support/simulatedEntries'
import type { BrittleServer, SimulatedEntries } from './support/simulatedEntries'
import type { CallerResponse } from './support/callerResponse'
import { serverOf } from './fixtures'

/** Values of the platform's rules. */
const CONTACT_TIMEOUT_MS = 3000
const maxFalls = (servers: number): number => 2 + servers / 10

/** Part of the servers' room that callers have to get: servers that get nothing don't fall over either. */
const MIN_USED_ROOM = 0.5

const SERVERS = 3
const SLOTS = 6
const WORK_MS = 300
/** Requests a second that the servers can work on together. */
const CAPACITY = SERVERS * SLOTS * 1000 / WORK_MS

interface Played {
  brittle: BrittleServer[]
  startMs: number
  responses: CallerResponse[]
}

/** Sends requests of each path in turn through all instances, at a multiple of what the servers can work on. */
async function press (fleet: SimulatedEntries, ratio: number, durationMs: number, paths: readonly string[]): Promise<CallerResponse[]> {
  const responses: CallerResponse[] = []
  const intervalMs = 1000 / (CAPACITY * ratio)
  const size = fleet.entries.size
  for (let sentMs = 0; sentMs < durationMs; sentMs += intervalMs) {
    responses.push(fleet.entries.get(instanceId((responses.length * 7) % size))!.send(paths[responses.length % paths.length]!))
    await fleet.clock.advance(intervalMs)
  }
  return responses
}

function addBrittleServers (fleet: SimulatedEntries, maxRejections: number): BrittleServer[] {
  return Array.from({ length: SERVERS }, (_, index) => {
    const server = createBrittleServer({ clock: fleet.clock, slots: SLOTS, queue: 1, maxRejections, workMs: WORK_MS, downMs: 3000 })
    fleet.addServer(serverOf(`s${index}`, { address: `10.0.0.${index + 1}:1`, slots: SLOTS }), server.answer)
    return server
  })
}

async function play (size: number, ratio: number, maxRejections: number, prepare: (fleet: SimulatedEntries) => void = () => {}): Promise<Played> {
  const fleet = createSimulatedEntries({ size })
  const brittle = addBrittleServers(fleet, maxRejections)
  await fleet.clock.advance(1000)
  const startMs = fleet.clock.monotonic()
  await press(fleet, 0.5, CONTACT_TIMEOUT_MS, ['/write/1'])
  prepare(fleet)
  const responses = await press(fleet, ratio, 12_000, ['/write/1', '/read/1'])
  return { brittle, startMs, responses }
}

const countFalls = ({ brittle, startMs }: Played): number => brittle.flatMap(({ falls }) => falls).filter(atMs => atMs > startMs + CONTACT_TIMEOUT_MS).length
const servedShare = ({ responses }: Played): number => responses.filter(({ status }) => status === 200).length / responses.length

describe('servers that say that they are brittle', () => {
  /** Guards against servers that fall over, because all instances together send more than they can take. */
  const CASES = [{ size: 9, ratio: 2, maxRejections: 3 }, { size: 9, ratio: 4, maxRejections: 0 }, { size: 420, ratio: 2, maxRejections: 3 }]
  it('do not fall over while callers press beyond their room', async () => {
    const failed: string[] = []
    for (const { size, ratio, maxRejections } of CASES) {
      const played = await play(size, ratio, maxRejections)
      if (servedShare(played) * ratio < MIN_USED_ROOM) failed.push(`${size} instances, ${ratio} times the room: served ${servedShare(played).toFixed(2)}`)
      if (countFalls(played) > maxFalls(SERVERS)) failed.push(`${size} instances, ${ratio} times the room, ${maxRejections} rejections a second: ${countFalls(played)} falls`)
    }
    expect(failed).to.deep.equal([])
  }).timeout(600_000)

  /**
   * Guards against servers that fall over after all instances have restarted: none knows then what servers had stated, nor what the
   * requests of earlier processes still take there.
   */
  it('do not fall over once instances that have all restarted, twice, are in touch again', async () => {
    const failed: string[] = []
    for (const { size, ratio, maxRejections } of CASES.slice(0, 2)) {
      const fleet = createSimulatedEntries({ size })
      const brittle = addBrittleServers(fleet, maxRejections)
      await fleet.clock.advance(1000)
      await press(fleet, 0.5, CONTACT_TIMEOUT_MS, ['/write/1'])
      for (const restart of ['first', 'second']) {
        Array.from({ length: size }, (_entry, index) => index).forEach(index => {
          fleet.kill(instanceId(index))
          fleet.start(index)
        })
        const restartedMs = fleet.clock.monotonic()
        const responses = await press(fleet, ratio, 12_000, ['/write/1', '/read/1'])
        if (servedShare({ brittle, startMs: 0, responses }) * ratio < MIN_USED_ROOM) failed.push(`${ratio} times the room, ${restart} restart: served too few`)
        const falls = brittle.flatMap(server => server.falls).filter(atMs => atMs > restartedMs)
        const inTouch = falls.filter(atMs => atMs > restartedMs + CONTACT_TIMEOUT_MS).length
        if (inTouch > maxFalls(SERVERS)) failed.push(`${ratio} times the room, ${maxRejections} rejections a second, ${restart} restart: ${inTouch} falls`)
      }
    }
    expect(failed).to.deep.equal([])
  }).timeout(600_000)
})
