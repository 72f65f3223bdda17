import { expect } from 'chai'
import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo } from 'node:net'
import { createSystemClock } from '../../clock'
import { cutResponse } from '../cutResponse'

interface Case {
  name: string
  version: string
  headers: Record<string, string>
}

const CASES: Case[] = [
  { name: 'in chunks', version: '1.1', headers: {} },
  { name: 'with a length', version: '1.1', headers: { 'content-length': '900' } },
  { name: 'that ends with its connection', version: '1.0', headers: {} },
  { name: 'with a length, to a caller that may ignore it', version: '1.0', headers: { 'content-length': '900' } }
]

describe('cutting a response', () => {
  let server: Server
  afterEach(() => { server.close() })

  /** Guards against part of a response that a caller takes for the whole, by its last chunk or by the end of the connection. */
  CASES.forEach(({ name, version, headers }) => it(`${name} shows no end to a caller with HTTP/${version}`, async () => {
    server = createServer((_req, res: ServerResponse) => {
      res.writeHead(200, headers)
      res.write('first part', () => cutResponse(res, createSystemClock()))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const received = await new Promise<{ text: string, hasEnded: boolean }>(resolve => {
      let text = ''
      let hasEnded = false
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1', () => socket.write(`GET / HTTP/${version}\r\nHost: x\r\n\r\n`))
      socket.on('data', chunk => { text += String(chunk) })
      socket.on('end', () => { hasEnded = true })
      socket.on('error', () => {})
      socket.on('close', () => resolve({ text, hasEnded }))
    })
    expect(received.text).to.include('first part')
    expect(received.text.endsWith('0\r\n\r\n')).to.equal(false)
    if (version === '1.0') expect(received.hasEnded).to.equal(false)
  }))
})
