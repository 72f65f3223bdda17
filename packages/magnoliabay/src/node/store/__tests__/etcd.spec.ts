import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { expect } from 'chai'
import { createKvServer, createKvState } from '@magnoliabay/standins'
import { createSystemClock } from '../../clock'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createEtcdStore } from '../etcd'
import { errorOfResponse } from '../etcdErrors'
import { WATCH_IDLE_TIMEOUT_MS } from '../etcdWatch'
import { toBase64 } from '../etcdCodec'
import type { WatchHandlers } from '../store'

const clock = createSystemClock()
const logger = createSilentLogger()

async function serve (handler: (req: IncomingMessage, res: ServerResponse) => void): Promise<{ url: string, server: Server }> {
  const server = createServer(handler)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, server }
}

function closeAll (server: Server): Promise<void> {
  server.closeAllConnections()
  return new Promise(resolve => server.close(() => resolve()))
}

describe('etcd client', () => {
  // A claim may be repeated only if the write certainly had no effect. The service uses the same status code for
  // calls that it did not start and for calls that it stopped waiting for.
  const RESPONSES = [
    { message: 'etcdserver: no leader', status: 503, code: 14, kind: 'unavailable' },
    { message: 'etcdserver: request timed out', status: 503, code: 14, kind: 'unknown' },
    { message: 'etcdserver: leader changed', status: 503, code: 14, kind: 'unknown' },
    { message: 'etcdserver: requested lease not found', status: 404, code: 5, kind: 'lease-lost' },
    { message: 'Not Found', status: 404, code: 5, kind: 'invalid' },
    { message: 'etcdserver: request is too large', status: 400, code: 3, kind: 'invalid' }
  ]
  RESPONSES.forEach(({ message, status, code, kind }) => it(`classifies "${message}" as ${kind}`, () => {
    expect(errorOfResponse(status, { code, message }).kind).to.equal(kind)
  }))

  it('switches to the next endpoint when one is unreachable, also if several calls fail at the same time', async () => {
    const closed = await serve(() => {})
    await closeAll(closed.server)
    const kv = await createKvServer({ state: createKvState({ clock }), clock })
    const store = createEtcdStore({ endpoints: [closed.url, `http://${kv.address}`], clock, logger })
    const first = await Promise.all([store.get('a'), store.get('a'), store.get('a')])
    expect(first.map(result => result.err && result.val.kind)).to.deep.equal(['unavailable', 'unavailable', 'unavailable'])
    expect((await store.get('a')).ok).to.equal(true)
    await store.close()
    await kv.close()
  })

  it('times a call out when its response trickles', async () => {
    const trickle = await serve((_req, res) => res.write('{"header":'))
    const virtual = createVirtualClock()
    const store = createEtcdStore({ endpoints: [trickle.url], callTimeoutMs: 300, clock: virtual, logger })
    const call = store.get('a')
    await new Promise<void>(resolve => trickle.server.once('request', () => resolve()))
    await virtual.advance(300)
    const result = await call
    expect(result.err && result.val.kind).to.equal('unknown')
    await store.close()
    await closeAll(trickle.server)
  })

  /** Starts a gateway whose watch sends `lines` and then stays open; ranges contain one key, `p/now`. */
  async function watchGateway (lines: object[]) {
    let snapshots = 0
    const kv = { key: toBase64('p/now'), value: toBase64('{}'), mod_revision: '1' }
    const gateway = await serve((req, res) => {
      if (req.url === '/v3/watch') return lines.forEach(line => res.write(`${JSON.stringify(line)}\n`))
      snapshots += 1
      res.end(JSON.stringify({ header: { revision: '7' }, kvs: [kv] }))
    })
    return { ...gateway, snapshots: () => snapshots }
  }
  const event = (key: string): object => ({ result: { events: [{ kv: { key: toBase64(key), value: toBase64('x'), mod_revision: '8' } }] } })

  async function watchUntil (lines: object[], handlers: (done: () => void) => Partial<WatchHandlers>, stepMs: number): Promise<number> {
    const gateway = await watchGateway(lines)
    const virtual = createVirtualClock()
    const store = createEtcdStore({ endpoints: [gateway.url], clock: virtual, logger, random: () => 0 })
    const stop = new AbortController()
    store.watch('p/', { onEvent: () => {}, onSnapshot: () => {}, ...handlers(() => stop.abort()) }, stop.signal)
    while (!stop.signal.aborted) {
      await virtual.advance(stepMs)
      await new Promise(resolve => setImmediate(resolve))
    }
    await store.close()
    await closeAll(gateway.server)
    return virtual.monotonic()
  }

  // A record for which the handler throws is in every snapshot. If it ended the watch, this instance would not
  // receive any later change of the prefix.
  it('continues snapshot and watch after a record for which the handler throws', async () => {
    const seen: string[] = []
    await watchUntil([event('p/bad'), event('p/good')], done => ({
      onSnapshot: () => { throw new TypeError('bad snapshot') },
      onEvent: ({ key }) => {
        seen.push(key)
        if (key === 'p/bad') throw new TypeError('bad record')
        done()
      }
    }), 1)
    expect(seen).to.deep.equal(['p/bad', 'p/good'])
  })

  // A watch can end in three ways while its connection stays open; the next snapshot contains the missed changes.
  // A watch that the store has cancelled must be restarted before the idle timeout.
  const ENDS: ReadonlyArray<{ name: string, lines: object[], stepMs: number, withinMs: number }> = [
    { name: 'cancelled, with the connection left open', lines: [{ result: { canceled: true, compact_revision: '9' } }], stepMs: 1, withinMs: WATCH_IDLE_TIMEOUT_MS },
    { name: 'refused with an error message', lines: [{ error: { message: 'no' } }], stepMs: 1, withinMs: WATCH_IDLE_TIMEOUT_MS },
    { name: 'silent and stays so', lines: [], stepMs: 100, withinMs: Infinity }
  ]
  ENDS.forEach(({ name, lines, stepMs, withinMs }) => it(`restarts a watch that is ${name}`, async () => {
    let snapshots = 0
    const onSnapshot = (done: () => void) => (): void => { if (++snapshots === 2) done() }
    const tookMs = await watchUntil(lines, done => ({ onSnapshot: onSnapshot(done) }), stepMs)
    expect(tookMs).to.be.below(withinMs)
  }))
})
