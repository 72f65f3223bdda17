/** Reads streams concurrently and measures the latency of their events. */
import { once } from 'node:events'
import { Agent, request } from 'undici'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

export interface LoadOptions {
  addresses: readonly string[]
  streams: number
  chunks: number
  intervalMs: number
  /** Period over which the streams are started, in milliseconds. */
  rampMs: number
}

export interface LoadResult {
  /** Microseconds from a call to its first event, for short calls made while the streams are open. */
  firstToken: Histogram
  /** Microseconds from the sending of an event to its arrival. */
  perChunk: Histogram
  chunks: number
  broken: number
}

const SENT_AT = /"at":"(\d+)"/g
const NANOS_PER_MICRO = 1000n

/** Number of short calls made in sequence while the streams are open. */
const PROBE_COUNT = 200

export const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

/** Reads all streams to their end. Calls `onAllOpen` when every stream has started. */
export async function runLoad (options: LoadOptions, onAllOpen: () => Promise<void> = async () => {}): Promise<LoadResult> {
  const agent = new Agent({ connections: null, headersTimeout: 60_000, bodyTimeout: 60_000 })
  const measured: LoadResult = { firstToken: build(), perChunk: build(), chunks: 0, broken: 0 }
  let open = 0
  const body = JSON.stringify({ model: 'm', stream: true, max_tokens: 100_000, chunks: options.chunks, intervalMs: options.intervalMs })

  const sendRequest = (index: number, text: string): ReturnType<typeof request> => {
    const address = options.addresses[index % options.addresses.length]!
    return request(`http://${address}/v1/chat/completions`, { method: 'POST', body: text, headers: { authorization: 'Bearer k' }, dispatcher: agent })
  }
  let probing: Promise<void> = Promise.resolve()
  const probeBody = JSON.stringify({ ...JSON.parse(body) as object, chunks: 1, intervalMs: 1 })
  const runProbes = async (): Promise<void> => {
    for (let probe = 0; probe < PROBE_COUNT; probe += 1) {
      const startedNanos = process.hrtime.bigint()
      const res = await sendRequest(probe, probeBody)
      res.body.once('data', () => measured.firstToken.recordValue(Number((process.hrtime.bigint() - startedNanos) / NANOS_PER_MICRO)))
      await once(res.body, 'end')
    }
  }

  const recordChunks = (text: string): void => {
    const nowNanos = process.hrtime.bigint()
    for (const match of text.matchAll(SENT_AT)) {
      measured.perChunk.recordValue(Number((nowNanos - BigInt(match[1]!)) / NANOS_PER_MICRO))
      measured.chunks += 1
    }
  }
  const readStream = async (index: number): Promise<void> => {
    await pause(options.rampMs * index / options.streams)
    const res = await sendRequest(index, body)
    let isFirst = true
    let tail = ''
    for await (const chunk of res.body) {
      if (isFirst) {
        isFirst = false
        open += 1
        if (open === options.streams) probing = onAllOpen().then(runProbes)
      }
      tail = String(chunk)
      recordChunks(tail)
    }
    if (!tail.includes('[DONE]')) measured.broken += 1
  }
  await Promise.all(Array.from({ length: options.streams }, (_, index) => readStream(index).catch(() => { measured.broken += 1 })))
  await probing
  await agent.close()
  return measured
}
