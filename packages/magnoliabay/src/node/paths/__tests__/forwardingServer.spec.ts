/** Connections to servers that are forwarded for members, on loopback. */
import { expect } from 'chai'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { createSystemClock } from '../../clock'
import { detectProtocol } from '../../members/firstByte'
import type { MemberRecord } from '../../members'
import { memberRecord } from '../../serving/__tests__/fixtures'
import { connectDirectly } from '../connectDirectly'
import { createForwardingServer } from '../forwardingServer'

const HOST = '127.0.0.1'

const memberAt = (host: string, incarnation: string): MemberRecord => memberRecord(incarnation, { incarnation, peerAddress: `${host}:1` })
const listen = (server: Server): Promise<string> => new Promise(resolve => server.listen(0, HOST, () => resolve(`${HOST}:${(server.address() as AddressInfo).port}`)))

const sendConnect = (port: number, target: string, headers: string): Promise<string> => sendRequest(port, `CONNECT ${target}`, headers)

/** Sends a request and returns the first line of the answer. */
function sendRequest (port: number, methodAndTarget: string, headers: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, HOST, () => socket.write(`${methodAndTarget} HTTP/1.1\r\nHost: x\r\n${headers}\r\n`))
    socket.once('data', chunk => {
      socket.destroy()
      resolve(String(chunk).split('\r\n')[0]!)
    })
    socket.once('error', reject)
  })
}

describe('forwarding of connections to servers', () => {
  const clock = createSystemClock()
  const servers: Server[] = []
  let connections = 0
  let target = ''
  let port = 0
  before(async () => {
    const backend = createServer(socket => {
      connections += 1
      socket.on('error', () => {})
    })
    const members = [memberAt(HOST, 'here-1'), memberAt('127.0.0.2', 'elsewhere-1')]
    const forwarding = createForwardingServer({ dialForPeer: address => connectDirectly(clock, address, 1000), members: () => members, isListed: () => true, isLeaving: () => false, clock })
    const listener = createServer(socket => detectProtocol(socket, clock, () => forwarding.accept(socket)))
    servers.push(backend, listener)
    target = await listen(backend)
    await listen(listener)
    port = (listener.address() as AddressInfo).port
  })
  after(() => servers.forEach(server => server.close()))
  beforeEach(() => { connections = 0 })

  // Anyone who reaches the port of peers would reach backend servers, whose network may be closed to them.
  const REFUSED: ReadonlyArray<{ name: string, headers: string }> = [
    { name: 'that names no process', headers: '' },
    { name: 'of a process that is no member', headers: 'X-Incarnation: stranger-1\r\n' },
    { name: 'that names a member of another host', headers: 'X-Incarnation: elsewhere-1\r\n' },
    { name: 'that names several', headers: 'X-Incarnation: stranger-1\r\nX-Incarnation: here-1\r\n' }
  ]
  REFUSED.forEach(({ name, headers }) => it(`refuses a request ${name}, and connects to nothing`, async () => {
    expect(await sendConnect(port, target, headers)).to.match(/^HTTP\/1\.1 403/)
    expect(connections).to.equal(0)
  }))

  /** Guards against strangers who learn which connections the instance forwards. */
  it('says to members only how a connection ended', async () => {
    expect(await sendRequest(port, 'GET /tunnel-ends/t1', '')).to.match(/^HTTP\/1\.1 403/)
    expect(await sendRequest(port, 'GET /tunnel-ends/t1', 'X-Incarnation: here-1\r\n')).to.match(/^HTTP\/1\.1 404/)
  })

  it('connects a member', async () => {
    expect(await sendConnect(port, target, 'X-Incarnation: here-1\r\n')).to.match(/^HTTP\/1\.1 200/)
  })
})
