import * as v from 'valibot'
import { expect } from 'chai'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createTicker } from '../../clock/ticker'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createLogger } from '../../logger'
import type { Result } from '../../result'
import { createDispatch } from '../dispatch'
import type { Dispatch } from '../dispatch'
import { MAX_FRAME_BYTES, encodeFrame, readFrames } from '../frames'
import type { Frame } from '../frames'
import { HEARTBEAT_INTERVAL_MS, SILENCE_TIMEOUT_MS, runLink } from '../link'
import type { Link } from '../link'
import { definePeerCall, definePeerNotice } from '../peers'
import type { PeerError } from '../peers'
import type { MemberRecord } from '../record'

const memberOf = (id: string): MemberRecord => ({
  id, incarnation: `${id}-1`, startedAtMs: 1, region: 'r', failureDomain: 'd', peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0
})
const HELLO: Frame = { type: 'hello', member: memberOf('peer') }
const echo = definePeerCall<string, string>('echo', { req: v.string(), res: v.string() })
const note = definePeerNotice<string>('note', v.string())

/** A link under test over loopback; the peer is a plain socket that the test writes to. */
interface LinkHarness {
  peer: Socket
  link: () => Link
  /** Why the link ended; undefined while it is open. */
  ended: () => string | undefined
  goodbyes: string[]
  /** Frames that the peer has received. */
  received: Frame[]
}

describe('link to a peer, over loopback in virtual time', () => {
  let clock: VirtualClock
  let server: Server
  let dispatch: Dispatch
  const sockets: Socket[] = []
  let isPermanent = true
  const log: string[] = []
  const logger = createLogger({ write: line => { log.push(line) } })

  /** Lets sockets and promises proceed until `done`, without advancing time. */
  const waitUntil = async (done: () => boolean): Promise<void> => {
    while (!done()) {
      await new Promise(resolve => setImmediate(resolve))
      await clock.settle()
    }
  }
  const open = async ({ hello = true, reads = true } = {}): Promise<LinkHarness> => {
    const accepted = new Promise<Socket>(resolve => server.once('connection', resolve))
    const peer = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const socket = await accepted
    sockets.push(peer, socket)
    let link: Link | undefined
    let reason: string | undefined
    const goodbyes: string[] = []
    const received: Frame[] = []
    runLink({
      socket,
      self: memberOf('self'),
      clock,
      ticker: createTicker(clock, HEARTBEAT_INTERVAL_MS),
      logger,
      dispatch,
      isPermanent: () => isPermanent,
      onHello: established => {
        link = established
        return true
      },
      onGoodbye: member => { goodbyes.push(member.id) }
    }).then(why => { reason = why })
    peer.on('error', () => {})
    const collect = async (): Promise<void> => {
      for await (const frame of readFrames(peer)) received.push(frame)
    }
    if (reads) collect().catch(() => {})
    if (hello) {
      peer.write(encodeFrame(HELLO))
      await waitUntil(() => link !== undefined)
    }
    return { peer, link: () => link!, ended: () => reason, goodbyes, received }
  }
  const write = (harness: LinkHarness, ...frames: Frame[]): boolean => harness.peer.write(Buffer.concat(frames.map(encodeFrame)))
  const callOf = (harness: LinkHarness): Extract<Frame, { type: 'call' }> | undefined =>
    harness.received.find((frame): frame is Extract<Frame, { type: 'call' }> => frame.type === 'call')
  const countHeartbeats = ({ received }: LinkHarness): number => received.filter(frame => frame.type === 'beat').length
  const outcomeOf = (result: Result<unknown, PeerError>): string => result.ok ? `ok ${result.val}` : result.val.kind

  beforeEach(async () => {
    clock = createVirtualClock()
    dispatch = createDispatch()
    server = createServer()
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })
  afterEach(() => {
    sockets.splice(0).forEach(socket => socket.destroy())
    server.close()
    log.splice(0)
  })

  it('stays open while heartbeats arrive, and is closed when none arrives for too long', async () => {
    // A device between the two ends loses track of the connection: it stays open, and nothing arrives. Earlier
    // heartbeats keep it open; after the last one it is closed, so that the caller can dial again.
    const harness = await open()
    for (let elapsed = 0; elapsed < 3 * SILENCE_TIMEOUT_MS; elapsed += HEARTBEAT_INTERVAL_MS) {
      const before = harness.received.length
      await clock.advance(HEARTBEAT_INTERVAL_MS)
      write(harness, { type: 'beat' })
      // The answer to a call sent after the heartbeat shows that the heartbeat has been read.
      write(harness, { type: 'call', id: elapsed, kind: 'none', body: 0 })
      await waitUntil(() => harness.received.slice(before).some(frame => frame.type === 'reply'))
    }
    expect(harness.ended()).to.equal(undefined)
    await clock.advance(SILENCE_TIMEOUT_MS + 2 * HEARTBEAT_INTERVAL_MS)
    await waitUntil(() => harness.ended() !== undefined)
    expect(harness.ended()).to.equal('silent')
  })

  describe('that is not permanent', () => {
    before(() => { isPermanent = false })
    after(() => { isPermanent = true })
    /** Longer than a new link is monitored. */
    const waitUntilUnmonitored = (): Promise<void> => clock.advance(2 * SILENCE_TIMEOUT_MS)
    const openUnmonitored = async (): Promise<LinkHarness> => {
      const harness = await open()
      for (let elapsed = 0; elapsed < 2 * SILENCE_TIMEOUT_MS; elapsed += HEARTBEAT_INTERVAL_MS) {
        write(harness, { type: 'beat' })
        await clock.advance(HEARTBEAT_INTERVAL_MS)
      }
      return harness
    }

    /** Guards against needless heartbeats on hundreds of links to one member. */
    it('stays open without heartbeats of its own, and answers those of the peer', async () => {
      const harness = await openUnmonitored()
      const before = countHeartbeats(harness)
      await waitUntilUnmonitored()
      expect(countHeartbeats(harness)).to.equal(before)
      write(harness, { type: 'beat' })
      await waitUntil(() => countHeartbeats(harness) > before)
      expect(harness.ended()).to.equal(undefined)
    })

    /**
     * Guards against calls that fail one after another on a connection that a device between the two ends has lost
     * track of.
     */
    it('is closed a second after an unanswered call', async () => {
      const harness = await openUnmonitored()
      await waitUntilUnmonitored()
      const call = harness.link().call(echo.kind, 'x', { timeoutMs: 150 })
      await clock.advance(200)
      expect(outcomeOf(await call)).to.equal('timeout')
      await clock.advance(1100)
      await waitUntil(() => harness.ended() !== undefined)
      expect(harness.ended()).to.equal('silent')
    })

    it('stays open after an unanswered call if the peer still answers heartbeats', async () => {
      const harness = await openUnmonitored()
      await waitUntilUnmonitored()
      const call = harness.link().call(echo.kind, 'x', { timeoutMs: 150 })
      const before = countHeartbeats(harness)
      await clock.advance(200)
      expect(outcomeOf(await call)).to.equal('timeout')
      await waitUntil(() => countHeartbeats(harness) > before)
      write(harness, { type: 'beat' })
      for (let round = 0; round < 20; round += 1) await new Promise(resolve => setImmediate(resolve))
      await clock.advance(2000)
      expect(harness.ended()).to.equal(undefined)
    })

    /**
     * Guards against two sides that answer each other's heartbeats without end. A call times out on a link that neither
     * side monitors; this side sends a heartbeat, the peer answers it, and the answer is answered again: tens of thousands
     * of heartbeats in ten seconds took most of the processor time of a leader with many such links.
     */
    describe('to a peer that answers each heartbeat', () => {
      const MAX_ANSWERS = 50
      /** Answers the heartbeats that arrive from now on; returns the number of answers so far. */
      const answerHeartbeats = (harness: LinkHarness, beforeAnswer = (): void => {}): () => number => {
        const before = countHeartbeats(harness)
        let answered = 0
        const answer = (): void => {
          if (answered >= Math.min(MAX_ANSWERS, countHeartbeats(harness) - before)) return
          answered += 1
          beforeAnswer()
          write(harness, { type: 'beat' })
        }
        harness.peer.on('data', () => setImmediate(answer))
        return () => answered
      }
      const exchangeAll = async (): Promise<void> => {
        for (let round = 0; round < 500; round += 1) await new Promise(resolve => setImmediate(resolve))
      }

      it('sends one heartbeat after an unanswered call, and does not answer the answer', async () => {
        const harness = await openUnmonitored()
        await waitUntilUnmonitored()
        const answered = answerHeartbeats(harness)
        const call = harness.link().call(echo.kind, 'x', { timeoutMs: 150 })
        await clock.advance(200)
        expect(outcomeOf(await call)).to.equal('timeout')
        await waitUntil(() => answered() > 0)
        await exchangeAll()
        expect(answered()).to.equal(1)
      })

      it('does not answer the answer to a heartbeat that it sent while it monitored the link', async () => {
        isPermanent = true
        const harness = await openUnmonitored()
        const answered = answerHeartbeats(harness, () => { isPermanent = false })
        await clock.advance(HEARTBEAT_INTERVAL_MS)
        await waitUntil(() => answered() > 0)
        await exchangeAll()
        expect(answered()).to.equal(1)
      })
    })
  })

  it('is closed when the peer sends nothing after connecting', async () => {
    const harness = await open({ hello: false })
    await clock.advance(SILENCE_TIMEOUT_MS + 2 * HEARTBEAT_INTERVAL_MS)
    await waitUntil(() => harness.ended() !== undefined)
    expect(harness.ended()).to.equal('silent')
  })

  const endings: Array<{ title: string, act: (harness: LinkHarness) => unknown, reason: RegExp, hello?: boolean }> = [
    { title: 'the first frame is not a hello', act: harness => write(harness, { type: 'beat' }), reason: /^no hello$/, hello: false },
    { title: 'the peer closes its side only', act: harness => harness.peer.end(), reason: /^closed by the peer$/ },
    { title: 'the peer resets the connection', act: harness => harness.peer.resetAndDestroy(), reason: /ECONNRESET|aborted|closed/ },
    { title: 'the bytes are not a frame', act: harness => harness.peer.write(Buffer.from([0, 0, 0, 1, 0xff])), reason: /^bad frame: / },
    { title: 'a length is over the limit', act: harness => harness.peer.write(Buffer.alloc(8, 0xff)), reason: /^bad frame: too-long$/ }
  ]
  endings.forEach(({ title, act, reason, hello }) => it(`ends, and its calls with it, when ${title}`, async () => {
    const harness = await open({ hello })
    const call = hello === false ? undefined : harness.link().call(echo.kind, 'x')
    act(harness)
    await waitUntil(() => harness.ended() !== undefined)
    expect(harness.ended()).to.match(reason)
    if (call !== undefined) expect(outcomeOf(await call)).to.equal('link-lost')
  }))

  it('is closed when the peer reads too slowly, before the backlog fills the memory', async () => {
    // The peer is paused and its socket stays open, so that every notice to it is buffered in memory. At the limit the
    // link is closed, calls on it end at once, and the backlog is dropped.
    const harness = await open({ reads: false })
    harness.peer.pause()
    const call = harness.link().call(echo.kind, 'x')
    const body = 'x'.repeat(1024 * 1024)
    let sent = 0
    while (harness.ended() === undefined && sent < 64) {
      harness.link().notify(note.kind, body)
      sent += 1
      await new Promise(resolve => setImmediate(resolve))
    }
    expect(harness.ended()).to.equal('peer reads too slowly')
    expect(outcomeOf(await call)).to.equal('link-lost')
  })

  it('ends a call at its timeout, and ignores a late or repeated answer', async () => {
    const harness = await open()
    const given = harness.link().call(echo.kind, 'first', { timeoutMs: 300 })
    await waitUntil(() => callOf(harness) !== undefined)
    await clock.advance(300)
    expect(outcomeOf(await given)).to.equal('timeout')
    const { id } = callOf(harness)!
    const next = harness.link().call(echo.kind, 'second')
    write(harness, { type: 'reply', id, ok: true, body: 'late' }, { type: 'reply', id: id + 1, ok: true, body: 'right' }, { type: 'reply', id: id + 1, ok: true, body: 'again' })
    expect(outcomeOf(await next)).to.equal('ok right')
    expect(harness.ended()).to.equal(undefined)
  })

  it('delivers answers to their own calls when they arrive in another order', async () => {
    const harness = await open()
    const calls = ['a', 'b', 'c'].map(text => harness.link().call(echo.kind, text))
    await waitUntil(() => harness.received.filter(frame => frame.type === 'call').length === calls.length)
    const receivedCalls = harness.received.filter((frame): frame is Extract<Frame, { type: 'call' }> => frame.type === 'call')
    write(harness, ...receivedCalls.reverse().map((frame): Frame => ({ type: 'reply', id: frame.id, ok: true, body: frame.body })))
    expect((await Promise.all(calls)).map(outcomeOf)).to.deep.equal(['ok a', 'ok b', 'ok c'])
  })

  it('ends a call with link-lost when the link is replaced, and ignores an answer on the new link', async () => {
    // The peer dials again while a call is pending on the old link. The old link is closed; the call may have been
    // executed, and its error says so. An answer on the new link belongs to no call there.
    const old = await open()
    const first = old.link().call(echo.kind, 'x')
    await waitUntil(() => callOf(old) !== undefined)
    const { id } = callOf(old)!
    const fresh = await open()
    old.link().close('replaced by a newer link')
    expect(outcomeOf(await first)).to.equal('link-lost')
    write(fresh, { type: 'reply', id: id + 40, ok: true, body: 'stray' })
    const second = fresh.link().call(echo.kind, 'y')
    await waitUntil(() => callOf(fresh) !== undefined)
    write(fresh, { type: 'reply', id: callOf(fresh)!.id, ok: true, body: 'y' })
    expect(outcomeOf(await second)).to.equal('ok y')
    expect(old.ended()).to.equal('replaced by a newer link')
  })

  it('reports a call on a closed link as not sent', async () => {
    const harness = await open()
    harness.link().close('test')
    expect(outcomeOf(await harness.link().call(echo.kind, 'x'))).to.equal('not-connected')
  })

  it('refuses a call that is too large for a frame, and stays open', async () => {
    const harness = await open()
    expect(outcomeOf(await harness.link().call(echo.kind, 'x'.repeat(MAX_FRAME_BYTES)))).to.equal('too-large')
    harness.link().notify(note.kind, 'x'.repeat(MAX_FRAME_BYTES))
    expect(log.filter(line => line.includes('event=peer-notice-not-sent'))).to.have.length(1)
    expect(harness.ended()).to.equal(undefined)
  })

  const answers: Array<{ title: string, handler?: () => unknown, kind: string }> = [
    { title: 'an answer that is too large for a frame', handler: () => 'x'.repeat(MAX_FRAME_BYTES), kind: 'handler-failed' },
    { title: 'a failing handler', handler: () => { throw new TypeError('wrong body') }, kind: 'handler-failed' },
    { title: 'a missing handler', kind: 'no-handler' }
  ]
  answers.forEach(({ title, handler, kind }) => it(`reports ${title} to the caller, and stays open`, async () => {
    if (handler !== undefined) dispatch.serve(echo, handler as () => string)
    const harness = await open()
    write(harness, { type: 'call', id: 9, kind: echo.kind, body: 'x' })
    await waitUntil(() => harness.received.some(frame => frame.type === 'reply'))
    const reply = harness.received.find(frame => frame.type === 'reply') as Extract<Frame, { type: 'reply' }>
    expect({ id: reply.id, ok: reply.ok, kind: (reply.body as PeerError).kind }).to.deep.equal({ id: 9, ok: false, kind })
    expect(harness.ended()).to.equal(undefined)
  }))

  it('logs a notice whose handler fails, and stays open', async () => {
    const seen: string[] = []
    dispatch.listen(note, body => {
      if (body === 'bad') throw new TypeError('wrong body')
      seen.push(body)
    })
    const harness = await open()
    write(harness, { type: 'notice', kind: note.kind, body: 'bad' }, { type: 'notice', kind: note.kind, body: 'good' })
    await waitUntil(() => seen.length > 0)
    expect(log.filter(line => line.includes('event=peer-notice-failed'))).to.have.length(1)
    expect(harness.ended()).to.equal(undefined)
  })

  it('reports a goodbye once, and ends', async () => {
    const harness = await open()
    write(harness, { type: 'goodbye' })
    harness.peer.end()
    await waitUntil(() => harness.ended() !== undefined)
    expect(harness.goodbyes).to.deep.equal(['peer'])
  })
})
