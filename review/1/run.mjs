/** One of seven servers crashes after servers have answered some requests with 204, and what becomes of requests at the others. */
import { fork } from 'node:child_process'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createRequire } from 'node:module'
import { callInTurn } from '../lib/caller.mjs'
import { WRITE_PATH, configOf, engineService, plainService, requestText } from '../lib/config.mjs'
import { pause, startMachines } from '../lib/machines.mjs'
import { createRecord } from '../lib/record.mjs'
import { startEngine } from '../lib/servers.mjs'

const { startStore } = createRequire(import.meta.url)('../../target/review/store.cjs')

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const LOAD_MS = 25_000
const CLIENTS_PER_MACHINE = 8
const SERVERS = 7
const SLOTS = 6
/** When a server is killed, after the start of the load, and for how long it is down. */
const CRASH_AFTER_MS = 8000
const DOWN_MS = 5000
const HEARTBEAT_MS = 1200
/** An entry is removed after so many heartbeats without a word. */
const SILENT_HEARTBEATS = 3
/** LOST is broken by more than so many on one machine. */
const MAX_LOST = 3

const here = dirname(fileURLToPath(import.meta.url))
const record = createRecord(join(here, 'record.txt'))
const store = await startStore()
store.put('op/config', configOf(engineService(), plainService()))

/** Servers that began to run a request, by its id. */
const ranAt = new Map()
const startProcess = async id => {
  const child = fork(join(here, '../lib/serverProcess.mjs'), [id], { stdio: 'inherit' })
  const server = { id, child, address: undefined, born: Date.now() }
  await new Promise(resolve => child.on('message', ({ address, ran }) => {
    if (ran !== undefined) {
      ranAt.set(ran, id)
      return record.add('ran', { id: ran, server: id })
    }
    server.address = address
    resolve()
  }))
  const writeEntry = () => store.put(`servers/${id}`, { service: 'desk', address: server.address, zone: `zone-${'abc'[Number(id.slice(-1)) % 3]}`, version: 'v1', slots: SLOTS, state: 'ready', 'cold-remaining-ms': 0, sequence: 0, born: server.born })
  writeEntry()
  const timer = setInterval(writeEntry, HEARTBEAT_MS)
  child.on('exit', () => clearInterval(timer))
  return server
}
const servers = new Map()
const start = async id => servers.set(id, await startProcess(id))
await Promise.all(Array.from({ length: SERVERS }, (_, index) => start(`desk-${index + 1}`)))
const engine = await startEngine({ id: 'llm-1', zone: 'zone-a', store })
const fleet = await startMachines({ count: 3, store: store.address, record })

const crash = async id => {
  record.add('server-killed', { server: id })
  servers.get(id).child.kill('SIGKILL')
  const removal = setTimeout(() => store.remove(`servers/${id}`), HEARTBEAT_MS * SILENT_HEARTBEATS)
  await pause(DOWN_MS)
  clearTimeout(removal)
  await start(id)
  record.add('server-back', { server: id })
}
let code = 2
try {
  if (!await fleet.waitReady()) throw new Error('the machines are not ready')
  await pause(3000)
  const untilMs = Date.now() + LOAD_MS
  let sent = 0
  const statuses = {}
  const lost = new Map(fleet.machines.map(({ name }) => [name, 0]))
  const onEnd = ({ id, machine, answer, isKept }) => {
    record.add(answer === undefined ? 'closed' : 'answered', { id, machine: machine.name, status: answer?.status, kept: isKept })
    if (answer !== undefined) statuses[answer.status] = (statuses[answer.status] ?? 0) + 1
    else if (isKept && ranAt.has(id) && ranAt.get(id) !== 'desk-1') lost.set(machine.name, lost.get(machine.name) + 1)
  }
  const next = (machine, client) => {
    sent += 1
    const id = `${machine.name}-${client}-${sent}`
    record.add('sent', { id, machine: machine.name })
    return { id, text: requestText(sent % 2 === 0 ? { method: 'POST', path: WRITE_PATH, id, body: 'x=1' } : { method: 'DELETE', path: WRITE_PATH, id }) }
  }
  const callers = fleet.machines.flatMap(machine => Array.from({ length: CLIENTS_PER_MACHINE }, (_, client) =>
    callInTurn({ machine, next: () => next(machine, client), onEnd, isOver: () => Date.now() > untilMs })))
  const trouble = HAS_TROUBLE ? pause(CRASH_AFTER_MS).then(() => crash('desk-1')) : undefined
  await Promise.all([trouble, ...callers])
  record.say(`sent ${sent}, answered ${JSON.stringify(statuses)}`)
  record.say(`processes that ended by themselves, by machine: ${fleet.machines.map(machine => machine.endedByItself).join(', ')}`)
  record.say(`kept connections closed without an answer after their request had reached a sound server, by machine: ${[...lost.values()].join(', ')} (LOST allows ${MAX_LOST} on each)`)
  code = Math.max(...lost.values()) > MAX_LOST ? 1 : 0
} catch (err) {
  record.say(`could not run: ${err.stack}`)
} finally {
  await fleet.stop()
  servers.forEach(({ child }) => child.kill('SIGKILL'))
  await engine.close()
  await store.close()
  record.write()
}
process.exit(code)
