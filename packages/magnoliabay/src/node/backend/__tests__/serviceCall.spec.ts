/** Calls to a plain service whose response has neither a length nor chunks, and ends with its connection. */
import { expect } from 'chai'
import { createSystemClock } from '../../clock'
import { startRawServer } from '../../serving/__tests__/rawServer'
import type { RawServer } from '../../serving/__tests__/rawServer'
import { createConnectionPools } from '../engineClient'
import { callService } from '../serviceCall'
import type { ServiceCallResult } from '../serviceCall'

const UNFRAMED = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\nfirst part'

describe('a call to a plain service whose response ends with its connection', () => {
  const pools = createConnectionPools(null)
  let server: RawServer | undefined
  afterEach(async () => { await server?.close() })
  after(() => pools.close())
  const call = async (isIdempotent: boolean, end: (server: RawServer, socket: Parameters<Parameters<typeof startRawServer>[0]>[0]) => void): Promise<ServiceCallResult> => {
    const started: RawServer = await startRawServer(socket => { socket.write(UNFRAMED, () => setImmediate(() => end(started, socket))) })
    server = started
    return await callService({ connectionPools: pools, statements: { record: () => {} }, clock: createSystemClock() }, {
      address: started.address, method: 'POST', path: '/', headers: {}, body: Buffer.from('note'), requestId: 'r', responseTimeoutMs: 5000, isIdempotent, signal: new AbortController().signal
    })
  }
  for (const isIdempotent of [true, false]) {
    const kind = isIdempotent ? 'idempotent' : 'not idempotent'
    it(`is answered if the service closes the connection and runs on, ${kind}`, async () => {
      expect((await call(isIdempotent, (_server, socket) => { socket.end() })).kind).to.equal('answered')
    })
    // The operating system of a crashed process closes its connections, so that part of a response looks like the whole.
    it(`is lost if the service crashes midway, ${kind}`, async () => {
      expect((await call(isIdempotent, (started, socket) => {
        started.stopListening()
        socket.end()
      })).kind).to.equal('lost')
    })
    // A reset ends a response without length for the HTTP library, as if it were whole.
    it(`is lost if the connection is reset midway, ${kind}`, async () => {
      expect((await call(isIdempotent, (_server, socket) => { socket.resetAndDestroy() })).kind).to.equal('lost')
    })
  }
})
