import { expect } from 'chai'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { createSystemClock } from '../../clock'
import { connectDirectly, createDirectRoutes } from '../../paths'
import { createConnections } from '../exchange'
import type { Connections, ExchangeEnd } from '../exchange'
import { startRawServer } from './rawServer'
import { startForwarder } from './support/forwarder'
import type { Forwarder } from './support/forwarder'
import type { RawServer } from './rawServer'

interface Observed {
  status: number | undefined
  body: string
  end: ExchangeEnd
  /** Number of calls of `onEnd`. */
  endCount: number
}

function send (connections: Connections, address: string, body = 'hello', method = 'POST'): Promise<Observed> {
  const observed: Observed = { status: undefined, body: '', end: 'broken', endCount: 0 }
  return new Promise(resolve => connections.exchange(
    { address, method, path: '/x', headers: ['Host', 'site.example'], body: Buffer.from(body) },
    {
      onHead: head => { observed.status = head.status },
      onData: chunk => { observed.body += chunk.toString() },
      onEnd: end => {
        observed.end = end
        observed.endCount += 1
        setImmediate(() => resolve(observed))
      }
    }
  ))
}

/** Lets what a server has sent or closed arrive: an event loop that was held calls a timer before it reads its sockets. */
async function settle (): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, 50))
  for (let turn = 0; turn < 20; turn += 1) await new Promise(resolve => setImmediate(resolve))
}

interface Case {
  name: string
  respond: (socket: Socket) => void
  end: ExchangeEnd
  body?: string
}

const CASES: Case[] = [
  { name: 'a response with a length', respond: socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine'), end: 'whole', body: 'fine' },
  { name: 'a chunked response', respond: socket => socket.write('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n'), end: 'whole', body: 'fine' },
  { name: 'a response that ends with its connection', respond: socket => socket.end('HTTP/1.1 200 OK\r\n\r\nfine'), end: 'whole', body: 'fine' },
  { name: 'a response shorter than its length', respond: socket => socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine'), end: 'broken' },
  { name: 'a chunked response without the last chunk', respond: socket => socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n'), end: 'broken' },
  { name: 'a chunked response without the last chunk and with Connection: close', respond: socket => socket.end('HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n'), end: 'broken' },
  { name: 'bytes that are not a response', respond: socket => socket.write('what is this\r\n\r\n'), end: 'broken' },
  { name: 'a closed connection without a response', respond: socket => socket.end(), end: 'broken' },
  { name: 'a reset without a response', respond: socket => socket.resetAndDestroy(), end: 'broken' },
  { name: 'a status that is none of HTTP', respond: socket => socket.write('HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nfine'), end: 'broken' },
  { name: 'a status below those of final responses', respond: socket => socket.write('HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nfine'), end: 'broken' },
  { name: 'a keep-alive timeout with hundreds of digits', respond: socket => socket.write(`HTTP/1.1 200 OK\r\nKeep-Alive: timeout=${'9'.repeat(400)}\r\nContent-Length: 4\r\n\r\nfine`), end: 'whole', body: 'fine' },
  { name: 'bytes after a complete response', respond: socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfineand more'), end: 'whole', body: 'fine' }
]

interface BodilessCase {
  name: string
  method: string
  head: string
}

const BODILESS_CASES: BodilessCase[] = [
  { name: '204', method: 'DELETE', head: 'HTTP/1.1 204 No Content\r\n\r\n' },
  { name: '304', method: 'GET', head: 'HTTP/1.1 304 Not Modified\r\n\r\n' },
  { name: '200 to HEAD', method: 'HEAD', head: 'HTTP/1.1 200 OK\r\n\r\n' }
]

const IDLE_ENDS: Record<string, (socket: Socket) => void> = {
  ends: socket => { socket.end() },
  resets: socket => { socket.resetAndDestroy() }
}

const WAYS = ['a backend server', 'a backend server that only another instance reaches']

WAYS.forEach((way, wayIndex) => describe(`exchange with ${way}`, () => {
  let connections: Connections
  let server: RawServer | undefined
  let forwarder: Forwarder | undefined

  beforeEach(async () => {
    const clock = createSystemClock()
    forwarder = wayIndex === 0 ? undefined : await startForwarder(clock)
    connections = createConnections(clock, forwarder?.routes)
  })
  afterEach(async () => {
    connections.close()
    await forwarder?.close()
    await server?.close()
    server = undefined
  })

  CASES.forEach(({ name, respond, end, body }) => it(`reports ${end} for ${name}`, async () => {
    server = await startRawServer(respond)
    const seen = await send(connections, server.address)
    expect(seen.end).to.equal(end)
    expect(seen.endCount).to.equal(1)
    if (body !== undefined) expect(seen.body).to.equal(body)
  }))

  /**
   * Failure: a caller gets part of a response as the complete one.
   * 1. The response has no length and ends with its connection. 2. The server crashes with bytes of the request unread,
   * and its operating system resets the connection. 3. HTTP libraries treat that as the end of the response.
   */
  it('reports broken for a response without length that is reset midway', async () => {
    const listener = createServer(socket => {
      socket.on('error', () => {})
      socket.once('data', () => {
        socket.pause()
        socket.write('HTTP/1.1 200 OK\r\n\r\nfi', () => socket.destroy())
      })
    })
    await new Promise<void>(resolve => listener.listen(0, '127.0.0.1', resolve))
    const { port } = listener.address() as AddressInfo
    const seen = await send(connections, `127.0.0.1:${port}`, 'x'.repeat(8_000_000))
    listener.close()
    expect(seen.end).to.equal('broken')
  })

  /**
   * The same failure, with a reset directly after the data.
   * 1. Part of the response and the reset arrive together. 2. The event loop reads the data, sees a hang-up, and reports a
   * regular end without reading the error. 3. Only a write to the connection shows the error.
   */
  it('reports broken for a response without length when the reset arrives with its bytes', async () => {
    server = await startRawServer(socket => {
      const { _handle: handle } = socket as unknown as { _handle: { reset (done: () => void): void } }
      socket.write('HTTP/1.1 200 OK\r\n\r\nfi', () => handle.reset(() => socket.destroy()))
    })
    expect((await send(connections, server.address)).end).to.equal('broken')
  })

  /**
   * Failure: a caller gets part of a response as the complete one, without a reset.
   * 1. The response has no length. 2. The server crashes midway, and its operating system closes the connection normally.
   * 3. The crash shows only in that the server no longer accepts connections.
   */
  it('reports broken for a response without length whose server has crashed', async () => {
    const dying = await startRawServer(socket => {
      dying.stopListening()
      socket.end('HTTP/1.1 200 OK\r\n\r\nfi')
    })
    expect((await send(connections, dying.address)).end).to.equal('broken')
    await dying.close()
  })

  it('reports unsent when the server does not listen', async () => {
    server = await startRawServer(() => {})
    const { address } = server
    await server.close()
    expect((await send(connections, address)).end).to.equal('unsent')
  })

  it('reuses a connection after a complete response', async () => {
    server = await startRawServer(socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'))
    await send(connections, server.address)
    await send(connections, server.address)
    expect(server.received).to.have.length(2)
    expect(server.connections()).to.equal(1)
  })

  /**
   * Failure: a caller gets the response to the request of another caller.
   * 1. A server responds twice, the second time while the connection is idle. 2. The next request on this connection would
   * get that response. 3. The connection must therefore be closed as soon as bytes arrive on it.
   */
  it('closes a connection that responds a second time, and sends the next request on another', async () => {
    const whole = (text: string): string => `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`
    server = await startRawServer((socket, _request, count) => {
      socket.write(whole(`to-${count}`))
      if (count === 1) setImmediate(() => socket.write(whole('again-to-1')))
    })
    await send(connections, server.address)
    await settle()
    expect((await send(connections, server.address)).body).to.equal('to-2')
    expect(server.connections()).to.equal(2)
  })

  /** Guards against the end of this process when a server closes an idle connection that once carried a response without a body. */
  BODILESS_CASES.forEach(({ name, method, head }) => Object.entries(IDLE_ENDS).forEach(([how, endConnection]) =>
    it(`takes a ${name} without length for whole, and goes on when the server ${how} the idle connection`, async () => {
      const sockets: Socket[] = []
      server = await startRawServer(socket => {
        sockets.push(socket)
        socket.write(head)
      })
      expect((await send(connections, server.address, '', method)).end).to.equal('whole')
      endConnection(sockets[0]!)
      await settle()
      expect((await send(connections, server.address, '', method)).end).to.equal('whole')
      expect(server.connections()).to.equal(2)
    })))

  /** Guards against a new connection for each response without a body: servers accept only so many. */
  it('reuses a connection after a 204', async () => {
    server = await startRawServer(socket => socket.write('HTTP/1.1 204 No Content\r\n\r\n'))
    await send(connections, server.address)
    await send(connections, server.address)
    expect(server.connections()).to.equal(1)
  })

  /** Guards against a request that is lost on a connection whose end the server has already sent: 502, or 504 at the timeout. */
  it('sends the next request on another connection when the server has ended the idle one', async () => {
    server = await startRawServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=60\r\n\r\nok')
      setImmediate(() => socket.end())
    })
    await send(connections, server.address)
    await settle()
    expect((await send(connections, server.address)).end).to.equal('whole')
    expect(server.connections()).to.equal(2)
  })

  it('sends a body with its exact length, and length 0 without a body', async () => {
    server = await startRawServer(socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'))
    await send(connections, server.address, 'abc')
    await send(connections, server.address, '')
    expect(server.received[0]).to.match(/Content-Length: 3\r\n[^]*\r\n\r\nabc$/)
    expect(server.received[1]).to.match(/Content-Length: 0\r\n/)
  })

  /**
   * Failure: a caller's stream is cut though its server still sends.
   * 1. A server that leaves is removed from the list. 2. Its idle connections are closed. 3. A connection in use must stay
   * open.
   */
  it('lets a response in progress finish when its server is forgotten', async () => {
    server = await startRawServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfi')
      setImmediate(() => {
        connections.forget(server!.address)
        setImmediate(() => socket.write('ne'))
      })
    })
    expect(await send(connections, server.address)).to.include({ end: 'whole', body: 'fine' })
  })

  it('closes its connection when cancelled, so that the server stops its work', async () => {
    const closed = new Promise<void>(resolve => {
      startRawServer(socket => socket.on('close', () => resolve())).then(started => {
        server = started
        const exchange = connections.exchange(
          { address: started.address, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0) },
          { onHead: () => {}, onData: () => {}, onEnd: () => {} }
        )
        const cancelOnceReceived = (): void => {
          if (started.received.length > 0) exchange.cancel('caller left')
          else setImmediate(cancelOnceReceived)
        }
        cancelOnceReceived()
      })
    })
    await closed
  })
}))

describe('an exchange through another instance', () => {
  const clock = createSystemClock()
  let forwarder: Forwarder
  let connections: Connections
  let server: RawServer
  let isListed: boolean

  beforeEach(async () => {
    isListed = true
    server = await startRawServer(() => {})
    forwarder = await startForwarder(clock, () => isListed)
    connections = createConnections(clock, forwarder.routes)
  })
  afterEach(async () => {
    connections.close()
    await forwarder.close()
    await server.close()
  })

  /** Guards against a request that is sent once more though it may have run: the other instance ends after it was sent. */
  it('is broken, not unsent, when that instance ends midway', async () => {
    const sent = send(connections, server.address)
    while (server.received.length === 0) await new Promise(resolve => setImmediate(resolve))
    forwarder.kill()
    expect((await sent).end).to.equal('broken')
  })

  /**
   * The end of that instance ends all its connections at once, and some of these ends are seen later than others: the attempt after
   * the first that breaks was lost on another one, and a request that may be sent twice ended though all servers were sound.
   */
  it('leaves no idle connection through that instance behind once one has broken', async () => {
    let isBreaking = false
    const breaking = await startRawServer(socket => {
      if (isBreaking) socket.resetAndDestroy()
      else socket.write('HTTP/1.1 200 OK\r\nKeep-Alive: timeout=15\r\nContent-Length: 0\r\n\r\n')
    })
    const ends = await Promise.all([send(connections, breaking.address), send(connections, breaking.address)])
    expect(ends.map(({ end }) => end)).to.deep.equal(['whole', 'whole'])
    isBreaking = true
    expect((await send(connections, breaking.address)).end).to.equal('broken')
    isBreaking = false
    expect((await send(connections, breaking.address)).end).to.equal('whole')
    expect(breaking.connections()).to.equal(3)
    await breaking.close()
  })

  /** Guards against part of a response as the whole: the end of that instance ends its connections like the server does. */
  it('is broken when that instance ends within a response without length', async () => {
    const part = await startRawServer(socket => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nfirst part')
      setTimeout(() => forwarder.kill(), 50)
    })
    expect(await send(connections, part.address)).to.include({ end: 'broken', body: 'first part' })
    await part.close()
  })

  /** Guards against an instance that connects its peers to anything they name. */
  it('is unsent for an address that is not that of a listed server', async () => {
    isListed = false
    expect((await send(connections, server.address)).end).to.equal('unsent')
    expect(server.connections()).to.equal(0)
  })

  /** Guards against a request that is lost on an idle connection through an instance that was switched off. */
  it('does not use an idle connection through an instance to which the link has ended', async () => {
    const whole = await startRawServer(socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=60\r\n\r\nfine'))
    expect((await send(connections, whole.address)).end).to.equal('whole')
    forwarder.setLinked(false)
    expect((await send(connections, whole.address)).end).to.equal('unsent')
    expect(whole.received).to.have.length(1)
    await whole.close()
  })

  /** Guards against a request on a kept connection through an instance that shuts down, and against one that holds up its end. */
  it('closes idle connections through an instance as that begins to shut down, and opens no more', async () => {
    const whole = await startRawServer(socket => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=60\r\n\r\nfine'))
    expect((await send(connections, whole.address)).end).to.equal('whole')
    forwarder.leave()
    await forwarder.server.drain(60_000)
    expect((await send(connections, whole.address)).end).to.equal('unsent')
    expect(whole.received).to.have.length(1)
    await whole.close()
  })

  /**
   * Guards against a request that is lost on an idle connection which was closed for it: the agent of Node hands out a closed
   * connection where another idle one comes before it, until the event of its end.
   */
  it('uses another idle connection beside one that is closed through an instance of which no use can be made', async () => {
    const sockets: Socket[] = []
    const answer = (socket: Socket | undefined): void => { socket!.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=60\r\n\r\nfine') }
    const held = await startRawServer((socket, _request, count) => {
      sockets.push(socket)
      if (count > 2) answer(socket)
    })
    const arrived = async (count: number): Promise<void> => { while (sockets.length < count) await new Promise(resolve => setImmediate(resolve)) }
    let dialled = 0
    let isUsable = true
    const routes = createDirectRoutes(clock)
    const mixed = createConnections(clock, {
      ...routes,
      dialer: { ...routes.dialer, dial: async address => ({ connection: await connectDirectly(clock, address, 1000), forwarder: (dialled += 1) === 1 ? undefined : 'other' }) },
      forwarders: { isUsable: () => isUsable, onLeaving: () => {} }
    })
    const direct = send(mixed, held.address)
    await arrived(1)
    const forwarded = send(mixed, held.address)
    await arrived(2)
    answer(sockets[0])
    await direct
    answer(sockets[1])
    await forwarded
    isUsable = false
    expect(await send(mixed, held.address)).to.include({ end: 'whole', body: 'fine' })
    expect(sockets[2]).to.equal(sockets[0])
    mixed.close()
    await held.close()
  })

  /** Guards against an answer that is given up, though the instance that shuts down still has the time for it. */
  it('goes on while that instance shuts down', async () => {
    const slow = await startRawServer(socket => { setTimeout(() => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine'), 100) })
    const sent = send(connections, slow.address)
    while (slow.received.length === 0) await new Promise(resolve => setImmediate(resolve))
    forwarder.leave()
    expect(await sent).to.include({ end: 'whole', body: 'fine' })
    await slow.close()
  })

  /** Guards against an instance that waits out its grace period for connections that nobody uses. */
  it('holds up the end of that instance until it has ended, and no longer', async () => {
    const exchange = send(connections, server.address)
    while (server.received.length === 0) await new Promise(resolve => setImmediate(resolve))
    let hasDrained = false
    const drained = forwarder.server.drain(60_000).then(() => { hasDrained = true })
    await new Promise(resolve => setImmediate(resolve))
    expect(hasDrained).to.equal(false)
    forwarder.server.close()
    await Promise.all([drained, exchange])
  })
})
