/**
 * `npm run bench -- relay`: measures the latency that the entry server adds to a stream, compared with the same calls sent
 * directly to the engine in the same run. Engines and the entry server are separate processes on loopback.
 */
import { fork } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { fileURLToPath } from 'node:url'
import { runLoad } from './load'
import type { LoadOptions, LoadResult } from './load'
import type { Usage } from './entryProcess'
import { runWrites } from './writes'

type Round = Omit<LoadOptions, 'addresses'>

const ENGINES = 2
/** The last two rounds send 20,000 events per second if the entry server keeps up. */
const ROUNDS: readonly Round[] = [
  { streams: 1, chunks: 150, intervalMs: 20, rampMs: 0 },
  { streams: 100, chunks: 100, intervalMs: 40, rampMs: 2000 },
  { streams: 1000, chunks: 25, intervalMs: 200, rampMs: 2500 },
  { streams: 100, chunks: 800, intervalMs: 5, rampMs: 500 },
  { streams: 1000, chunks: 100, intervalMs: 50, rampMs: 2500 }
]
const BYTES_PER_KIB = 1024

function startProcess (file: string): ChildProcess {
  return fork(fileURLToPath(new URL(file, import.meta.url)), [], { execArgv: ['--import', 'tsx', '--expose-gc'] })
}

function nextMessage<T> (child: ChildProcess): Promise<T> {
  return new Promise(resolve => child.once('message', message => resolve(message as T)))
}

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise(resolve => server.close(resolve))
  return port
}

async function usageOf (entry: ChildProcess): Promise<Usage> {
  const answer = nextMessage<Usage>(entry)
  entry.send('usage')
  return await answer
}

const formatMs = (micros: number): string => (micros / 1000).toFixed(2)

function formatAdded (relayed: LoadResult, direct: LoadResult, metric: 'firstToken' | 'perChunk', percentile: number): string {
  return formatMs(relayed[metric].getValueAtPercentile(percentile) - direct[metric].getValueAtPercentile(percentile))
}

async function runRound (round: Round, engines: readonly string[], entryAddress: string, entry: ChildProcess): Promise<string> {
  const direct = await runLoad({ ...round, addresses: engines })
  const before = await usageOf(entry)
  let usageWhileOpen = before
  const relayed = await runLoad({ ...round, addresses: [entryAddress] }, async () => { usageWhileOpen = await usageOf(entry) })
  const after = await usageOf(entry)
  const cpuSeconds = (after.cpuMicros - before.cpuMicros) / 1e6
  const kibPerStream = (usageWhileOpen.rss - before.rss) / BYTES_PER_KIB / round.streams
  const cells = [
    round.streams,
    Math.round(round.streams * 1000 / round.intervalMs),
    `${formatMs(direct.firstToken.getValueAtPercentile(95))} / ${formatMs(relayed.firstToken.getValueAtPercentile(95))}`,
    formatAdded(relayed, direct, 'firstToken', 50),
    formatAdded(relayed, direct, 'firstToken', 95),
    formatAdded(relayed, direct, 'perChunk', 50),
    formatAdded(relayed, direct, 'perChunk', 95),
    Math.round(relayed.chunks / cpuSeconds),
    round.streams < 100 ? '' : Math.round(kibPerStream),
    relayed.broken + direct.broken
  ]
  return `| ${cells.join(' | ')} |`
}

/** `--only writes` skips the streams, `--only streams` the claims. */
export async function run (args: readonly string[]): Promise<void> {
  const only = args[args.indexOf('--only') + 1]
  if (only !== 'streams') await runWrites()
  if (only !== 'writes') await runStreams()
}

async function runStreams (): Promise<void> {
  const engineProcesses = Array.from({ length: ENGINES }, () => startProcess('./engineProcess.ts'))
  const ports = await Promise.all(engineProcesses.map(child => nextMessage<{ port: number }>(child)))
  const engines = ports.map(({ port }) => `127.0.0.1:${port}`)
  const entry = startProcess('./entryProcess.ts')
  const entryPort = await freePort()
  const ready = nextMessage(entry)
  entry.send({ entryPort, engines })
  await ready
  const entryAddress = `127.0.0.1:${entryPort}`
  await runLoad({ addresses: [entryAddress], streams: 50, chunks: 100, intervalMs: 5, rampMs: 100 })

  process.stdout.write('| streams | events/s requested | first token p95 direct / relayed, ms | added p50 | added p95 | per event added p50 | p95 | events per core-second | KiB per stream | broken |\n')
  process.stdout.write('|---|---|---|---|---|---|---|---|---|---|\n')
  for (const round of ROUNDS) process.stdout.write(`${await runRound(round, engines, entryAddress, entry)}\n`)
  ;[...engineProcesses, entry].forEach(child => child.kill())
}
