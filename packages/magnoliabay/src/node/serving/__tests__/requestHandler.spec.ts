import { createDirectStore, createKvState } from '@magnoliabay/standins'
import { expect } from 'chai'
import { request } from 'node:http'
import type { IncomingHttpHeaders } from 'node:http'
import { createWakeupCounter } from '../../wakeups'
import { createSystemClock } from '../../clock'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import { createRetryBudget, createSuspects } from '../../outcomes'
import { platformProtocol } from '../../platform'
import { createAllowanceLimiter } from '../allowance/allowanceLimiter'
import { createServingConfigProvider } from '../servingConfigProvider'
import { createConnections } from '../exchange'
import { createFleetView } from '../fleetView'
import { createEntryServer } from '../entryServer'
import type { EntryServer } from '../entryServer'
import { createServingMetrics } from '../metrics'
import { createPlacementClient } from '../placement/placementClient'
import { createServe } from '../requestHandler'
import { createServerHealth } from '../serverHealth'
import { createServerList } from '../serverList'
import type { RequestKind, ServingConfig } from '../types'
import { NO_EVACUATION, configOf, leadingOf, memberRecord, reportOf, routeOf, serverOf, teamOf } from './fixtures'
import { startRawServer } from './rawServer'
import type { RawServer } from './rawServer'

const KEY = 'key-of-depot'

interface Answer {
  status: number
  headers: IncomingHttpHeaders
  body: string
  /** Whether the answer ended as a whole one does. */
  isWhole: boolean
}

interface Door {
  address: string
  door: EntryServer
  close (): Promise<void>
}

const ROUTES = [
  routeOf('/read/'),
  routeOf('/write/', { kind: 'non-idempotent', maxAttempts: 2 }),
  routeOf('/stream/', { kind: 'stream', maxAttempts: 2 }),
  routeOf('/resumable/', { kind: 'stream', maxAttempts: 2, isResumable: true }),
  routeOf('/brief/', { kind: 'non-idempotent', timeoutMs: 150 })
]

interface DoorOptions {
  closingFor?: readonly RequestKind[]
  isCold?: (server: string) => boolean
  admitsCold?: (server: string) => boolean
}

async function openDoor (servers: readonly RawServer[], cfg: ServingConfig = configOf(1, { routes: ROUTES }), options: DoorOptions = {}): Promise<Door> {
  const clock = createSystemClock()
  const logger = createSilentLogger()
  const peers = createMemoryNetwork({ clock }).join(memberRecord('me'))
  const inForce = createServingConfigProvider({ decode: () => cfg, clock, logger })
  inForce.applyIfNewer('', 'store')
  const listed = createServerList({ decode: key => serverOf(key, { address: servers[Number(key)]!.address }), idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => 0, clock, logger })
  listed.snapshot(servers.map((_, index) => ({ key: String(index), value: '' })))
  const table = createFleetView({
    peers,
    clock,
    isLinked: () => true,
    leader: () => undefined,
    own: () => reportOf(),
    spentWithDownstream: () => [],
    leading: () => leadingOf('me'),
    latestClaim: () => 0,
    beforeSummary: () => {},
    summary: () => ({ configVersion: 1, storeAgeMs: 0, storeSteadyMs: Infinity, spent: [], evacuation: NO_EVACUATION, listDigest: '', membersDigest: '' }),
    onReport: () => {},
    onSummary: () => {}
  })
  const connections = createConnections(clock)
  const serve = createServe({
    cfg: inForce,
    wire: platformProtocol,
    servers: listed,
    health: createServerHealth(clock),
    table,
    placement: createPlacementClient({ peers, servers: listed, leader: () => undefined, isServerResponding: () => true, isIsolated: () => false, clock, logger }),
    allowance: createAllowanceLimiter({ peers, findTeam: name => cfg.teams?.find(team => team.name === name), windowMs: 8000, isFirstStart: true, store: createDirectStore(createKvState({ clock }), { clock }), era: () => 0, tolerance: { ratio: 0, slack: 0 }, clock, logger }),
    connections,
    coldStarts: { isCold: server => options.isCold?.(server.id) ?? false, admit: async server => options.admitsCold?.(server.id) ?? false },
    suspects: createSuspects({ peers, clock, logger, hasCrashed: async address => !await connections.isAccepting(address), refuseAfterCrashes: 2 }),
    retryBudget: () => createRetryBudget(),
    noteDemand: () => {},
    noteUse: () => {},
    noteActivity: () => {},
    isClosingFor: kind => options.closingFor?.includes(kind) ?? false,
    metrics: createServingMetrics(createWakeupCounter()),
    clock,
    logger,
    failureDomain: 'a',
    random: () => 0,
    pause: async () => {}
  })
  const door = createEntryServer({ address: '127.0.0.1:0', serve, isLeaving: () => false, clock, logger })
  await door.start()
  return {
    address: door.address(),
    door,
    close: async () => {
      await door.close(0)
      connections.close()
      await Promise.all(servers.map(server => server.close()))
    }
  }
}

function call (address: string, path: string, headers: Record<string, string> = {}, body = 'order'): Promise<Answer> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      path,
      method: 'POST',
      agent: false,
      headers: { host: 'site.example', authorization: `Token ${KEY}`, 'x-magnoliabay-attempt-id': 'try-1', 'x-magnoliabay-deadline-ms': '4000', ...headers }
    }, res => {
      let text = ''
      res.on('data', (chunk: Buffer) => { text += chunk.toString() })
      res.on('error', () => {})
      res.on('close', () => resolve({ status: res.statusCode!, headers: res.headers, body: text, isWhole: res.complete }))
    })
    req.on('error', reject)
    req.end(body)
  })
}

const SIGNED = 'X-Magnoliabay-Server-Signature: sig\r\nX-Magnoliabay-Attempt-Id: try-1\r\n'
const reply = (status: number, headers: string, body: string): string => `HTTP/1.1 ${status} X\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`
const GOOD = reply(200, SIGNED, 'done')

interface OutcomeCase {
  name: string
  path: string
  /** What the first and the second server send; `cut` breaks the connection off. */
  answers: [string, string]
  expected: { status: number, body?: string, isWhole?: boolean, sends: number }
}

const EVENT_1 = 'id: 1\ndata: one\n\n'
const EVENT_2 = 'id: 2\ndata: two\n\n'
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
/** A stream whose connection ends early. */
const part = (text: string): string => `HTTP/1.1 200 OK\r\n${SIGNED}Transfer-Encoding: chunked\r\n\r\n${chunk(text)}`
const stream = (text: string): string => `${part(text)}0\r\n\r\n`
const NOT_RUN = reply(503, 'X-Magnoliabay-Not-Executed: 1\r\n', '')
const CASES: OutcomeCase[] = [
  { name: 'a signed answer is passed on', path: '/write/1', answers: [GOOD, GOOD], expected: { status: 200, body: 'done', sends: 1 } },
  { name: 'a write whose connection breaks may have run: 502, sent once', path: '/write/1', answers: ['cut', GOOD], expected: { status: 502, sends: 1 } },
  { name: 'a read whose connection breaks is sent to the other server', path: '/read/1', answers: ['cut', GOOD], expected: { status: 200, body: 'done', sends: 2 } },
  { name: 'a write that the server says it has not run is sent to the other', path: '/write/1', answers: [NOT_RUN, GOOD], expected: { status: 200, body: 'done', sends: 2 } },
  { name: 'a write that has run and failed keeps its failure', path: '/write/1', answers: [reply(500, SIGNED, 'sorry'), GOOD], expected: { status: 500, body: 'sorry', sends: 1 } },
  { name: 'a read that has run and failed is tried elsewhere', path: '/read/1', answers: [reply(500, SIGNED, 'sorry'), GOOD], expected: { status: 200, sends: 2 } },
  { name: 'a 503 without the word that it has not run is no promise to pass on', path: '/write/1', answers: [reply(503, SIGNED, ''), GOOD], expected: { status: 502, sends: 1 } },
  { name: 'a success without a signature is no success', path: '/write/1', answers: [reply(200, '', 'done'), GOOD], expected: { status: 502, sends: 1 } },
  { name: 'the answer to another request is not passed on', path: '/write/1', answers: [reply(200, SIGNED.replace('try-1', 'try-0'), 'secret'), GOOD], expected: { status: 502, sends: 1 } },
  { name: 'an answer cut short is not passed on as whole', path: '/write/1', answers: [`HTTP/1.1 200 OK\r\n${SIGNED}Content-Length: 9\r\n\r\npart`, GOOD], expected: { status: 502, sends: 1 } },
  { name: 'a stream cut short breaks off', path: '/stream/1', answers: [part(`${EVENT_1}id: 2\ndata: part`), GOOD], expected: { status: 200, body: EVENT_1, isWhole: false, sends: 1 } },
  { name: 'a stream that may be resumed goes on at the other server', path: '/resumable/1', answers: [part(`${EVENT_1}id: 2\ndata: part`), stream(EVENT_2)], expected: { status: 200, body: EVENT_1 + EVENT_2, sends: 2 } },
  { name: 'a stream that would go on with another event breaks off', path: '/resumable/1', answers: [part(`${EVENT_1}part`), stream(EVENT_1)], expected: { status: 200, body: EVENT_1, isWhole: false, sends: 2 } },
  { name: 'a stream that fails before its first event and may be resumed is tried elsewhere', path: '/resumable/1', answers: [part('part'), stream(EVENT_1)], expected: { status: 200, body: EVENT_1, sends: 2 } }
]

describe('a request at the front door', () => {
  let open: Door | undefined
  afterEach(async () => {
    await open?.close()
    open = undefined
  })
  const answering = (text: string): Promise<RawServer> => startRawServer(socket => {
    if (text === 'cut') return socket.destroy()
    // Bytes that end early end with their connection.
    const isPart = text.includes('part')
    socket.write(text, () => { if (isPart) setImmediate(() => socket.end()) })
  })

  CASES.forEach(({ name, path, answers, expected }) => it(name, async () => {
    const servers = await Promise.all(answers.map(answering))
    open = await openDoor(servers)
    const answer = await call(open.address, path)
    expect(answer.status).to.equal(expected.status)
    expect(servers.reduce((sum, server) => sum + server.received.length, 0)).to.equal(expected.sends)
    if (expected.body !== undefined) expect(answer.body).to.equal(expected.body)
    expect(answer.isWhole).to.equal(expected.isWhole ?? true)
  }))

  it('passes on what the caller says, but for what is the system\'s to say', async () => {
    const server = await answering(GOOD)
    open = await openDoor([server])
    await call(open.address, '/write/1?a=b', {
      'x-magnoliabay-tenant': 'another',
      'x-magnoliabay-hold': 'h1',
      'kv-from': '10.0.0.1:1/x',
      'x-custom': 'kept',
      connection: 'close, x-custom-hop',
      'x-custom-hop': 'dropped'
    })
    const sent = server.received[0]!
    expect(sent).to.match(/^POST \/write\/1\?a=b HTTP\/1\.1\r\n/)
    expect(sent).to.match(/\r\nX-Magnoliabay-Tenant: depot\r\n/)
    expect(sent).to.match(/\r\nX-Magnoliabay-Expected-Instance: 0\r\n/)
    expect(sent).to.match(/\r\nx-custom: kept\r\n/i)
    expect(sent.toLowerCase()).not.to.match(/authorization|another|x-magnoliabay-hold|kv-from|x-custom-hop/)
    expect(sent).to.match(/\r\n\r\norder$/)
    const deadlineMs = Number(/Deadline-Ms: (\d+)/.exec(sent)![1])
    expect(deadlineMs).to.be.within(1, 4000)
  })

  it('asks the other server for what comes after the last event', async () => {
    const servers = await Promise.all([part(`${EVENT_1}part`), stream(EVENT_2)].map(answering))
    open = await openDoor(servers)
    await call(open.address, '/resumable/1')
    expect(servers[1]!.received[0]).to.match(/\r\nLast-Event-Id: 1\r\n/)
  })

  const REFUSALS = [
    { name: 'an unknown key', path: '/read/1', headers: { authorization: 'Token nobody' }, status: 401 },
    { name: 'no key', path: '/read/1', headers: { authorization: '' }, status: 401 },
    { name: 'no route', path: '/none/1', headers: {}, status: 404 },
    { name: 'another host', path: '/read/1', headers: { host: 'other.example' }, status: 404 }
  ]
  REFUSALS.forEach(({ name, path, headers, status }) => it(`refuses ${name} with ${status}, and sends nothing`, async () => {
    const server = await answering(GOOD)
    open = await openDoor([server])
    expect((await call(open.address, path, headers as unknown as Record<string, string>)).status).to.equal(status)
    expect(server.received).to.have.length(0)
  }))

  it('refuses beyond the allowance with the time to come back, and sends nothing', async () => {
    const server = await answering(GOOD)
    open = await openDoor([server], configOf(1, { routes: ROUTES, teams: [teamOf('depot', { rate: 1, burst: 1 })] }))
    const usage = { 'x-magnoliabay-token-usage': '5,4' }
    expect((await call(open.address, '/write/1', usage)).status).to.equal(200)
    const refused = await call(open.address, '/write/1', usage)
    expect(refused.status).to.equal(429)
    expect(Number(refused.headers['retry-after'])).to.be.greaterThan(1)
    expect(server.received).to.have.length(1)
  })

  it('ends a request at its route\'s time: it may have run, so nothing else is promised', async () => {
    const server = await startRawServer(() => {})
    open = await openDoor([server])
    expect((await call(open.address, '/brief/1')).status).to.equal(504)
  })

  /**
   * A caller that closes leaves work behind that nobody wants.
   * 1. The request is under way at a server. 2. The caller closes. 3. The server's connection is closed at once.
   */
  it('stops the server\'s work when the caller leaves', async () => {
    let isStopped: () => void = () => {}
    const stopped = new Promise<void>(resolve => { isStopped = resolve })
    const server = await startRawServer(socket => socket.on('close', () => isStopped()))
    open = await openDoor([server])
    const [host, port] = open.address.split(':')
    const req = request({ host, port, path: '/write/1', method: 'POST', agent: false, headers: { host: 'site.example', authorization: `Token ${KEY}` } })
    req.on('error', () => {})
    req.end('order')
    const leaveOnceSent = (): void => {
      if (server.received.length > 0) req.destroy()
      else setImmediate(leaveOnceSent)
    }
    leaveOnceSent()
    await stopped
  })

  /**
   * One caller takes down one server after the other.
   * 1. A request kills each server that begins to run it. 2. Its caller sends it again. 3. After two deaths here it is
   * refused, not run; the same caller's other requests are served.
   */
  it('refuses a request that was there when servers died, and no other', async () => {
    const dying = await Promise.all([0, 1].map(async () => {
      const server: RawServer = await startRawServer(socket => {
        server.stopListening()
        socket.destroy()
      })
      return server
    }))
    const sound = await answering(GOOD)
    open = await openDoor([...dying, sound])
    const statuses: number[] = []
    for (let turn = 0; turn < 3; turn += 1) {
      statuses.push((await call(open.address, '/write/1', {}, 'deadly')).status)
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    expect(statuses).to.deep.equal([502, 502, 503])
    expect((await call(open.address, '/write/1', {}, 'harmless')).status).to.equal(200)
  })

  /**
   * A caller that kept the address of an instance about to end sends a stream there, and is cut in the middle.
   * 1. The instance was asked to stop some seconds ago. 2. The stream would outlast it. 3. It is refused at once, not
   * run, and goes elsewhere; a short call is still served.
   */
  it('refuses a stream that would outlast the process, and serves a call that does not', async () => {
    const server = await answering(GOOD)
    open = await openDoor([server], undefined, { closingFor: ['stream'] })
    const refused = await call(open.address, '/stream/1')
    expect(refused.status).to.equal(503)
    expect(refused.headers).to.have.property('retry-after')
    expect(server.received).to.have.length(0)
    expect((await call(open.address, '/write/1')).status).to.equal(200)
  })

  /** Guards against a server that crashes right after its start, and against one that is left idle meanwhile. */
  it('sends to a cold server what may go there, and the rest to another', async () => {
    const [cold, warm] = [await answering(GOOD), await answering(GOOD)]
    let admitted = 1
    open = await openDoor([cold, warm], undefined, { isCold: () => true, admitsCold: server => server !== '0' || admitted-- > 0 })
    const statuses = [await call(open.address, '/write/1', {}, 'one'), await call(open.address, '/write/1', {}, 'two')].map(({ status }) => status)
    expect(statuses).to.deep.equal([200, 200])
    expect(cold.received).to.have.length(1)
    expect(warm.received).to.have.length(1)
  })

  it('answers 503 while no configuration is known, never 401 or 404', async () => {
    const clock = createSystemClock()
    const logger = createSilentLogger()
    const cfg = createServingConfigProvider({ decode: () => undefined, clock, logger })
    const serve = createServe({
      cfg, wire: platformProtocol, noteActivity: () => {}, clock, logger, metrics: createServingMetrics(createWakeupCounter()), random: () => 0, failureDomain: 'a', pause: async () => {}
    } as unknown as Parameters<typeof createServe>[0])
    const door = createEntryServer({ address: '127.0.0.1:0', serve, isLeaving: () => false, clock, logger })
    await door.start()
    const answer = await call(door.address(), '/read/1')
    expect(answer.status).to.equal(503)
    expect(answer.headers).to.have.property('retry-after')
    await door.close(0)
  })
})
