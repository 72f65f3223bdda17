/** Starts the built binary and sends it a streamed request: a bundle can fail where the sources work. */
import { spawn } from 'node:child_process'
import { createInterface } from 'node:readline'
import { request } from 'undici'

const READY_TIMEOUT_MS = 30_000

const child = spawn('dist/magnoliabay', ['dev', '--port', '0'], { stdio: ['ignore', 'pipe', 'inherit'] })
const readyTimeout = setTimeout(() => fail('the binary was not ready in time'), READY_TIMEOUT_MS)

function fail (reason: string): never {
  child.kill('SIGKILL')
  process.stderr.write(`check-binary: ${reason}\n`)
  process.exit(1)
}

async function checkStreamedCompletion (line: string): Promise<void> {
  const fields = Object.fromEntries(line.split(' ').map(pair => pair.split(/=(.*)/s, 2) as [string, string]))
  const entry = fields.entries!.split(',')[0]!
  const model = fields.models!.split(',')[0]!
  const res = await request(`${entry}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${fields.key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, stream: true, max_tokens: 8, messages: [{ role: 'user', content: 'is the binary alive' }] })
  })
  const text = await res.body.text()
  if (res.statusCode !== 200 || !text.trimEnd().endsWith('data: [DONE]')) fail(`the streamed request returned status ${res.statusCode}: ${text.slice(0, 300)}`)
  process.stdout.write(`check-binary: streamed ${text.split('\n\n').length} events\n`)
}

createInterface({ input: child.stdout }).on('line', async line => {
  if (!line.includes(' event=ready ')) return
  clearTimeout(readyTimeout)
  await checkStreamedCompletion(line)
  child.on('exit', code => process.exit(code === 0 ? 0 : 1))
  child.kill('SIGTERM')
})
child.on('exit', code => { if (code !== 0) fail(`the binary exited with code ${code}`) })
