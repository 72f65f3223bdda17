/**
 * Failure: an engine that ends soon, or is silent, takes its streams with it. Their requests may not run again, so each
 * caller gets part of a response. A move must neither lose or repeat an event nor run a request twice, whichever of its
 * messages is lost and whichever of the two engines ends.
 */
import { expect } from 'chai'
import type { FakeEngine } from './support/fakeEngines'
import type { FakeCaller } from './support/fakeResponse'
import { createStreamRig } from './support/streamRig'
import type { StreamRig } from './support/streamRig'

const IN_ORDER = Array.from({ length: 40 }, (_, index) => index + 1)
/** Longer than the notice: such a run does not end in time. */
const LONG: Partial<FakeEngine> = { events: 40, gapMs: 100 }
const USAGE = { 'x-magnoliabay-token-usage': '500,40' }

interface Moving {
  rig: StreamRig
  caller: FakeCaller & { id: string }
}

/** Starts a stream at `a1`, whose engine is given notice after some events. */
async function startMove (source: Partial<FakeEngine> = {}, target: Partial<FakeEngine> = {}, others: Record<string, Partial<FakeEngine>> = {}): Promise<Moving> {
  const rig = createStreamRig({ engines: { a1: { ...LONG, ...source }, a2: { ...LONG, ...target }, ...others }, hasMoves: true })
  const caller = rig.call('/single/1', USAGE)
  await rig.clock.advance(700)
  rig.giveNotice('a1', 2000)
  return { rig, caller }
}

function expectWhole ({ rig, caller }: Moving): void {
  expect(caller.eventIds()).to.deep.equal(IN_ORDER)
  expect(caller.end()).to.equal('complete')
  expect(rig.fakes.record(caller.id)).to.include({ starts: 1, wasRunTwice: false })
}

function expectTruncated ({ rig, caller }: Moving): void {
  const ids = caller.eventIds()
  expect(caller.end()).to.equal('cut')
  expect(ids).to.deep.equal(IN_ORDER.slice(0, ids.length))
  expect(rig.fakes.record(caller.id)).to.include({ starts: 1, wasRunTwice: false })
}

const outcomesOf = (rig: StreamRig): string[] => rig.logs('stream-move').map(line => / outcome=(\S+)/.exec(line)![1]!)

describe('a stream whose engine ends soon', () => {
  /** Guards against streams that end with their engine because the list of servers is out of date, where all have one version. */
  it('continues at another engine of the only version while no changes of the list arrive', async () => {
    const rig = createStreamRig({ engines: { a1: LONG, a2: LONG }, hasMoves: true })
    const caller = rig.call('/single/1', USAGE)
    await rig.clock.advance(700)
    rig.setListCurrent(false)
    rig.giveNotice('a1', 2000)
    await rig.clock.advance(2000)
    rig.remove('a1')
    await rig.clock.advance(6000)
    expectWhole({ rig, caller })
    expect(outcomesOf(rig)).to.deep.equal(['continued'])
  })

  /** Guards against the memory of a run that is read by another software version than the one that wrote it. */
  it('continues only at an engine with the same software version, also before its first event', async () => {
    const moving = await startMove({}, { softwareVersion: 'v1.1' }, { b1: LONG })
    await moving.rig.clock.advance(2000)
    moving.rig.remove('a1')
    await moving.rig.clock.advance(6000)
    expectWhole(moving)
    expect([...moving.caller.softwareVersions()]).to.deep.equal(['v1'])
    expect(moving.rig.fakes.moveCalls.every(({ target }) => target === 'b1:1')).to.equal(true)

    const early = createStreamRig({ engines: { a1: { ...LONG, firstMs: 5000 }, a2: { ...LONG, softwareVersion: 'v1.1' } }, hasMoves: true })
    early.call('/single/1', USAGE)
    await early.clock.advance(100)
    early.giveNotice('a1', 2000)
    await early.clock.advance(1500)
    expect(early.fakes.moveCalls).to.deep.equal([])
  })

  it('continues at another engine within the same response', async () => {
    const moving = await startMove()
    const { rig, caller } = moving
    await rig.clock.advance(2000)
    rig.remove('a1')
    await rig.clock.advance(6000)
    expectWhole(moving)
    expect(caller.status()).to.equal(200)
    expect(outcomesOf(rig)).to.deep.equal(['continued'])
    const [first, second] = rig.fakes.received
    expect(first!.headers).not.to.have.property('kv-from')
    expect(second!.headers['kv-from']).to.match(/^a1:1\/h\d+$/)
    expect(second!.headers['last-event-id']).to.match(/^\d+$/)
    expect(second!.headers['x-magnoliabay-attempt-id']).to.equal(caller.id)
    expect(rig.fakes.openHandles()).to.have.length(1)
  })

  it('is copied while it runs, and stopped only for the rest', async () => {
    const { rig } = await startMove()
    await rig.clock.advance(2000)
    expect(rig.fakes.moveCalls.map(({ isLast }) => isLast)).to.deep.equal([false, true])
  })

  /** Guards against moves that nobody needs: each costs a transfer and an interruption. */
  it('stays if it ends in time', async () => {
    const rig = createStreamRig({ engines: { a1: { events: 10 }, a2: {} }, hasMoves: true })
    const caller = rig.call('/single/1')
    await rig.clock.advance(300)
    rig.giveNotice('a1', 2000)
    await rig.clock.advance(2000)
    expect(caller.end()).to.equal('complete')
    expect(rig.fakes.moveCalls).to.have.length(0)
  })

  it('stays if the configuration offers no moves', async () => {
    const rig = createStreamRig({ engines: { a1: LONG, a2: LONG } })
    rig.call('/single/1', USAGE)
    await rig.clock.advance(700)
    rig.giveNotice('a1', 2000)
    await rig.clock.advance(2000)
    expect(rig.fakes.moveCalls).to.have.length(0)
  })

  it('is moved within its failure domain if an engine there has a free slot', async () => {
    const { rig } = await startMove({}, {}, { b1: LONG, b2: LONG })
    await rig.clock.advance(2000)
    expect(rig.fakes.moveCalls.map(({ target }) => target)).to.deep.equal(['a2:1', 'a2:1'])
  })

  /** Guards against moves that compete for the bandwidth of one engine, so that none is complete in time. */
  it('waits while three others of its engine are being moved', async () => {
    const rig = createStreamRig({ engines: { a1: { ...LONG, moveMs: 100 }, b1: LONG }, hasMoves: true })
    const callers = Array.from({ length: 8 }, () => rig.call('/single/1', USAGE))
    await rig.clock.advance(700)
    rig.giveNotice('a1', 4000)
    await rig.clock.advance(50)
    expect(rig.fakes.moveCalls.length).to.be.at.most(3)
    await rig.clock.advance(4000)
    rig.remove('a1')
    await rig.clock.advance(6000)
    callers.forEach(caller => expectWhole({ rig, caller }))
  })

  /** The source closes the connection without the end of its framing: the reply still confirms that the run has stopped. */
  it('continues when its stream is closed abruptly after the stop', async () => {
    const moving = await startMove({ closesAbruptly: true })
    await moving.rig.clock.advance(6000)
    expectWhole(moving)
  })
})

describe('a move, with one failure at a time:', () => {
  it('the source is lost while the run is copied: the response is truncated, and nothing runs again', async () => {
    const moving = await startMove({ moveMs: 300 })
    await moving.rig.clock.advance(100)
    moving.rig.remove('a1')
    await moving.rig.clock.advance(6000)
    expectTruncated(moving)
  })

  it('the source is lost after the run has stopped, before its reply: the response is truncated', async () => {
    const moving = await startMove({ moveFaults: ['act', 'no-reply'], closesAbruptly: true })
    await moving.rig.clock.advance(100)
    moving.rig.remove('a1')
    await moving.rig.clock.advance(6000)
    expectTruncated(moving)
    expect(outcomesOf(moving.rig)).to.deep.equal(['unanswered'])
  })

  /** Guards against taking a broken connection for a stop: the run goes on at its engine, which nobody can hear. */
  it('the link to the source fails while the stop is on its way: nothing is sent again', async () => {
    const moving = await startMove({ moveFaults: ['act', 'lost'], moveMs: 50 })
    await moving.rig.clock.advance(70)
    moving.rig.engine('a1').cutLink()
    await moving.rig.clock.advance(3000)
    expectTruncated(moving)
    expect(moving.rig.fakes.received).to.have.length(1)
  })

  it('the link to the source fails, and its reply to the stop arrives: the run continues at the target', async () => {
    const moving = await startMove({ moveMs: 50 })
    await moving.rig.clock.advance(70)
    moving.rig.engine('a1').cutLink()
    await moving.rig.clock.advance(6000)
    expectWhole(moving)
  })

  it('the copy gets no reply: the run continues where it is', async () => {
    const moving = await startMove({ moveFaults: ['lost', 'lost', 'lost', 'lost'] })
    await moving.rig.clock.advance(6000)
    expectWhole(moving)
    expect(moving.rig.fakes.received).to.have.length(1)
  })

  it('the stop takes effect without a reply: the run continues at the source, with the handle of the copy', async () => {
    const moving = await startMove({ moveFaults: ['act', 'no-reply'] })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.received.map(({ address }) => address)).to.deep.equal(['a1:1', 'a1:1'])
    expect(outcomesOf(moving.rig)).to.deep.equal(['continued-at-source'])
  })

  /** Guards against taking the regular end of a run that never stopped for that of a stopped one. */
  it('the stop is lost: the run continues, is not asked again, and its end is regular', async () => {
    const moving = await startMove({ moveFaults: ['act', 'lost'] })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.moveCalls).to.have.length(2)
    expect(moving.rig.fakes.received).to.have.length(1)
    expect(outcomesOf(moving.rig)).to.deep.equal(['unanswered'])
  })

  it('the target is full before the copy: the run is moved to another', async () => {
    const moving = await startMove({ moveFaults: ['no-room'] }, {}, { b1: LONG })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.moveCalls.map(({ target }) => target)).to.deep.equal(['a2:1', 'b1:1', 'b1:1'])
    expect(outcomesOf(moving.rig)).to.deep.equal(['no-room', 'continued'])
  })

  it('the target is full before the copy, and there is no other: the run stays', async () => {
    const moving = await startMove({ moveFaults: ['no-room'] })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.moveCalls).to.have.length(1)
  })

  it('the target is full after the stop, with a handle: the run continues at the source', async () => {
    const moving = await startMove({ moveFaults: ['act', 'no-room'] })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(outcomesOf(moving.rig)).to.deep.equal(['continued-at-source'])
  })

  it('the target is full after the copy, without a handle: the run continues, and nothing is sent', async () => {
    const moving = await startMove({ moveFaults: ['act', 'no-room-no-handle'] })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.received).to.have.length(1)
  })

  const NOT_STOPPED = ['no-run', 'in-progress'] as const
  NOT_STOPPED.forEach(fault => it(`the source replies ${fault} to the copy: the run stays`, async () => {
    const moving = await startMove({ moveFaults: [fault, fault, fault, fault] })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.received).to.have.length(1)
  }))
  NOT_STOPPED.forEach(fault => it(`the source replies ${fault} to the stop: the run stays, and the copy is freed`, async () => {
    const moving = await startMove({ moveFaults: ['act', fault, fault, fault, fault] })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.received).to.have.length(1)
    expect(moving.rig.fakes.openHandles()).to.have.length(0)
  }))

  it('the run ends by itself while it is being stopped: the response is complete', async () => {
    const rig = createStreamRig({ engines: { a1: { events: 10, gapMs: 100, moveMs: 150 }, a2: {} }, hasMoves: true })
    // The caller allows for many more events than are sent.
    const caller = rig.call('/single/1', USAGE)
    await rig.clock.advance(760)
    rig.giveNotice('a1', 2000)
    await rig.clock.advance(4000)
    expect(caller.end()).to.equal('complete')
    expect(caller.eventIds()).to.have.length(10)
    expect(rig.fakes.received).to.have.length(1)
  })

  it('the target rejects the handle: the run continues at the source, which still has the memory', async () => {
    const moving = await startMove({}, { rejectsCopies: true })
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
    expect(moving.rig.fakes.received.map(({ address }) => address)).to.deep.equal(['a1:1', 'a2:1', 'a1:1'])
  })

  it('the handle was used before, so that both engines reject it: the response is truncated', async () => {
    const moving = await startMove({ rejectsCopies: true }, { rejectsCopies: true })
    await moving.rig.clock.advance(8000)
    expectTruncated(moving)
    expect(moving.rig.fakes.received).to.have.length(3)
    expect(outcomesOf(moving.rig)).to.deep.equal(['rejected'])
  })

  it('the second engine cannot be reached: the run continues at the source', async () => {
    const moving = await startMove({ moveMs: 50 })
    await moving.rig.clock.advance(90)
    moving.rig.engine('a2').crash()
    await moving.rig.clock.advance(8000)
    expectWhole(moving)
  })

  it('the second engine crashes while it continues the run: the response is truncated', async () => {
    const moving = await startMove()
    await moving.rig.clock.advance(500)
    moving.rig.engine('a2').crash()
    await moving.rig.clock.advance(6000)
    expectTruncated(moving)
    expect(moving.caller.eventIds().length).to.be.greaterThan(6)
  })

  it('the second engine crashes before its first event: the response is truncated', async () => {
    const moving = await startMove({}, { silentAfter: 0 })
    await moving.rig.clock.advance(300)
    moving.rig.engine('a2').crash()
    await moving.rig.clock.advance(6000)
    expectTruncated(moving)
    expect(outcomesOf(moving.rig)).to.deep.equal(['target-lost'])
  })

  const LEAVES = [
    { name: 'while the run is copied', afterMs: 20 },
    { name: 'while the run is being stopped', afterMs: 150 },
    { name: 'after the run has continued', afterMs: 500 }
  ]
  LEAVES.forEach(({ name, afterMs }) => it(`the caller leaves ${name}: all copies are freed, and no engine goes on`, async () => {
    const { rig, caller } = await startMove({ moveMs: 100 })
    await rig.clock.advance(afterMs)
    caller.leave()
    await rig.clock.advance(3000)
    expect(rig.engine('a1').running() + rig.engine('a2').running()).to.equal(0)
    expect(rig.fakes.record(caller.id)).to.include({ starts: 1, wasRunTwice: false })
    if (afterMs < 500) expect(rig.fakes.received).to.have.length(1)
    const used = rig.fakes.received.flatMap(({ headers }) => headers['kv-from']?.split('/')[1] ?? [])
    expect(rig.fakes.openHandles().filter(handle => !used.includes(handle)).length).to.be.at.most(used.length)
  }))
})

describe('a silent stream that may not run again, where engines offer moves', () => {
  it('is moved when its engine still answers calls', async () => {
    const rig = createStreamRig({ engines: { a1: { ...LONG, silentAfter: 5 }, a2: LONG }, hasMoves: true })
    const caller = rig.call('/single/1', USAGE)
    await rig.clock.advance(8000)
    expectWhole({ rig, caller })
    expect(outcomesOf(rig)).to.deep.equal(['continued'])
    expect(rig.logs('stream-silent')[0]).to.match(/action=moving/)
  })

  it('is moved before its first event', async () => {
    const rig = createStreamRig({ engines: { a1: { ...LONG, silentAfter: 0 }, a2: LONG }, hasMoves: true })
    const caller = rig.call('/single/1', USAGE)
    await rig.clock.advance(8000)
    expectWhole({ rig, caller })
  })

  it('stays when its engine does not answer calls either', async () => {
    const rig = createStreamRig({ engines: { a1: { ...LONG, silentAfter: 5, moveFaults: ['lost', 'lost', 'lost', 'lost'] }, a2: LONG }, hasMoves: true })
    const caller = rig.call('/single/1', USAGE)
    await rig.clock.advance(5000)
    expect(caller.end()).to.equal('open')
    expect(rig.fakes.received).to.have.length(1)
  })

  /** Guards against a stream that waits for a stop whose reply and end are both lost. */
  it('runs again where it may, when neither a reply to the stop nor the end of the stream arrives', async () => {
    const rig = createStreamRig({ engines: { a1: { ...LONG, moveFaults: ['act', 'lost'] }, a2: LONG }, hasMoves: true })
    const caller = rig.call('/resumable/1', USAGE)
    await rig.clock.advance(700)
    rig.giveNotice('a1', 8000)
    rig.engine('a1').silentAfter = 0
    await rig.clock.advance(8000)
    expect(caller.eventIds()).to.deep.equal(IN_ORDER)
    expect(caller.end()).to.equal('complete')
  })

  it('counts as one run on a resumable route: the attempts that are left stay', async () => {
    const rig = createStreamRig({ engines: { a1: LONG, a2: LONG, a3: LONG }, hasMoves: true })
    const caller = rig.call('/resumable/1', USAGE)
    await rig.clock.advance(700)
    rig.giveNotice('a1', 2000)
    await rig.clock.advance(500)
    const [holder] = ['a2', 'a3'].filter(name => rig.engine(name).running() > 0)
    rig.engine(holder!).crash()
    await rig.clock.advance(8000)
    expect(caller.eventIds()).to.deep.equal(IN_ORDER)
    expect(caller.end()).to.equal('complete')
    expect(rig.fakes.record(caller.id).wasRunTwice).to.equal(false)
  })
})
