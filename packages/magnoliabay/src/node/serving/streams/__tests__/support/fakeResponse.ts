/** The caller's side of a request: records what is sent to it, without a network. */
import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '../../../../clock'
import type { Inbound } from '../../../requestRun'

export interface FakeCaller {
  inbound: Inbound
  status (): number | undefined
  headers (): Record<string, string>
  body (): string
  /** Ids of the events received, in order. */
  eventIds (): number[]
  /** Software versions of the engines that made the events received. */
  softwareVersions (): ReadonlySet<string>
  /** When each event arrived, milliseconds after the request. */
  eventTimesMs (): number[]
  /** `complete`: a regular end. `cut`: the connection was closed before. */
  end (): 'open' | 'complete' | 'cut'
  /** The caller closes its connection. */
  leave (): void
  /** The caller reads nothing, or goes on reading. */
  setUnreadBytes (bytes: number): void
}

export interface FakeCallerOptions {
  path: string
  attemptId: string
  headers?: Record<string, string>
  clock: Clock
}

export function createFakeCaller ({ path, attemptId, headers = {}, clock }: FakeCallerOptions): FakeCaller {
  const arrivedMs = clock.monotonic()
  const sentHeaders: Record<string, string> = { host: 'site.example', 'x-magnoliabay-attempt-id': attemptId, ...headers }
  let status: number | undefined
  let responseHeaders: Record<string, string> = {}
  let body = ''
  let end: 'open' | 'complete' | 'cut' = 'open'
  const times: number[] = []
  const res = Object.assign(new EventEmitter(), {
    req: { method: 'POST' },
    socket: null,
    statusCode: 200,
    headersSent: false,
    destroyed: false,
    writableFinished: false,
    writableLength: 0,
    writeHead: (code: number, sent: string[] | Record<string, string>) => {
      status = code
      res.statusCode = code
      res.headersSent = true
      responseHeaders = Array.isArray(sent) ? Object.fromEntries(sent.flatMap((name, index) => index % 2 === 0 ? [[name.toLowerCase(), sent[index + 1]!]] : [])) : sent
    },
    write: (chunk: Buffer | string) => {
      const text = chunk.toString()
      body += text
      times.push(...[...text.matchAll(/^id: /gm)].map(() => clock.monotonic() - arrivedMs))
    },
    end: (chunk?: Buffer | string) => {
      if (chunk !== undefined) res.write(chunk)
      if (end !== 'open') return
      end = 'complete'
      res.writableFinished = true
      res.emit('close')
    },
    destroy: () => {
      if (end !== 'open') return
      end = 'cut'
      res.destroyed = true
      res.emit('close')
    }
  })
  const req = { url: path, method: 'POST', headers: sentHeaders, rawHeaders: Object.entries(sentHeaders).flat() }
  return {
    inbound: { req: req as unknown as IncomingMessage, res: res as unknown as ServerResponse, body: Buffer.from('prompt'), arrivedMs },
    status: () => status,
    headers: () => responseHeaders,
    body: () => body,
    eventIds: () => [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)),
    softwareVersions: () => new Set([...body.matchAll(/^data: (.*)$/gm)].map(([, version]) => version!)),
    eventTimesMs: () => times,
    end: () => end,
    leave: () => res.destroy(),
    setUnreadBytes: bytes => { res.writableLength = bytes }
  }
}
