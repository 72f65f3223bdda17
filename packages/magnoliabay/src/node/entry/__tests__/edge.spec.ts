import { expect } from 'chai'
import { connect } from 'node:net'
import { startInstanceFixture } from '../../__tests__/instanceFixture'
import type { InstanceFixture } from '../../__tests__/instanceFixture'
import { parseHostPort } from '../../utils'

interface RawResponse {
  status: number
  headers: string
  body: { error?: { code: string, not_run: boolean, request_id: string } }
}

const MAX_BODY_BYTES = 2048
const CHAT = '/v1/chat/completions'

/** Parses the responses on one connection, one for each status line. */
function parseResponses (text: string): RawResponse[] {
  return text.split(/(?=HTTP\/1\.1 \d{3} )/).filter(part => part.length > 0).map(part => {
    const [headers = '', body = ''] = part.split('\r\n\r\n')
    return { status: Number(part.slice(9, 12)), headers: headers.toLowerCase(), body: parseBody(body) }
  })
}

function parseBody (text: string): RawResponse['body'] {
  try {
    return JSON.parse(text) as RawResponse['body']
  } catch {
    return {}
  }
}

describe('entry: malformed and excessive input', () => {
  let fixture: InstanceFixture
  before(async () => { fixture = await startInstanceFixture({ maxBodyBytes: MAX_BODY_BYTES, bodyTimeoutMs: 5000 }) })
  after(() => fixture.close())

  const auth = (): string => `authorization: Bearer ${fixture.key}`
  const head = (line: string, ...headers: string[]): string => [`${line} HTTP/1.1`, 'host: entry', ...headers, '', ''].join('\r\n')
  const post = (path: string, body: string, ...headers: string[]): string =>
    head(`POST ${path}`, 'connection: close', `content-length: ${Buffer.byteLength(body)}`, ...headers) + body
  /** Sends all bytes, leaves its own side open, and resolves once the instance has closed the connection. */
  const exchange = async (bytes: string, { keepsSending = false } = {}): Promise<RawResponse[]> => {
    const socket = connect(parseHostPort(fixture.instance.member.entryAddress))
    const chunks: Buffer[] = []
    let isClosed = false
    socket.on('data', chunk => { chunks.push(chunk) })
    socket.on('error', () => {})
    socket.on('close', () => { isClosed = true })
    socket.write(bytes)
    await fixture.passUntil(() => {
      if (keepsSending && socket.writable) socket.write('1\r\nx\r\n')
      return isClosed
    })
    return parseResponses(Buffer.concat(chunks).toString('utf8'))
  }
  const chatBody = (fields: object): string => JSON.stringify({ model: 'assistant-small', messages: [], ...fields })
  const tooLong = 'x'.repeat(MAX_BODY_BYTES + 1)

  const cases: Array<{ title: string, bytes: () => string, status: number, code: string, keepsSending?: boolean }> = [
    { title: 'a body whose content length exceeds the limit', bytes: () => post(CHAT, tooLong, auth()), status: 413, code: 'body_too_large' },
    {
      title: 'a chunked body that exceeds the limit and never ends',
      bytes: () => head(`POST ${CHAT}`, auth(), 'transfer-encoding: chunked') + `${tooLong.length.toString(16)}\r\n${tooLong}\r\n`,
      status: 413,
      code: 'body_too_large',
      keepsSending: true
    },
    { title: 'a body that never arrives in full', bytes: () => head(`POST ${CHAT}`, auth(), 'content-length: 10') + '{', status: 408, code: 'body_timeout' },
    { title: 'a chunked body that arrives slowly and never ends', bytes: () => head(`POST ${CHAT}`, auth(), 'transfer-encoding: chunked'), status: 408, code: 'body_timeout', keepsSending: true },
    { title: 'a body that is not JSON', bytes: () => post(CHAT, '{"model": ', auth()), status: 400, code: 'bad_request' },
    { title: 'a body that is JSON but not an object', bytes: () => post(CHAT, '[1, 2]', auth()), status: 400, code: 'bad_request' },
    { title: 'no body', bytes: () => post(CHAT, '', auth()), status: 400, code: 'bad_request' },
    { title: 'a field of the wrong type', bytes: () => post(CHAT, chatBody({ stream: 'yes' }), auth()), status: 400, code: 'bad_request' },
    { title: 'deeply nested JSON', bytes: () => post(CHAT, '['.repeat(MAX_BODY_BYTES), auth()), status: 400, code: 'bad_request' },
    { title: 'an unknown model', bytes: () => post(CHAT, chatBody({ model: 'nobody' }), auth()), status: 404, code: 'unknown_model' },
    { title: 'a model named like a built-in property', bytes: () => post(CHAT, chatBody({ model: '__proto__' }), auth()), status: 404, code: 'unknown_model' },
    { title: 'an unknown service', bytes: () => post('/v1/services/nobody/x', '', auth()), status: 404, code: 'unknown_service' },
    { title: 'a path with a broken escape', bytes: () => post('/v1/services/%E0%A4%A/x', '', auth()), status: 404, code: 'unknown_service' },
    { title: 'no key', bytes: () => post(CHAT, chatBody({})), status: 401, code: 'missing_key' },
    { title: 'no key, and a body that never arrives', bytes: () => head(`POST ${CHAT}`, 'content-length: 10'), status: 401, code: 'missing_key' },
    { title: 'a key that is not a bearer key', bytes: () => post(CHAT, chatBody({}), 'authorization: Basic eDp5'), status: 401, code: 'invalid_key' },
    { title: 'an unknown path', bytes: () => post('/v2/anything', '', auth()), status: 404, code: 'not_found' },
    { title: 'a method that the path does not take', bytes: () => head(`DELETE ${CHAT}`, 'connection: close', auth()), status: 405, code: 'method_not_allowed' },
    { title: 'huge headers', bytes: () => head('GET /v1/models', auth(), `x-junk: ${'j'.repeat(20_000)}`), status: 431, code: 'headers_too_large' },
    { title: 'bytes that are not HTTP', bytes: () => '\x16\x03\x01 hello\r\n\r\n', status: 400, code: 'bad_request' },
    { title: 'a chunk size that is not a number', bytes: () => head(`POST ${CHAT}`, auth(), 'transfer-encoding: chunked') + 'zz\r\n', status: 400, code: 'bad_request' },
    { title: 'two content-length headers that differ', bytes: () => head(`POST ${CHAT}`, auth(), 'content-length: 1', 'content-length: 2') + '{}', status: 400, code: 'bad_request' }
  ]
  cases.forEach(({ title, bytes, status, code, keepsSending }) => it(`${title}: ${status} ${code}`, async () => {
    const responses = await exchange(bytes(), { keepsSending })
    expect(responses.map(response => [response.status, response.body.error?.code])).to.deep.equal([[status, code]])
    expect(responses[0]!.body.error).to.include({ not_run: true })
    expect(responses[0]!.body.error!.request_id).to.match(/^req-/)
    expect(fixture.logLines.filter(line => line.includes('entry-fault'))).to.deep.equal([])
  }))

  it('lists the allowed methods of a path', async () => {
    const [response] = await exchange(head('GET /v1/completions', 'connection: close'))
    expect(response!.headers).to.include('allow: post')
  })

  it('responds in full to a request before pipelined invalid bytes, and then refuses those bytes', async () => {
    // The caller sends a valid request and invalid bytes in one write. The response has already begun when the
    // parser fails: an error written at that moment would be read as the response to the request.
    const responses = await exchange(head('GET /v1/models', auth()) + '\0\0\0junk\r\n\r\n')
    expect(responses.map(response => [response.status, response.body.error?.code])).to.deep.equal([[200, undefined], [400, 'bad_request']])
    expect(responses[0]!.body).to.have.property('data')
  })

  it('responds to pipelined requests in order', async () => {
    const responses = await exchange(head('GET /v1/models', auth()) + post(CHAT, chatBody({ model: 'nobody' }), auth()))
    expect(responses.map(response => response.status)).to.deep.equal([200, 404])
  })

  it('still serves requests after all malformed input', async () => {
    const responses = await exchange(head('GET /healthz', 'connection: close') + head('GET /readyz', 'connection: close'))
    expect(responses[0]!.status).to.equal(200)
  })
})
