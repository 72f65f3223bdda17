import { expect } from 'chai'
import fc from 'fast-check'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import type { WorkClass } from '../workClass'
import { createRequestQueue } from '../queue'
import type { QueuePermit } from '../queue'

interface RequestOptions {
  team: string
  tokens?: number
  workClass?: WorkClass
  deadlineMs?: number
  signal?: AbortSignal
  model?: string
}

const SERVICE_MS = 100

function setUp (slots: number, weights: Record<string, number> = {}, maxWaiting = 100) {
  const clock = createVirtualClock()
  const queue = createRequestQueue({
    capacity: { hasCapacityFor: (_model, started) => started < slots },
    weightOf: team => weights[team] ?? 1,
    maxWaiting,
    clock,
    logger: createSilentLogger()
  })
  const order: string[] = []
  const served: Record<string, number> = {}
  const codes: string[] = []
  const open: QueuePermit[] = []
  /** Sends a request and records how it ends; unless `hold` is set, releases its permit after `SERVICE_MS`. */
  const send = async ({ team, tokens = 100, workClass = 'interactive', deadlineMs = 60_000, signal, model = 'm' }: RequestOptions, hold = false): Promise<void> => {
    const { signal: own } = new AbortController()
    const permit = await queue.acquire({ team, reservedTokens: tokens, workClass, model, deadlineMs: clock.monotonic() + deadlineMs, signal: signal ?? own })
    if (permit.err) {
      codes.push(`${team} ${permit.val.code}`)
      return
    }
    order.push(team)
    served[team] = (served[team] ?? 0) + tokens
    if (hold) open.push(permit.val)
    else clock.schedule(SERVICE_MS, () => permit.val.release(tokens))
  }
  const sendMany = (count: number, sent: RequestOptions): void => Array.from({ length: count }, () => sent).forEach(one => { send(one) })
  return { clock, queue, order, served, codes, open, send, sendMany }
}

describe('request queue: fairness', () => {
  // One team has sent 90 requests when another sends its first, which must not wait for all of them.
  it('starts the request of a small team before many earlier ones of another team', async () => {
    const { clock, order, sendMany, send } = setUp(1)
    sendMany(90, { team: 'flood' })
    await clock.advance(1000)
    send({ team: 'small' })
    await clock.advance(2 * SERVICE_MS)
    expect(order).to.include('small')
  })

  const SHARES: ReadonlyArray<{ name: string, weights: Record<string, number>, a: RequestOptions, b: RequestOptions, ratio: number }> = [
    { name: 'serves teams of equal weight alike', weights: {}, a: { team: 'a' }, b: { team: 'b' }, ratio: 1 },
    { name: 'serves teams in proportion to weights 3 to 1', weights: { a: 3 }, a: { team: 'a' }, b: { team: 'b' }, ratio: 3 },
    { name: 'counts tokens, not requests', weights: {}, a: { team: 'a', tokens: 400 }, b: { team: 'b', tokens: 100 }, ratio: 1 }
  ]
  SHARES.forEach(({ name, weights, a, b, ratio }) => it(name, async () => {
    const { clock, served, sendMany } = setUp(2, weights, 1000)
    sendMany(200, a)
    sendMany(200, b)
    await clock.advance(5000)
    expect(served.a! / served.b!).to.be.closeTo(ratio, 0.15 * ratio)
  }))

  it('gives an idle team no credit for its idle time', async () => {
    const { clock, order, sendMany, send } = setUp(1, {}, 1000)
    await send({ team: 'idle' })
    sendMany(100, { team: 'busy' })
    await clock.advance(5000)
    sendMany(50, { team: 'idle' })
    order.splice(0)
    await clock.advance(2000)
    expect(order.filter(team => team === 'idle').length).to.be.closeTo(order.length / 2, 2)
  })

  it('prefers interactive work without starving patient work', async () => {
    const { clock, served, sendMany } = setUp(1, {}, 1000)
    sendMany(200, { team: 'families', workClass: 'patient' })
    sendMany(200, { team: 'office' })
    await clock.advance(10_000)
    expect(served.office! / served.families!).to.be.closeTo(4, 0.6)
  })

  // Interactive requests are served without waiting for a long time; then both classes wait. Neither class has credit
  // or debt from before.
  it('does not count service without waiting against a class', async () => {
    const { clock, order, sendMany } = setUp(1, {}, 1000)
    for (let count = 0; count < 50; count += 1) {
      sendMany(1, { team: 'office' })
      await clock.advance(2 * SERVICE_MS)
    }
    sendMany(50, { team: 'families', workClass: 'patient' })
    sendMany(50, { team: 'office' })
    order.splice(0)
    await clock.advance(2000)
    expect(order.filter(team => team === 'office').length).to.be.greaterThan(order.length / 2)
  })

  it('starts the earliest deadline of a team first; a model without capacity delays no other', async () => {
    const { clock, send, order } = setUp(1)
    send({ team: 'x', model: 'other' })
    send({ team: 'x' })
    const deadlines = [9000, 3000, 6000]
    deadlines.forEach(deadlineMs => send({ team: `t${deadlineMs}`, deadlineMs }))
    deadlines.forEach(deadlineMs => send({ team: 'y', deadlineMs }))
    await clock.advance(2000)
    expect(order.slice(0, 2)).to.deep.equal(['x', 'x'])
    expect(order.length).to.equal(8)
  })
})

describe('request queue: refusals', () => {
  it('refuses a request at once if its wait would outlast its deadline, with the time after which to retry', async () => {
    const { clock, queue, sendMany } = setUp(1, {}, 1000)
    sendMany(150, { team: 'a', deadlineMs: 6900 })
    await clock.advance(5000)
    const refused = await queue.acquire({ team: 'a', reservedTokens: 100, workClass: 'interactive', model: 'm', deadlineMs: clock.monotonic() + 2000, signal: new AbortController().signal })
    expect(refused.err && refused.val).to.include({ code: 'overloaded', notRun: true })
    expect(refused.err && refused.val.retryAfterSeconds).to.be.within(6, 10)
  })

  // One team has filled the queue. A request of another team is accepted, and the last one of the first team is
  // refused.
  it('evicts from a full queue the last request of the team that has the most', async () => {
    const { clock, codes, sendMany, order } = setUp(1, {}, 10)
    sendMany(20, { team: 'flood' })
    sendMany(2, { team: 'small' })
    await clock.settle()
    expect(codes).to.deep.equal(Array.from({ length: 11 }, () => 'flood overloaded'))
    await clock.advance(1000)
    expect(order.filter(team => team === 'small').length).to.equal(2)
  })

  // Requests arrive, end, are cancelled by their callers and reach their deadlines in any order. Each settles exactly
  // once, at its deadline at the latest; no more than the capacity hold a permit; nothing stays in the queue.
  it('settles every request exactly once and in time', () => fc.assert(fc.asyncProperty(
    fc.array(fc.oneof(
      fc.record({ kind: fc.constant('send' as const), team: fc.constantFrom('a', 'b', 'c'), patient: fc.boolean(), tokens: fc.integer({ min: 1, max: 500 }), deadlineMs: fc.integer({ min: 1, max: 3000 }) }),
      fc.record({ kind: fc.constant('done' as const), count: fc.integer({ min: 0, max: 5 }) }),
      fc.record({ kind: fc.constant('abort' as const), count: fc.integer({ min: 0, max: 50 }) }),
      fc.record({ kind: fc.constant('advance' as const), ms: fc.integer({ min: 0, max: 800 }) })
    ), { minLength: 20, maxLength: 150 }),
    async steps => {
      const { clock, queue, open, send } = setUp(2, { a: 2 }, 8)
      const aborts: AbortController[] = []
      let sent = 0
      let settled = 0
      let late = 0
      for (const step of steps) {
        if (step.kind === 'send') {
          const abort = new AbortController()
          const dueMs = clock.monotonic() + step.deadlineMs
          aborts.push(abort)
          sent += 1
          send({ team: step.team, tokens: step.tokens, deadlineMs: step.deadlineMs, workClass: step.patient ? 'patient' : 'interactive', signal: abort.signal }, true).then(() => {
            settled += 1
            if (clock.monotonic() > dueMs) late += 1
          })
        }
        if (step.kind === 'done') open.splice(0, step.count).forEach(permit => { permit.release(1); permit.release(1) })
        if (step.kind === 'abort') aborts[step.count]?.abort()
        if (step.kind === 'advance') await clock.advance(step.ms)
        await clock.settle()
        expect(open.length).to.be.at.most(2)
        expect(queue.backlogByTeam().reduce((sum, { waiting }) => sum + waiting, 0)).to.be.at.most(8).and.to.equal(sent - settled)
      }
      await clock.advance(3001)
      expect({ settled, late, left: queue.backlogByTeam() }).to.deep.equal({ settled: sent, late: 0, left: [] })
    }
  ), { seed: 20_261_202, numRuns: 100 }))
})
