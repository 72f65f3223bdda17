import { expect } from 'chai'
import { execFile } from 'node:child_process'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { promisify } from 'node:util'

/** Runs in a separate process: in this one, other tests have loaded the main module of `undici`. */
const SCRIPT = `
import { createPool } from './packages/magnoliabay/src/node/platform/httpPool'
const run = async () => {
  const pool = createPool(process.env.ADDRESS, { connections: 1 })
  const res = await pool.request({ method: 'GET', path: '/x' })
  process.stdout.write(res.statusCode + ' ' + await res.body.text())
  await pool.destroy()
}
run()
`

describe('HTTP pool', () => {
  /** Guards against a program whose calls all fail: `undici` adds the `request` method to its clients only when its main module is loaded. */
  it('sends requests when nothing else of undici is loaded', async () => {
    const server = createServer((_req, res) => res.end('answer'))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const { stdout } = await promisify(execFile)(process.execPath, ['--import', 'tsx', '-e', SCRIPT], {
      env: { ...process.env, ADDRESS: `http://127.0.0.1:${port}` },
      timeout: 15_000
    })
    server.close()
    expect(stdout).to.equal('200 answer')
  })
})
