/** Engines and servers of plain services by the users' pages: entries in the store with heartbeats, reports, orders, requests. */
import { createServer } from 'node:http'

const HOST = '127.0.0.1'
const HEARTBEAT_MS = 1200
const MISDIRECTED = 421

/**
 * `entry`: further fields of its entry. `onRequest(req, res, body)`: answers a request of a client. `onReport(res, report)` and
 * `onOrder(order, res, server)`: answer the calls to an engine.
 */
export async function startServer ({ id, service, zone, slots, store, entry = {}, onRequest, onReport, onOrder }) {
  const born = Date.now()
  const state = { models: [], busy: false, sequence: 0, running: 0, ...entry, listed: entry.models }
  let answers = 0
  const server = createServer((req, res) => {
    const chunks = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      answers += 1
      const expected = req.headers['x-magnoliabay-expected-instance']
      if (expected !== undefined && expected !== id) {
        res.writeHead(MISDIRECTED, { 'content-length': 0 })
        return res.end()
      }
      if (req.url === '/health') {
        res.writeHead(200, { 'x-magnoliabay-instance-id': id, 'content-length': 0 })
        return res.end()
      }
      const body = Buffer.concat(chunks)
      if (req.url === '/-/report') return onReport(res, { stage: 'prefill_decode', models: state.models, busy: state.busy, sequence: state.sequence, waiting: 0, running: state.running, 'kv-cache-used': 0, 'kv-cache-total': 90_000, handles: 0, born })
      if (req.url === '/-/order') return onOrder(JSON.parse(body.toString()), res)
      onRequest(req, res, body)
    })
  })
  server.keepAliveTimeout = 15_000
  await new Promise(resolve => server.listen(0, HOST, resolve))
  const address = `${HOST}:${server.address().port}`
  const writeEntry = () => store.put(`servers/${id}`, { service, address, zone, version: 'v1', slots, state: 'ready', 'cold-remaining-ms': 0, sequence: state.sequence, born, ...(onReport === undefined ? {} : { models: state.listed }) })
  writeEntry()
  const timer = setInterval(writeEntry, HEARTBEAT_MS)
  return {
    id,
    address,
    state,
    writeEntry,
    answers: () => answers,
    close: () => {
      clearInterval(timer)
      server.closeAllConnections()
      return new Promise(resolve => server.close(resolve))
    }
  }
}

export function signedHeaders (req, id, length) {
  return {
    'content-type': 'text/plain',
    ...(length === undefined ? {} : { 'content-length': length }),
    'x-magnoliabay-attempt-id': req.headers['x-magnoliabay-attempt-id'],
    'x-magnoliabay-server-signature': `${id}.sound`
  }
}

export function sendJson (res, status, body) {
  const text = JSON.stringify(body)
  res.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}

/** The load time of the configuration's models. */
const LOAD_MS = 6000
/** Time after which an engine's entry shows that an order is done. */
const ENTRY_LAG_MS = 300

/**
 * A model engine that holds the model `m1`, carries out loads one at a time, and answers each request of a client with a stream of one
 * event. `onReport(res, report)` answers reports.
 */
export async function startEngine ({ id, zone, store, onRun = () => {}, onReport = (res, report) => sendJson(res, 200, report) }) {
  const holds = name => engine.state.models.some(model => model.name === name)
  const onOrder = ({ operation, model, precondition }, res) => {
    const { state } = engine
    if (state.busy || (precondition !== undefined && precondition !== state.sequence)) return sendJson(res, 409, {})
    if (holds(model) === (operation === 'loading')) return sendJson(res, 200, {})
    state.sequence += 1
    state.busy = true
    setTimeout(() => {
      state.busy = false
      state.models = operation === 'loading' ? [...state.models, { name: model, version: 1, adapters: [] }] : state.models.filter(({ name }) => name !== model)
      setTimeout(() => {
        state.listed = state.models
        engine.writeEntry()
      }, ENTRY_LAG_MS)
    }, operation === 'loading' ? LOAD_MS : 50)
    sendJson(res, 202, {})
  }
  const onRequest = (req, res) => {
    if (!holds(req.headers['x-magnoliabay-model'])) {
      res.writeHead(MISDIRECTED, { 'content-length': 0 })
      return res.end()
    }
    onRun(req.headers['x-magnoliabay-attempt-id'])
    res.writeHead(200, { ...signedHeaders(req, id, undefined), 'content-type': 'text/event-stream' })
    res.end('id: 1\ndata: x\n\n')
  }
  const engine = await startServer({ id, service: 'llm', zone, slots: 64, store, entry: { models: [{ name: 'm1', version: 1, adapters: [] }] }, onRequest, onReport, onOrder })
  return engine
}
