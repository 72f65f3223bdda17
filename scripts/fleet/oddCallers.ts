/** Callers of plain services on the users' platform: on kept connections with HTTP/1.1, and with HTTP/1.0. */
import { Agent, request } from 'node:http'
import { connect } from 'node:net'

export type CallMethod = 'GET' | 'HEAD' | 'POST'

export interface OddCall {
  attemptId: string
  /** Index of the instance that was called. */
  instance: number
  method: CallMethod
  version: '1.0' | '1.1'
  /** Whether the connection had carried an answer before. */
  isKept: boolean
  /** Undefined if the connection closed before any answer. */
  status: number | undefined
  isSigned: boolean
  body: string
  /** Whether the answer ends like a whole one. */
  isWhole: boolean
}

export type OddCallRequest = Pick<OddCall, 'attemptId' | 'instance' | 'method'> & { address: string, path: string }

const HOST_NAME = 'site.example'
const DEADLINE_MS = '5000'

const hostAndPort = (address: string): { host: string, port: number } => {
  const [host, port] = address.split(':')
  return { host: host!, port: Number(port) }
}

/** A caller that keeps its connection. */
export function createKeptCaller (): { call (req: OddCallRequest): Promise<OddCall>, close (): void } {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  return {
    close: () => agent.destroy(),
    call: ({ address, path, ...call }) => new Promise(resolve => {
      const req = request({ ...hostAndPort(address), agent, method: call.method, path, headers: { host: HOST_NAME, 'x-magnoliabay-attempt-id': call.attemptId, 'x-magnoliabay-deadline-ms': DEADLINE_MS } })
      let isAnswered = false
      const settle = (status: number | undefined, isSigned: boolean, body: string, isWhole: boolean): void => resolve({ ...call, version: '1.1', isKept: req.reusedSocket, status, isSigned, body, isWhole })
      req.on('error', () => { if (!isAnswered) settle(undefined, false, '', false) })
      req.on('response', res => {
        isAnswered = true
        let body = ''
        res.setEncoding('latin1')
        res.on('data', (text: string) => { body += text })
        res.on('error', () => {})
        res.on('close', () => settle(res.statusCode, res.headers['x-magnoliabay-server-signature'] !== undefined, body, res.complete))
      })
      req.end()
    })
  }
}

/** Calls once with HTTP/1.0, whose callers take any regular end of the connection for that of the answer. */
export function callWithHttp10 ({ address, path, ...call }: OddCallRequest): Promise<OddCall> {
  return new Promise(resolve => {
    const { host, port } = hostAndPort(address)
    let text = ''
    let hasEnded = false
    const socket = connect(port, host, () => socket.write(`${call.method} ${path} HTTP/1.0\r\nHost: ${HOST_NAME}\r\nX-Magnoliabay-Attempt-Id: ${call.attemptId}\r\nX-Magnoliabay-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`))
    socket.setEncoding('latin1')
    socket.on('data', chunk => { text += String(chunk) })
    socket.on('end', () => { hasEnded = true })
    socket.on('error', () => {})
    socket.on('close', () => {
      const headEnd = text.indexOf('\r\n\r\n')
      const head = text.slice(0, Math.max(0, headEnd))
      resolve({ ...call, version: '1.0', isKept: false, status: headEnd < 0 ? undefined : Number(head.split(' ')[1]), isSigned: /^x-magnoliabay-server-signature:/mi.test(head), body: headEnd < 0 ? '' : text.slice(headEnd + 4), isWhole: hasEnded })
    })
  })
}
