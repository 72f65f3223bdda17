/** Instances on the users' platform as real processes. */
import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createWriteStream, writeFileSync } from 'node:fs'
import { request } from 'undici'
import type { PlatformSite } from './platformSite'

const PROGRAM = 'dist/magnoliabay.cjs'
const READY_TIMEOUT_MS = 30_000
const READY_POLL_INTERVAL_MS = 100

/** Options of a run on the users' platform. */
export interface PlatformRunOptions {
  seed: number
  instances: number
  directory: string
}

export interface Instance {
  entryAddress: string
  peersAddress: string
  child: ChildProcess
}

export const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

async function isReady (url: string): Promise<boolean> {
  return await request(url).then(async res => {
    await res.body.dump()
    return res.statusCode === 200
  }).catch(() => false)
}

/** Starts an instance and waits until it is ready. `nodeOptions`: options of the runtime. */
export async function startInstance (site: PlatformSite, index: number, directory: string, nodeOptions: readonly string[] = []): Promise<Instance> {
  const { text, entryAddress, peersAddress, readyUrl } = await site.settingsOf(index)
  const file = `${directory}/frontend-${index + 1}.yaml`
  writeFileSync(file, text)
  const child = spawn(process.execPath, [...nodeOptions, PROGRAM, 'platform'], { stdio: ['ignore', 'pipe', 'pipe'], env: { ...process.env, MAGNOLIABAY_CONFIG: file } })
  const log = createWriteStream(`${directory}/frontend-${index + 1}.log`, { flags: 'a' })
  child.stdout.pipe(log, { end: false })
  child.stderr.pipe(log, { end: false })
  for (let waitedMs = 0; waitedMs < READY_TIMEOUT_MS && !await isReady(readyUrl); waitedMs += READY_POLL_INTERVAL_MS) await pause(READY_POLL_INTERVAL_MS)
  return { entryAddress, peersAddress, child }
}
