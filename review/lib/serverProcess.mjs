/**
 * A sound server of a plain service as a process of its own, so that it can be killed. Argument: its id. It answers POST with 200
 * and a body, and DELETE with 204, and tells its parent its address and each request that it begins to run.
 */
import { createServer } from 'node:http'

const HOST = '127.0.0.1'
const WORK_MS = 150
const MISDIRECTED = 421
const id = process.argv[2]

const server = createServer((req, res) => {
  req.resume()
  req.on('end', () => {
    const expected = req.headers['x-magnoliabay-expected-instance']
    if (expected !== undefined && expected !== id) {
      res.writeHead(MISDIRECTED, { 'content-length': 0 })
      return res.end()
    }
    if (req.url === '/health') {
      res.writeHead(200, { 'x-magnoliabay-instance-id': id, 'content-length': 0 })
      return res.end()
    }
    const attempt = req.headers['x-magnoliabay-attempt-id']
    process.send({ ran: attempt })
    const headers = { 'x-magnoliabay-attempt-id': attempt, 'x-magnoliabay-server-signature': `${id}.sound` }
    setTimeout(() => {
      if (res.destroyed) return
      if (req.method === 'DELETE') {
        res.writeHead(204, headers)
        return res.end()
      }
      res.writeHead(200, { ...headers, 'content-length': 2 })
      res.end('ok')
    }, WORK_MS)
  })
})
server.keepAliveTimeout = 15_000
server.listen(0, HOST, () => process.send({ address: `${HOST}:${server.address().port}` }))
process.on('disconnect', () => process.exit())
