/** The instances under test: each is a separate `magnoliabay serve` process. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createHash } from 'node:crypto'
import { createWriteStream, mkdirSync, writeFileSync } from 'node:fs'
import { request } from 'undici'
import type { StandInFleet } from '@magnoliabay/standins'
import { FAILURE_DOMAINS, REGION } from './fleetConfig'
import { HOST, freePorts } from './freePorts'

export type EndKind = 'killed' | 'shut-down' | 'died'

export interface InstanceEnd {
  kind: EndKind
  atMs: number
}

export interface InstanceProcess {
  readonly id: string
  readonly failureDomain: string
  readonly entryAddress: string
  readonly operatorAddress: string
  readonly child: ChildProcess
  /** Time at which a shutdown was requested, in Unix epoch milliseconds. */
  shutdownRequestedAtMs?: number
  end?: InstanceEnd
  /** Periods in which the process was paused (SIGSTOP), in Unix epoch milliseconds. */
  pauses: Array<{ fromMs: number, toMs: number }>
}

export interface ProcessesOptions {
  standIns: StandInFleet
  /** Directory for settings files and logs. */
  directory: string
  operatorKey: string
}

export interface InstanceProcesses {
  /** Returns all processes, including those that have ended. */
  all (): readonly InstanceProcess[]
  live (): readonly InstanceProcess[]
  /** Starts an instance; resolves when it reports that it is ready, has ended, or has timed out. */
  start (id: string, domainIndex: number): Promise<InstanceProcess>
  kill (instance: InstanceProcess): Promise<void>
  /** Requests a graceful shutdown and waits until the process has ended. */
  shutDown (instance: InstanceProcess): Promise<void>
  pause (instance: InstanceProcess): void
  resume (instance: InstanceProcess): void
  stopAll (): Promise<void>
}

const PROGRAM = 'dist/magnoliabay.cjs'
const READY_POLL_INTERVAL_MS = 100
const READY_TIMEOUT_MS = 30_000
const SHUTDOWN_TIMEOUT_MS = 90_000

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

export function createInstanceProcesses (options: ProcessesOptions): InstanceProcesses {
  const { standIns, directory } = options
  const all: InstanceProcess[] = []
  mkdirSync(directory, { recursive: true })

  const launch = async (id: string, domainIndex: number): Promise<InstanceProcess> => {
    const failureDomain = FAILURE_DOMAINS[domainIndex % FAILURE_DOMAINS.length]!
    const [entry, peer, operator] = await freePorts(3)
    const settings = settingsToml({ id, failureDomain, entry: entry!, peer: peer!, operator: operator!, standIns, operatorKey: options.operatorKey })
    const file = `${directory}/${id}.toml`
    writeFileSync(file, settings)
    const child = spawn(process.execPath, [PROGRAM, 'serve', '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'] })
    const log = createWriteStream(`${directory}/${id}.log`, { flags: 'a' })
    child.stdout.pipe(log, { end: false })
    child.stderr.pipe(log, { end: false })
    const instance: InstanceProcess = {
      id,
      failureDomain,
      entryAddress: `${HOST}:${entry}`,
      operatorAddress: `${HOST}:${operator}`,
      child,
      pauses: []
    }
    child.once('exit', () => {
      instance.end ??= { kind: instance.shutdownRequestedAtMs === undefined ? 'died' : 'shut-down', atMs: Date.now() }
    })
    all.push(instance)
    standIns.list.state.set({ id, role: 'entry', address: instance.entryAddress, failureDomain, region: REGION, status: 'live' })
    return instance
  }
  const waitUntilReady = async (instance: InstanceProcess): Promise<void> => {
    const deadlineMs = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadlineMs && instance.end === undefined) {
      const ready = await request(`http://${instance.entryAddress}/readyz`).then(async res => {
        await res.body.dump()
        return res.statusCode === 200
      }).catch(() => false)
      if (ready) return
      await pause(READY_POLL_INTERVAL_MS)
    }
  }
  const waitForExit = (instance: InstanceProcess): Promise<void> => new Promise(resolve => {
    if (instance.end !== undefined) return resolve()
    instance.child.once('exit', () => resolve())
  })
  const resume = (instance: InstanceProcess): void => {
    const last = instance.pauses.at(-1)
    if (last === undefined || last.toMs !== Infinity) return
    instance.child.kill('SIGCONT')
    last.toMs = Date.now()
  }
  const kill = async (instance: InstanceProcess): Promise<void> => {
    instance.end ??= { kind: 'killed', atMs: Date.now() }
    instance.child.kill('SIGKILL')
    standIns.list.state.remove(instance.id)
  }
  const shutDown = async (instance: InstanceProcess): Promise<void> => {
    if (instance.end !== undefined) return
    resume(instance)
    instance.shutdownRequestedAtMs = Date.now()
    standIns.list.state.setStatus(instance.id, 'leaving')
    instance.child.kill('SIGTERM')
    await Promise.race([waitForExit(instance), pause(SHUTDOWN_TIMEOUT_MS)])
    if (instance.end === undefined) await kill(instance)
    standIns.list.state.remove(instance.id)
  }
  return {
    all: () => all,
    live: () => all.filter(instance => instance.end === undefined && instance.shutdownRequestedAtMs === undefined),
    start: async (id, domainIndex) => {
      const instance = await launch(id, domainIndex)
      await waitUntilReady(instance)
      return instance
    },
    kill,
    shutDown,
    pause: instance => {
      instance.child.kill('SIGSTOP')
      instance.pauses.push({ fromMs: Date.now(), toMs: Infinity })
    },
    resume,
    stopAll: async () => {
      const running = all.filter(instance => instance.end === undefined)
      running.forEach(instance => {
        resume(instance)
        instance.end = { kind: 'killed', atMs: Date.now() }
        instance.child.kill('SIGKILL')
      })
      await Promise.all(running.map(instance => instance.child.exitCode === null && instance.child.signalCode === null
        ? new Promise(resolve => instance.child.once('exit', resolve))
        : undefined))
    }
  }
}

interface SettingsValues {
  id: string
  failureDomain: string
  entry: number
  peer: number
  operator: number
  standIns: StandInFleet
  operatorKey: string
}

function settingsToml (values: SettingsValues): string {
  const { standIns } = values
  return `[instance]
id = "${values.id}"
site = "shannonside"
region = "${REGION}"
failureDomain = "${values.failureDomain}"
entryAddress = "${HOST}:${values.entry}"
peerAddress = "${HOST}:${values.peer}"
operatorAddress = "${HOST}:${values.operator}"

[platform]
store = ["http://${standIns.kv.address}"]
instanceList = "http://${standIns.list.address}/instances"

[shutdown]
locateKeepMs = 3000

[operators]
keyDigests = ["${createHash('sha256').update(values.operatorKey).digest('hex')}"]
`
}
