import { copyFile, mkdtemp, rm, writeFile } from 'node:fs/promises'
import type { Server as HttpServer } from 'node:http'
import { connect as connectPlain } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { connect } from 'node:tls'
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { parseSettings } from '../../config'
import { createLogger, createSilentLogger } from '../../logger'
import { createCertificates } from '../certificates'
import type { Certificates } from '../certificates'
import { createHttpServer } from '../httpServer'
import { createTlsTransport } from '../peerTransport'

const fixture = (name: string): string => join(import.meta.dirname, 'fixtures', name)
const clock = createVirtualClock()

async function certificatesOf (name: string): Promise<Certificates> {
  const files = { cert: fixture(`${name}.pem`), key: fixture(`${name}.key`), ca: fixture('ca.pem') }
  const certificates = createCertificates({ use: 'test', files, clock, logger: createSilentLogger() })
  await certificates.load()
  return certificates
}

async function listen (server: Server | HttpServer): Promise<number> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', () => resolve()))
  return (server.address() as AddressInfo).port
}

/** Returns the common name in the certificate that the server presents. */
function serverCertificateName (port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect({ host: '127.0.0.1', port, rejectUnauthorized: false }, () => {
      resolve(String(socket.getPeerCertificate().subject.CN))
      socket.destroy()
    })
    socket.on('error', reject)
  })
}

describe('TLS', () => {
  // Guards against loading a certificate and key that don't match. Operators renew a certificate by writing two files,
  // one after the other, and the instance may read them in between. It must keep the old pair, load the new one at the
  // next check, and present it without a restart.
  it('reloads renewed files without a restart, but not a certificate and key that do not match', async () => {
    const directory = await mkdtemp(join(tmpdir(), 'magnoliabay-tls-'))
    const put = (file: string, as: string): Promise<void> => copyFile(fixture(file), join(directory, as))
    await put('one.pem', 'cert.pem')
    await put('one.key', 'key.pem')
    const lines: string[] = []
    const logger = createLogger({ write: line => lines.push(line) })
    const files = { cert: join(directory, 'cert.pem'), key: join(directory, 'key.pem') }
    const certificates = createCertificates({ use: 'callers', files, intervalMs: 1000, clock, logger })
    await certificates.load()
    const server = createHttpServer({}, certificates)
    const port = await listen(server)
    const stop = new AbortController()
    const untilLogged = async (event: string): Promise<void> => {
      while (!lines.some(line => line.includes(event))) await clock.advance(1000)
      lines.length = 0
    }
    lines.length = 0
    certificates.start(stop.signal)
    // Guards against a server without a certificate: a file that is being written is empty at first.
    await writeFile(join(directory, 'cert.pem'), '')
    await untilLogged('certificate-not-read')
    expect(await serverCertificateName(port)).to.equal('one')
    await put('two.pem', 'cert.pem')
    await untilLogged('certificate-not-read')
    expect(await serverCertificateName(port)).to.equal('one')
    await put('two.key', 'key.pem')
    await untilLogged('certificate-in-use')
    expect(await serverCertificateName(port)).to.equal('two')
    stop.abort()
    server.close()
    await rm(directory, { recursive: true })
  })

  // A client that connects to the peer port without a certificate signed by the peers' authority must be refused without
  // receiving any data, and logged once. `isLinked`: whether the listening side accepts the connection.
  const DIALERS: ReadonlyArray<{ name: string, isLinked: boolean, dial: (port: number) => Promise<Socket> }> = [
    { name: 'a certificate of the same authority', isLinked: true, dial: async port => createTlsTransport({ certificates: await certificatesOf('two'), logger: createSilentLogger() }).dial({ host: '127.0.0.1', port, timeout: 1000 }) },
    { name: 'a self-signed certificate', isLinked: false, dial: async port => createTlsTransport({ certificates: await certificatesOf('stranger'), logger: createSilentLogger() }).dial({ host: '127.0.0.1', port, timeout: 1000 }) },
    { name: 'no certificate', isLinked: false, dial: async port => connect({ host: '127.0.0.1', port, rejectUnauthorized: false }) },
    { name: 'plain text', isLinked: false, dial: async port => connectPlain({ host: '127.0.0.1', port }, function (this: Socket) { this.write('hello, hello') }) }
  ]
  DIALERS.forEach(({ name, isLinked, dial }) => it(`${isLinked ? 'accepts' : 'refuses'} a peer with ${name}`, async () => {
    const lines: string[] = []
    const logger = createLogger({ write: line => lines.push(line) })
    let linked = 0
    const server = createTlsTransport({ certificates: await certificatesOf('one'), logger }).createServer(socket => {
      linked += 1
      socket.on('error', () => {})
      socket.end('welcome')
    })
    const socket = await dial(await listen(server))
    socket.on('error', () => {})
    socket.resume()
    await new Promise(resolve => socket.once('close', resolve))
    expect(linked).to.equal(isLinked ? 1 : 0)
    expect(lines.filter(line => line.includes('peer-refused')).length).to.equal(isLinked ? 0 : 1)
    server.close()
  }))

  const settingsText = (entry: string, extra: string): string => `
[instance]
id = "a"
site = "tin"
region = "r"
failureDomain = "d"
entryAddress = "${entry}"
peerAddress = "127.0.0.1:2"
operatorAddress = "[::1]:3"
[platform]
store = ["http://127.0.0.1:2379"]
instanceList = "http://127.0.0.1:1/instances"
${extra}`
  const PLAIN_TEXT_CASES: ReadonlyArray<{ name: string, text: string, paths: string[] }> = [
    { name: 'a loopback address', text: settingsText('127.0.0.1:1', ''), paths: [] },
    { name: 'another address', text: settingsText('10.1.2.3:1', ''), paths: ['instance.entryAddress'] },
    { name: 'another address with a certificate', text: settingsText('10.1.2.3:1', '[tls]\ncallers = { cert = "c", key = "k" }'), paths: [] },
    { name: 'another address when it is allowed explicitly', text: settingsText('10.1.2.3:1', '[tls]\nallowPlainText = true'), paths: [] }
  ]
  PLAIN_TEXT_CASES.forEach(({ name, text, paths }) => it(`${paths.length === 0 ? 'accepts' : 'refuses'} settings for ${name}`, () => {
    const parsed = parseSettings('a.toml', text)
    expect(parsed.err ? parsed.val.problems.map(problem => problem.path) : []).to.deep.equal(paths)
  }))
})
