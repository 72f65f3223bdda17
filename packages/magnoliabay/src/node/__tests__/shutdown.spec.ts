import { expect } from 'chai'
import { createVirtualClock } from '../clock/virtual'
import { createEntryHarness, errorOf, waitUntil } from '../entry/__tests__/harness'
import { createSilentLogger } from '../logger'
import { createShutdown } from '../shutdown'

describe('shutdown', () => {
  // The process gets SIGTERM, and again a second later. It leaves locate first, serves callers that hold its
  // address for as long as they may, then drains, and does everything once.
  it('goes in order, waits out kept addresses, and happens once', async () => {
    const clock = createVirtualClock()
    const log: string[] = []
    const step = (name: string) => async (): Promise<void> => { log.push(`${name} at ${clock.monotonic()}`) }
    const shutdown = createShutdown({
      clock,
      logger: createSilentLogger(),
      locateKeepMs: 30_000,
      drainMs: 60_000,
      steps: { leave: step('leave'), handOver: step('hand over'), drain: step('drain'), finish: step('finish') }
    })
    const first = shutdown()
    await clock.advance(1000)
    const second = shutdown()
    await clock.advance(40_000)
    await Promise.all([first, second])
    expect(log).to.deep.equal(['leave at 0', 'hand over at 0', 'drain at 30000', 'finish at 30000'])
  })

  // The store is dark and a peer is gone: steps that need them never end. The instance still stops.
  it('is not kept by steps that hang or fail', async () => {
    const clock = createVirtualClock()
    const log: string[] = []
    const shutdown = createShutdown({
      clock,
      logger: createSilentLogger(),
      locateKeepMs: 1000,
      drainMs: 1000,
      steps: {
        leave: () => new Promise(() => {}),
        handOver: () => Promise.reject(new Error('no peer')),
        drain: async () => { log.push('drain') },
        finish: () => new Promise(() => {})
      }
    })
    const ended = shutdown()
    await clock.advance(60_000)
    await ended
    expect(log).to.deep.equal(['drain'])
  })

  // Streams are open when the instance begins to leave, and callers that hold its address still come. All
  // are answered to their end; each new answer tells its caller to connect elsewhere next.
  it('answers open streams and late callers to the end', async () => {
    const rig = await createEntryHarness({ engines: [{ tokenMs: 1 }] })
    const { entry, member } = rig.entries[0]!
    const ask = () => rig.chat(0, 'go on [tokens=150]', { stream: true })
    const early = Array.from({ length: 10 }, ask)
    await waitUntil(() => rig.fleet.engines[0]!.state.records().requests.length === 10)
    member.leaving = true
    const late = await Promise.all(Array.from({ length: 10 }, ask))
    const closed = entry.close(600_000)
    const answers = [...await Promise.all(early), ...late]
    await closed
    expect(answers.filter(answer => answer.isCut || !answer.text.endsWith('data: [DONE]\n\n'))).to.deep.equal([])
    expect(late.map(answer => answer.headers.connection)).to.deep.equal(late.map(() => 'close'))
    await rig.close()
  })

  // A stream outlasts the bound on the drain: its caller gets a typed error in place of a silent cut.
  it('ends what outlasts the bound with a typed failure', async () => {
    const rig = await createEntryHarness({ engines: [{ tokenMs: 1 }], limits: { deadlineMs: 600_000, engineGapMs: 600_000 } })
    const open = rig.chat(0, 'endless [tokens=100000]', { stream: true, max_tokens: 100_000 })
    await waitUntil(() => (rig.fleet.engines[0]!.state.records().requests[0]?.tokens ?? 0) > 3)
    const closed = rig.entries[0]!.entry.close(60_000)
    rig.clock.elapse(61_000)
    const answer = await open
    expect([errorOf(answer)?.code, errorOf(answer)?.not_run, answer.isCut]).to.deep.equal(['shutting_down', false, true])
    rig.clock.elapse(2000)
    await closed
    await rig.close()
  })
})
