/** A server breaks off, once in 100 answers, a long answer to a request that may be repeated, and what the client gets. */
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createRequire } from 'node:module'
import { callInTurn } from '../lib/caller.mjs'
import { READ_PATH, configOf, engineService, plainService, requestText } from '../lib/config.mjs'
import { pause, startMachines } from '../lib/machines.mjs'
import { createRecord } from '../lib/record.mjs'
import { signedHeaders, startEngine, startServer } from '../lib/servers.mjs'

const { startStore } = createRequire(import.meta.url)('../../target/review/store.cjs')

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const LOAD_MS = 20_000
const CLIENTS_PER_MACHINE = 2
const ANSWER_BYTES = 600_000
/** One answer in so many of the faulty server is broken off after `SENT_BYTES`. */
const BROKEN_EVERY = 100
const SENT_BYTES = 400_000
const FILLING = { 'desk-1': 'a', 'desk-2': 'b', 'desk-3': 'c' }

const record = createRecord(join(dirname(fileURLToPath(import.meta.url)), 'record.txt'))
const store = await startStore()
store.put('op/config', configOf(engineService(), plainService()))

/** Says which servers' answers a body consists of, and how many bytes of each. */
const partsOf = body => Object.entries(FILLING)
  .map(([server, filling]) => ({ server, first: body.indexOf(filling), last: body.lastIndexOf(filling) }))
  .filter(({ first }) => first >= 0)
  .sort((one, other) => one.first - other.first)
  .map(({ server, first, last }) => `${last + 1 - first} bytes of ${server}`)
const brokenOff = new Set()
const serve = server => (req, res) => {
  const id = req.headers['x-magnoliabay-attempt-id']
  server.ran = (server.ran ?? 0) + 1
  record.add('ran', { id, server: server.id })
  const body = Buffer.alloc(ANSWER_BYTES, FILLING[server.id])
  res.writeHead(200, signedHeaders(req, server.id, ANSWER_BYTES))
  if (!HAS_TROUBLE || !server.isFaulty || server.ran % BROKEN_EVERY !== 0) return res.end(body)
  brokenOff.add(id)
  record.add('broken-off', { id, server: server.id })
  res.write(body.subarray(0, SENT_BYTES), () => setTimeout(() => res.destroy(), 20))
}
const servers = await Promise.all(['desk-1', 'desk-2', 'desk-3'].map((id, index) => {
  const server = { id, isFaulty: index === 0 }
  return startServer({ id, service: 'desk', zone: `zone-${'abc'[index]}`, slots: 6, store, onRequest: serve(server) })
}))
const engine = await startEngine({ id: 'llm-1', zone: 'zone-a', store })
const fleet = await startMachines({ count: 3, store: store.address, record })
let code = 2
try {
  if (!await fleet.waitReady()) throw new Error('the machines are not ready')
  await pause(3000)
  const untilMs = Date.now() + LOAD_MS
  let sent = 0
  let answered = 0
  const statuses = {}
  const mixed = []
  const onEnd = ({ id, machine, answer }) => {
    if (answer !== undefined) {
      answered += 1
      statuses[answer.status] = (statuses[answer.status] ?? 0) + 1
    }
    const parts = answer?.status === 200 ? partsOf(answer.body) : []
    record.add(answer === undefined ? 'closed' : 'answered', { id, machine: machine.name, status: answer?.status, bytes: answer?.body.length, parts: parts.join('+') })
    if (parts.length > 1) mixed.push(`${id}: ${answer.status}, ${parts.join(' + ')}`)
  }
  await Promise.all(fleet.machines.flatMap(machine => Array.from({ length: CLIENTS_PER_MACHINE }, (_, client) => callInTurn({
    machine,
    next: () => {
      sent += 1
      const id = `${machine.name}-${client}-${sent}`
      record.add('sent', { id, machine: machine.name })
      return { id, text: requestText({ method: 'GET', path: READ_PATH, id }) }
    },
    onEnd,
    isOver: () => Date.now() > untilMs
  }))))
  record.say(`sent ${sent}, answered ${answered} (${JSON.stringify(statuses)}), answers broken off ${brokenOff.size} of ${servers[0].answers()} of desk-1`)
  record.say(`successes with bytes of two servers' answers: ${mixed.length}${mixed.slice(0, 3).map(text => `\n  ${text}`).join('')}`)
  code = mixed.length > 0 ? 1 : 0
} catch (err) {
  record.say(`could not run: ${err.stack}`)
} finally {
  await fleet.stop()
  await Promise.all([engine, ...servers].map(server => server.close()))
  await store.close()
  record.write()
}
process.exit(code)
