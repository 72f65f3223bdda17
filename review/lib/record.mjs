/** What was sent, answered and run, with the time since the start; written to `record.txt` beside the script. */
import { writeFileSync } from 'node:fs'

export function createRecord (file) {
  const startedMs = Date.now()
  const lines = []
  const add = (event, fields = {}) => {
    lines.push(`${String(Date.now() - startedMs).padStart(6)} ${event} ${Object.entries(fields).map(([name, value]) => `${name}=${value}`).join(' ')}`)
  }
  const say = (text) => {
    lines.push(text)
    process.stdout.write(`${text}\n`)
  }
  return { add, say, write: () => writeFileSync(file, `${lines.join('\n')}\n`) }
}
