import { expect } from 'chai'
import { createVirtualClock } from 'magnoliabay/clock/virtual'
import { createWeightStore } from '../../weights'
import { createEngineStandIn, expectedText } from '..'
import type { EngineOptions, GenerateRequest, RefusalKind } from '..'

async function setUp (options: Partial<EngineOptions> = {}) {
  const clock = createVirtualClock()
  const weights = createWeightStore({ clock })
  const engine = createEngineStandIn({ id: 'e1', clock, weights, ...options })
  const load = engine.executeOrder({ orderId: 'o', fence: 1, action: 'load', model: 'm', memoryMiB: 1024 })
  await clock.advance(5000)
  await load
  const request = (changes: Partial<GenerateRequest>): GenerateRequest =>
    ({ requestId: 'r', shape: 'chat', model: 'm', prompt: 'hello', priority: 1, headers: {}, ...changes })
  return { clock, engine, request }
}

describe('engine requests', () => {
  it('answers each of many concurrent requests completely with its own tokens', async () => {
    const { clock, engine, request } = await setUp({ capacity: 2, maxRunning: 4 })
    const prompts = Array.from({ length: 12 }, (_unused, index) => `question ${index}`)
    const runs = prompts.map(prompt => engine.submit(request({ prompt, requestId: prompt })).unwrap())
    await clock.advance(5000)
    expect(runs.map(run => run.answer.tokens.join(''))).to.deep.equal(prompts.map(prompt => expectedText({ model: 'm', prompt })))
    expect(runs.every(run => run.record.completed && run.record.tokens === run.answer.tokens.length)).to.equal(true)
    expect(new Set(runs.map(run => run.answer.tokens.join(''))).size).to.equal(prompts.length)
  })

  it('runs the waiting request of the highest priority when a running one is cancelled', async () => {
    const { clock, engine, request } = await setUp({ maxRunning: 1 })
    const submit = (requestId: string, priority: number) => engine.submit(request({ requestId, priority })).unwrap()
    const [first, patient, urgent] = [submit('a', 1), submit('b', 2), submit('c', 0)]
    await clock.advance(12)
    expect(engine.cancel('a')).to.equal(true)
    expect([first, patient, urgent].map(run => run.record.outcome)).to.deep.equal(['cancelled', 'waiting', 'running'])
    expect(await first.waitForToken(first.answer.tokens.length)).to.equal('cut')
    expect(engine.cancel('a')).to.equal(false)
  })

  const REFUSALS: ReadonlyArray<{ kind: RefusalKind, changes: Partial<GenerateRequest>, prepare?: 'leave' | 'refuse' | 'crash' }> = [
    { kind: 'unknown-model', changes: { model: 'other' } },
    { kind: 'unknown-model', changes: { adapter: 'other' } },
    { kind: 'invalid', changes: { prompt: '' } },
    { kind: 'leaving', changes: {}, prepare: 'leave' },
    { kind: 'refusing', changes: {}, prepare: 'refuse' },
    { kind: 'down', changes: {}, prepare: 'crash' }
  ]

  REFUSALS.forEach(({ kind, changes, prepare }) => it(`refuses a request as ${kind} without running it: ${JSON.stringify(changes)}`, async () => {
    const { engine, request } = await setUp()
    if (prepare === 'leave') engine.startDraining()
    if (prepare === 'refuse' || prepare === 'crash') engine.faults.set({ [prepare]: true })
    expect(engine.submit(request(changes)).val).to.deep.equal({ kind })
    expect(engine.records().requests.map(record => [record.outcome, record.startedAtMs])).to.deep.equal([['refused', undefined]])
  }))

  // A poison request kills the process and with it every other request there. The engine restarts by itself after
  // `restartAfterMs`, with nothing loaded.
  it('crashes on a poison prompt, ends all its requests, and restarts with nothing loaded', async () => {
    const { clock, engine, request } = await setUp()
    engine.faults.set({ crashOnPrompt: 'POISON', restartAfterMs: 1000 })
    const other = engine.submit(request({ requestId: 'other' })).unwrap()
    engine.submit(request({ requestId: 'poison', prompt: 'a POISON b' }))
    expect(await other.waitForToken(0)).to.equal('cut')
    expect(engine.records().requests.map(record => record.outcome)).to.deep.equal(['crashed', 'crashed'])
    expect(engine.isDown()).to.equal(true)
    await clock.advance(1000)
    expect([engine.isDown(), engine.state().models]).to.deep.equal([false, []])
  })

  it('reports load and cache events after their lag, and leaves gaps in the events', async () => {
    const { clock, engine, request } = await setUp({ loadReportLagMs: 500, cacheEventLagMs: 1000 })
    engine.submit(request({ prompt: `[tokens=2000]${'x'.repeat(64 * 20)}` }))
    await clock.advance(499)
    expect([engine.load().running, engine.cacheEvents(0).events.length]).to.deep.equal([0, 0])
    await clock.advance(501)
    expect(engine.load().running).to.equal(1)
    const sequences = engine.cacheEvents(5).events.map(event => event.sequence)
    expect(sequences).to.deep.equal([6, 7, 8, 9, 11, 12, 13, 14, 15, 16, 17, 18, 19])
  })
})
