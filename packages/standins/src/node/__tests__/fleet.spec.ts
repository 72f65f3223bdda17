import { expect } from 'chai'
import { createServer } from 'node:net'
import { request as httpRequest } from 'undici'
import { createStandInFleet, expectedText, serviceAnswer } from '..'
import type { EngineFaults, ServiceFaults, StandInFleet } from '..'

interface Answer {
  status: number
  headers: Readonly<Record<string, unknown>>
  text: string
}

async function post (address: string, path: string, body: unknown, headers: Record<string, string> = {}): Promise<Answer> {
  const res = await httpRequest(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body), headers })
  return { status: res.statusCode, headers: res.headers, text: await res.body.text() }
}

/** Resolves to undefined when the connection broke. */
function tryPost (...call: Parameters<typeof post>): Promise<Answer | undefined> {
  return post(...call).catch(() => undefined)
}

function base64 (text: string): string {
  return Buffer.from(text).toString('base64')
}

function dataOf (sse: string): string[] {
  return sse.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length))
}

function contentOf (sse: string): string {
  return dataOf(sse).filter(data => data !== '[DONE]').map(data => JSON.parse(data).choices[0].delta.content ?? '').join('')
}

describe('stand-in servers', () => {
  const body = { model: 'm', stream: true, messages: [{ role: 'user', content: 'question' }] }
  const expectedAnswer = expectedText({ model: 'm', prompt: 'question' })
  let fleet: StandInFleet

  beforeEach(async () => { fleet = await createStandInFleet({ engines: 1, weights: { loadMsPerGiB: 1 } }) })
  afterEach(() => fleet.close())

  const engineAddress = (): string => fleet.engines[0]?.address ?? ''
  const load = () => post(engineAddress(), '/control/orders', { orderId: 'o1', fence: 1, action: 'load', model: 'm', memoryMiB: 64 })
  const setFaults = (name: string, faults: object) => post(fleet.adminAddress, `/${name}/faults`, faults)
  const complete = () => tryPost(engineAddress(), '/v1/chat/completions', body, { 'x-request-id': 'r1', 'x-team': 'parish' })

  it('key-value service: reads and writes the gateway\'s JSON', async () => {
    const put = { requestPut: { key: base64('k/1'), value: base64('v') } }
    const compare = { key: base64('k/1'), target: 'CREATE', create_revision: '0' }
    const won = await post(fleet.kv.address, '/v3/kv/txn', { compare: [compare], success: [put] })
    const lost = await post(fleet.kv.address, '/v3/kv/txn', { compare: [compare], success: [put] })
    expect([JSON.parse(won.text).succeeded, JSON.parse(lost.text).succeeded]).to.deep.equal([true, undefined])
    const range = await post(fleet.kv.address, '/v3/kv/range', { key: base64('k/'), range_end: base64('k0') })
    expect(JSON.parse(range.text).kvs).to.deep.equal([
      { key: base64('k/1'), create_revision: '2', mod_revision: '2', version: '1', value: base64('v') }
    ])
    const refused = await post(fleet.kv.address, '/v3/kv/put', { key: base64('k'), value: '', lease: '42' })
    expect([refused.status, JSON.parse(refused.text).code]).to.deep.equal([404, 5])
  })

  it('key-value service: streams a watch from a past revision', async () => {
    await post(fleet.kv.address, '/v3/kv/put', { key: base64('k/1'), value: base64('v') })
    const res = await httpRequest(`http://${fleet.kv.address}/v3/watch`, {
      method: 'POST', body: JSON.stringify({ create_request: { key: base64('k/'), range_end: base64('k0'), start_revision: '1' } })
    })
    await post(fleet.kv.address, '/v3/kv/deleterange', { key: base64('k/1') })
    let text = ''
    for await (const chunk of res.body) {
      text += String(chunk)
      if (text.includes('DELETE')) break
    }
    const results = text.trim().split('\n').map(line => JSON.parse(line).result)
    expect(results[0].created).to.equal(true)
    expect(results.slice(1).map(result => result.events[0].type ?? 'PUT')).to.deep.equal(['PUT', 'DELETE'])
  })

  // The write takes effect, then the connection is cut instead of an answer.
  it('key-value service: loses answers of writes that took effect, and refuses connections while down', async () => {
    const put = () => tryPost(fleet.kv.address, '/v3/kv/put', { key: base64('k'), value: base64('v') })
    await setFaults('kv', { loseAnswers: true })
    expect(await put()).to.equal(undefined)
    expect(fleet.kv.state.range({ key: 'k' }).length).to.equal(1)
    await setFaults('kv', { loseAnswers: false, down: 'refused' })
    expect(await put()).to.equal(undefined)
    await setFaults('kv', { down: 'status' })
    expect((await put())?.status).to.equal(503)
    await setFaults('kv', { down: 'no' })
    expect((await put())?.status).to.equal(200)
    expect(fleet.kv.state.range({ key: 'k' })[0]?.version).to.equal(2)
  })

  it('admin: changes nothing when a field is unknown or of the wrong type', async () => {
    const refused = await setFaults('kv', { slowMs: 5, down: true, nonsense: 1 })
    expect([refused.status, JSON.parse(refused.text).wrong]).to.deep.equal([400, ['down', 'nonsense']])
    expect(fleet.kv.faults.current.slowMs).to.equal(0)
  })

  it('engine: refuses a model that is not loaded, then streams the complete answer with ids, usage and [DONE]', async () => {
    const refused = await complete()
    expect([refused?.status, refused?.headers['x-not-run']]).to.deep.equal([404, 'true'])
    await load()
    const answer = await complete()
    const data = dataOf(answer?.text ?? '')
    expect(contentOf(answer?.text ?? '')).to.equal(expectedAnswer)
    expect(answer?.headers['x-request-id']).to.equal('r1')
    expect(answer?.text.startsWith('id: r1:0\n')).to.equal(true)
    expect(data.at(-1)).to.equal('[DONE]')
    expect(JSON.parse(data.at(-2) ?? '').usage.completion_tokens).to.equal(data.length - 2)
    const record = fleet.engines[0]?.state.records().requests.at(-1)
    expect([record?.team, record?.completed, record?.tokens]).to.deep.equal(['parish', true, data.length - 2])
  })

  it('engine: resumes a finished stream from the requested event', async () => {
    await load()
    await complete()
    const res = await httpRequest(`http://${engineAddress()}/control/resume?request=r1&from=3`)
    const text = await res.body.text()
    expect(text.startsWith('id: r1:3\n')).to.equal(true)
    expect(expectedAnswer.endsWith(contentOf(text))).to.equal(true)
  })

  // The connection breaks after the first token. The engine continues, and sends the rest on a new connection.
  it('engine: resumes a stream whose connection broke while it ran', async () => {
    await load()
    await setFaults('engine-1', { dieAfterFirstByte: true })
    expect(await complete()).to.equal(undefined)
    await setFaults('engine-1', { dieAfterFirstByte: false })
    const res = await httpRequest(`http://${engineAddress()}/control/resume?request=r1&from=1`)
    const text = await res.body.text()
    expect(contentOf(text)).to.equal(expectedAnswer.slice(expectedAnswer.indexOf(' ') + 1))
    expect(dataOf(text).at(-1)).to.equal('[DONE]')
  })

  it('engine: executes an order once, whether it is answered twice or never', async () => {
    await setFaults('engine-1', { orderAnswer: 'never' })
    const stop = new AbortController()
    const order = JSON.stringify({ orderId: 'o1', fence: 1, action: 'load', model: 'm', memoryMiB: 64 })
    const unanswered = httpRequest(`http://${engineAddress()}/control/orders`, { method: 'POST', body: order, signal: stop.signal })
      .catch(() => undefined)
    const state = fleet.engines[0]?.state
    while (state?.state().models[0]?.state !== 'loaded') await new Promise(setImmediate)
    stop.abort()
    expect(await unanswered).to.equal(undefined)
    await setFaults('engine-1', { orderAnswer: 'twice' })
    expect(JSON.parse((await load()).text)).to.deep.equal({ orderId: 'o1', outcome: 'done' })
    expect(state?.records().orders.map(record => record.arrivals)).to.deep.equal([2])
    expect(fleet.weights.records().length).to.equal(1)
  })

  // The caller of a faulty engine gets a broken connection, a refusal or a wrong answer.
  const ENGINE_FAULTS: ReadonlyArray<{ faults: Partial<EngineFaults>, observe: (answer: Answer | undefined) => unknown, expected: unknown }> = [
    { faults: { dieAfterFirstByte: true }, observe: answer => answer, expected: undefined },
    { faults: { dieBeforeEnd: true }, observe: answer => answer, expected: undefined },
    { faults: { crashOnPrompt: 'question', restartAfterMs: 0 }, observe: answer => answer, expected: undefined },
    { faults: { crossedAnswers: true }, observe: answer => answer?.headers['x-request-id'], expected: 'crossed-r1' },
    { faults: { doubleAnswer: true }, observe: answer => contentOf(answer?.text ?? ''), expected: expectedAnswer + expectedAnswer },
    { faults: { refuse: true }, observe: answer => answer?.headers['x-not-run'], expected: 'true' }
  ]

  ENGINE_FAULTS.forEach(({ faults, observe, expected }) => it(`engine: shows the caller the fault ${JSON.stringify(faults)}`, async () => {
    await load()
    await setFaults('engine-1', faults)
    expect(observe(await complete())).to.deep.equal(expected)
  }))

  it('engine: refuses connections while crashed, and restarts at the same address with nothing loaded', async () => {
    await load()
    await setFaults('engine-1', { crash: true })
    expect(await complete()).to.equal(undefined)
    await setFaults('engine-1', { crash: false })
    expect((await complete())?.status).to.equal(404)
  })

  // The call that waits on the old connection never gets any data; the same call on a new connection is answered.
  it('engine: silent connections stay open and silent while new ones work', async () => {
    await load()
    await setFaults('engine-1', { stall: true })
    const stop = new AbortController()
    const res = await httpRequest(`http://${engineAddress()}/v1/chat/completions`, {
      method: 'POST', body: JSON.stringify(body), headers: { 'x-request-id': 'r0' }, signal: stop.signal
    })
    let received = ''
    res.body.on('data', chunk => { received += String(chunk) })
    res.body.on('error', () => {})
    await setFaults('engine-1', { silentConnections: true })
    await setFaults('engine-1', { stall: false })
    await fleet.engines[0]?.state.findRun('r0')?.ended
    expect(contentOf((await complete())?.text ?? '')).to.equal(expectedAnswer)
    expect([received, res.body.destroyed]).to.deep.equal(['', false])
    stop.abort()
  })

  // The caller can't tell from the answer whether the call ran; the service's record shows how often it did.
  const SERVICE_FAULTS: ReadonlyArray<{ faults: Partial<ServiceFaults>, answered: boolean, runs: number }> = [
    { faults: {}, answered: true, runs: 1 },
    { faults: { loseAnswer: true }, answered: false, runs: 1 },
    { faults: { crashMid: true }, answered: false, runs: 1 },
    { faults: { crash: true }, answered: false, runs: 0 }
  ]

  SERVICE_FAULTS.forEach(({ faults, answered, runs }) => it(`service: with the faults ${JSON.stringify(faults)}, runs a call ${runs} times`, async () => {
    const service = fleet.services[0]
    await setFaults('notes-1', faults)
    const answer = await tryPost(service?.address ?? '', '/deposit', { parish: 1 }, { 'idempotency-key': 'k' })
    expect(service?.state.runsByIdempotencyKey()).to.deep.equal(runs === 0 ? {} : { k: runs })
    expect(service?.state.records().map(record => record.answered)).to.deep.equal(runs === 0 ? [] : [answered])
    const echo = serviceAnswer('notes', { method: 'POST', path: '/deposit', body: '{"parish":1}' })
    expect(answer?.text).to.equal(answered ? JSON.stringify(echo) : undefined)
  }))

  it('list: shows all instances at the start, and the status of a leaving instance after its lag', async () => {
    const list = async () => {
      const res = await httpRequest(`http://${fleet.list.address}/instances`)
      return (await res.body.json() as { instances: Array<{ id: string, status: string }> }).instances
    }
    fleet.startDraining('engine-1')
    expect((await list()).map(instance => `${instance.id} ${instance.status}`)).to.deep.equal(['engine-1 live', 'notes-1 live'])
    fleet.list.state.flush()
    expect((await list()).map(instance => `${instance.id} ${instance.status}`)).to.deep.equal(['engine-1 leaving', 'notes-1 live'])
  })

  it('frees its ports when closed', async () => {
    const [host, port] = fleet.kv.address.split(':')
    await fleet.close()
    const server = createServer()
    await new Promise<void>((resolve, reject) => server.once('error', reject).listen(Number(port), host, resolve))
    await new Promise(resolve => server.close(resolve))
  })
})
