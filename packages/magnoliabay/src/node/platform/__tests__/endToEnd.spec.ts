import { createKvState, createMetadataStoreServer } from '@magnoliabay/standins'
import type { KvState, MetadataStoreServer } from '@magnoliabay/standins'
import { expect } from 'chai'
import { request } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { createWakeupCounter } from '../../wakeups'
import { createSystemClock } from '../../clock'
import { createSilentLogger } from '../../logger'
import { createServingInstance } from '../../serving/servingInstance'
import type { ServingInstance } from '../../serving/servingInstance'
import { startRawServer } from '../../serving/__tests__/rawServer'
import type { RawServer } from '../../serving/__tests__/rawServer'
import { createDiscovery, createEngineCalls, createMetadataStore, platformProtocol } from '..'
import type { Discovery } from '../discovery'

const KEY = 'i9n73hh2'
const respondTo = (request: string): string => `HTTP/1.1 200 OK\r\n${/x-magnoliabay-attempt-id: .*\r\n/i.exec(request)?.[0] ?? ''}X-Magnoliabay-Server-Signature: s\r\nContent-Length: 4\r\n\r\ndone`

interface HttpResponse {
  status: number
  body: string
}

interface Running {
  instance: ServingInstance
  discovery: Discovery
  entry: string
  metrics: string
  readiness: string
  resolution: string
}

async function freeAddresses (count: number): Promise<string[]> {
  const servers = await Promise.all(Array.from({ length: count }, () => new Promise<ReturnType<typeof createServer>>(resolve => {
    const server = createServer()
    server.listen(0, '127.0.0.1', () => resolve(server))
  })))
  const addresses = servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`)
  await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))))
  return addresses
}

function call (address: string, path: string, headers: Record<string, string> = {}, method = 'GET'): Promise<HttpResponse> {
  const [host, port] = address.split(':')
  return new Promise((resolve, reject) => {
    const req = request({ host, port, path, method, agent: false, headers }, res => {
      let body = ''
      res.on('data', (chunk: Buffer) => { body += chunk.toString() })
      res.on('end', () => resolve({ status: res.statusCode!, body }))
    })
    req.on('error', reject)
    req.end()
  })
}

/** Sends a request again until the response is as expected. From outside a process there is no event to wait for. */
async function pollUntil (send: () => Promise<HttpResponse>, isExpected: (response: HttpResponse) => boolean): Promise<HttpResponse> {
  for (;;) {
    const response = await send()
    if (isExpected(response)) return response
    await new Promise(resolve => setTimeout(resolve, 20))
  }
}

describe('serving instance on the platform, end to end', () => {
  const clock = createSystemClock()
  let state: KvState
  let store: MetadataStoreServer
  let server: RawServer
  let running: Running[]

  const put = (key: string, value: object): void => {
    state.transact({ compares: [], success: [{ kind: 'put', key, value: JSON.stringify(value) }], failure: [] })
  }
  const configOf = (version: number, keys: readonly string[]): object => ({
    version,
    routes: [{ name: 'r', hostname: 'site.example', prefix: '/notes/', 'route-kind': 'non_idempotent', 'timeout-ms': 3000, service: 'app' }],
    services: [{ name: 'app', 'connection-limit': 10 }],
    tenants: [{ name: 'depot', 'api-keys': keys, 'rate-per-s': 1000, burst: 1000 }]
  })
  const start = async (id: string): Promise<Running> => {
    const [entry, peers, metrics, readiness, resolution] = await freeAddresses(5) as [string, string, string, string, string]
    const kv = createMetadataStore({ address: store.address, clock, logger: createSilentLogger() })
    const instance = createServingInstance({
      settings: {
        instance: { id, failureDomain: 'a', region: 'r' },
        processorShare: 1,
        listen: { entry, peers, metrics },
        seeds: [],
        gracePeriodMs: 1300,
        orderLeaseMs: 100,
        allowanceWindowMs: 8000,
        allowanceTolerance: { ratio: 0.1, slack: 0 },
        isFirstStart: true,
        retryBudget: { ratio: 0.2, slack: 20 },
        storeLoadWindowMs: 5000,
        coldRateTolerance: { ratio: 1.5, slack: 5 },
        store: { minLeaseMs: 1000 }
      },
      protocol: platformProtocol,
      activity: createWakeupCounter(),
      store: kv,
      engines: createEngineCalls({ clock }),
      clock,
      logger: createSilentLogger(),
      random: () => 0
    })
    const discovery = createDiscovery({ clock, logger: createSilentLogger(), readinessAddress: readiness, resolutionAddress: resolution, isReady: instance.isReady, addressesFor: instance.entryAddressesFor, maxResolutionTtlMs: 5000 })
    await discovery.start()
    await instance.start()
    return { instance, discovery, entry, metrics, readiness, resolution }
  }
  const callNotes = (entry: string, key = KEY): Promise<HttpResponse> => call(entry, '/notes/7', { host: 'site.example', authorization: `Token ${key}`, 'x-magnoliabay-deadline-ms': '3000' }, 'POST')
  const waitUntilReady = ({ readiness }: Running): Promise<HttpResponse> => pollUntil(() => call(readiness, '/-/readiness'), response => response.status === 200)

  beforeEach(async () => {
    state = createKvState({ clock })
    store = await createMetadataStoreServer({ state, clock })
    server = await startRawServer((socket, request) => socket.write(respondTo(request)))
    running = []
  })
  afterEach(async () => {
    await Promise.all(running.map(each => each.instance.shutdown()))
    running.forEach(each => each.discovery.close())
    await store.close()
    await server.close()
    state.close()
  })

  it('is ready and serves requests once it has a configuration, and not before', async () => {
    running.push(await start('i1'))
    const [only] = running as [Running]
    expect((await call(only.readiness, '/-/readiness')).status).to.equal(503)
    expect((await callNotes(only.entry)).status).to.equal(503)
    put('op/config', configOf(1, [KEY]))
    put('servers/s1', { service: 'app', address: server.address, zone: 'a', slots: 6, state: 'ready', born: 1 })
    await waitUntilReady(only)
    expect(await callNotes(only.entry)).to.deep.equal({ status: 200, body: 'done' })
    expect(server.received[0]).to.match(/X-Magnoliabay-Tenant: depot/)
    const resolved = await call(only.resolution, '/-/resolution?name=site.example&region=r&zone=a')
    expect(JSON.parse(resolved.body)).to.deep.equal({ addresses: [only.entry], 'ttl-s': 2 })
  })

  it('stops accepting a withdrawn key and using a draining server', async () => {
    put('op/config', configOf(1, [KEY]))
    put('servers/s1', { service: 'app', address: server.address, zone: 'a', slots: 6, state: 'ready', born: 1 })
    running.push(await start('i1'))
    const [only] = running as [Running]
    await waitUntilReady(only)
    put('op/config', configOf(2, ['another']))
    await pollUntil(() => callNotes(only.entry), response => response.status === 401)
    put('servers/s1', { service: 'app', address: server.address, zone: 'a', slots: 6, state: 'draining', born: 1 })
    await pollUntil(() => callNotes(only.entry, 'another'), response => response.status === 503)
  })

  it('resolves to all ready instances, without those that are leaving', async () => {
    put('op/config', configOf(1, [KEY]))
    put('servers/s1', { service: 'app', address: server.address, zone: 'a', slots: 6, state: 'ready', born: 1 })
    running.push(await start('i1'), await start('i2'))
    const [one, two] = running as [Running, Running]
    await Promise.all(running.map(waitUntilReady))
    const resolve = (): Promise<HttpResponse> => call(one.resolution, '/-/resolution?name=site.example&region=r&zone=a')
    const addressesIn = (response: HttpResponse): string[] => (JSON.parse(response.body) as { addresses?: string[] }).addresses ?? []
    await pollUntil(resolve, response => addressesIn(response).length === 2)
    const left = two.instance.shutdown()
    await pollUntil(resolve, response => addressesIn(response).length === 1)
    await left
    expect((await callNotes(one.entry)).status).to.equal(200)
  })

  /** Guards against a process or a test run that does not end, because a port is still open. */
  it('listens at none of its addresses once it has shut down', async () => {
    running.push(await start('i1'))
    const [only] = running as [Running]
    expect((await call(only.metrics, '/metrics')).status).to.equal(200)
    await only.instance.shutdown()
    const results = await Promise.all([only.entry, only.metrics].map(address => call(address, '/').then(({ status }) => `status ${status}`, (err: NodeJS.ErrnoException) => err.code)))
    expect(results).to.deep.equal(['ECONNREFUSED', 'ECONNREFUSED'])
  })
})
