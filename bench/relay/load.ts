/** Streams read at once, and when each of their events came. */
import { once } from 'node:events'
import { Agent, request } from 'undici'
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

export interface LoadOptions {
  addresses: readonly string[]
  streams: number
  chunks: number
  intervalMs: number
  /** Over which the streams start, milliseconds. */
  rampMs: number
}

export interface Measured {
  /** From the call to the first event, of short calls made while the streams are open; microseconds. */
  firstToken: Histogram
  /** From an event's sending to its coming, microseconds. */
  perChunk: Histogram
  chunks: number
  broken: number
}

const AT = /"at":"(\d+)"/g
const NANOS_PER_MICRO = 1000n

/** Short calls, one after the other, made while the streams are open. */
const PROBES = 200

export const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

/** Runs the streams to their end. `onAllOpen` is called when every one has begun. */
export async function runLoad (options: LoadOptions, onAllOpen: () => Promise<void> = async () => {}): Promise<Measured> {
  const agent = new Agent({ connections: null, headersTimeout: 60_000, bodyTimeout: 60_000 })
  const measured: Measured = { firstToken: build(), perChunk: build(), chunks: 0, broken: 0 }
  let open = 0
  const body = JSON.stringify({ model: 'm', stream: true, max_tokens: 100_000, chunks: options.chunks, intervalMs: options.intervalMs })

  const ask = (index: number, text: string): ReturnType<typeof request> => {
    const address = options.addresses[index % options.addresses.length]!
    return request(`http://${address}/v1/chat/completions`, { method: 'POST', body: text, headers: { authorization: 'Bearer k' }, dispatcher: agent })
  }
  let probing: Promise<void> = Promise.resolve()
  const probeBody = JSON.stringify({ ...JSON.parse(body) as object, chunks: 1, intervalMs: 1 })
  const probeAll = async (): Promise<void> => {
    for (let probe = 0; probe < PROBES; probe += 1) {
      const startedNanos = process.hrtime.bigint()
      const res = await ask(probe, probeBody)
      res.body.once('data', () => measured.firstToken.recordValue(Number((process.hrtime.bigint() - startedNanos) / NANOS_PER_MICRO)))
      await once(res.body, 'end')
    }
  }

  const note = (text: string): void => {
    const nowNanos = process.hrtime.bigint()
    for (const match of text.matchAll(AT)) {
      measured.perChunk.recordValue(Number((nowNanos - BigInt(match[1]!)) / NANOS_PER_MICRO))
      measured.chunks += 1
    }
  }
  const readOne = async (index: number): Promise<void> => {
    await pause(options.rampMs * index / options.streams)
    const res = await ask(index, body)
    let isFirst = true
    let tail = ''
    for await (const chunk of res.body) {
      if (isFirst) {
        isFirst = false
        open += 1
        if (open === options.streams) probing = onAllOpen().then(probeAll)
      }
      tail = String(chunk)
      note(tail)
    }
    if (!tail.includes('[DONE]')) measured.broken += 1
  }
  await Promise.all(Array.from({ length: options.streams }, (_, index) => readOne(index).catch(() => { measured.broken += 1 })))
  await probing
  await agent.close()
  return measured
}
