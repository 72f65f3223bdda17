/**
 * A minimal engine for the benchmark, in a separate process. It streams events at a constant rate, each with the time at
 * which it was sent; all processes of a machine share `CLOCK_MONOTONIC`.
 */
import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

interface StreamRequest {
  /** Number of events before the final ones. */
  chunks: number
  intervalMs: number
}

const FILLER = 'x'.repeat(120)

function stream (res: ServerResponse, id: string, request: StreamRequest): void {
  let index = 0
  res.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id })
  const send = (): void => {
    if (res.destroyed) return clearInterval(timer)
    if (index < request.chunks) {
      res.write(`id: ${id}:${index}\ndata: {"at":"${process.hrtime.bigint()}","text":"${FILLER}"}\n\n`)
      index += 1
      return
    }
    clearInterval(timer)
    res.end(`id: ${id}:${index}\ndata: {"usage":{"total_tokens":${index}}}\n\nid: ${id}:${index + 1}\ndata: [DONE]\n\n`)
  }
  const timer = setInterval(send, request.intervalMs)
  send()
}

const server = createServer((req, res) => {
  let body = ''
  req.on('data', chunk => { body += String(chunk) })
  req.on('end', () => stream(res, String(req.headers['x-request-id'] ?? 'direct'), JSON.parse(body) as StreamRequest))
})
server.listen(0, '127.0.0.1', 4096, () => process.send?.({ port: (server.address() as AddressInfo).port }))
