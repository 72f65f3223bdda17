/** A move as engines see it on the wire: both calls, the second send, and the stream that the source closes regularly. */
import { expect } from 'chai'
import type { Socket } from 'node:net'
import { createSystemClock } from '../../../clock'
import { createInputMonitor } from '../../../inputs'
import { createRunCalls } from '../../../platform/runCalls'
import { createConnections } from '../../exchange'
import { startRawServer } from '../../__tests__/rawServer'
import { createStreamRig } from './support/streamRig'

const HEAD = 'HTTP/1.1 200 OK\r\nX-Magnoliabay-Server-Signature: sig\r\nX-Magnoliabay-Attempt-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n'
const MAX_POLLS = 5000
const END = '0\r\n\r\n'
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
const event = (id: number): string => chunk(`id: ${id}\ndata: event\n\n`)
const json = (body: object): string => {
  const text = JSON.stringify(body)
  return `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\n\r\n${text}`
}
const isMove = (request: string): boolean => request.startsWith('POST /-/kv-move ')
/** Waits for a state; ends after a number of polls, so that a failure is reported. */
const until = async (condition: () => boolean): Promise<void> => {
  for (let polls = 0; polls < MAX_POLLS && !condition(); polls += 1) await new Promise(resolve => setTimeout(resolve, 1))
  expect(condition(), condition.toString()).to.equal(true)
}

describe('a move over the network', () => {
  it('continues the stream within the same response', async () => {
    let streamSocket: Socket | undefined
    const source = await startRawServer((socket, request) => {
      if (!isMove(request)) {
        streamSocket = socket
        return socket.write(`${HEAD}${event(1)}${event(2)}`)
      }
      if (!request.includes('"last":true')) return socket.write(json({ handle: 'h1', created: 2 }))
      streamSocket!.write(`${event(3)}${END}`)
      socket.write(json({ handle: 'h2', created: 3 }))
    })
    const target = await startRawServer(socket => socket.write(`${HEAD}${event(4)}${event(5)}${END}`))
    const connections = createConnections(createSystemClock())
    const runCalls = createRunCalls({ clock: createSystemClock(), inputs: createInputMonitor() })
    const rig = createStreamRig({ engines: { a1: {}, a2: {} }, hasMoves: true, network: { connections, runCalls, addresses: { a1: source.address, a2: target.address } } })
    const caller = rig.call('/single/1', { 'x-magnoliabay-token-usage': '500,40' })
    await until(() => caller.eventIds().length === 2)
    rig.giveNotice('a1', 2000)
    await rig.clock.advance(1)
    await until(() => caller.end() !== 'open')
    expect(caller.end()).to.equal('complete')
    expect(caller.eventIds()).to.deep.equal([1, 2, 3, 4, 5])
    expect(source.received.filter(isMove)).to.have.length(2)
    expect(target.received).to.have.length(1)
    expect(target.received[0]).to.contain(`Kv-From: ${source.address}/h2\r\n`).and.to.contain('Last-Event-Id: 3\r\n')
    runCalls.closeConnections(source.address)
    connections.close()
    await Promise.all([source.close(), target.close()])
  })
})
