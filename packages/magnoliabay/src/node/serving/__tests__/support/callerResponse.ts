/** A request and a response without sockets, for tests of the request handler in virtual time. */
import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Inbound } from '../../requestRun'

export interface CallerResponse {
  status: number | undefined
  headers: Record<string, string>
  /** Monotonic milliseconds. */
  endedMs: number | undefined
  /** Whether the response has ended as a whole one, and was not cut. */
  isWhole: boolean
}

class MemoryResponse extends EventEmitter {
  readonly req = { method: 'POST' }
  readonly socket = null
  statusCode = 200
  headersSent = false
  writableFinished = false
  destroyed = false
  readonly writableLength = 0

  constructor (private readonly onHead: (status: number, headers: Record<string, string> | string[]) => void, private readonly onEnd: (isWhole: boolean) => void) {
    super()
  }

  writeHead (status: number, headers: Record<string, string> | string[]): void {
    this.headersSent = true
    this.statusCode = status
    this.onHead(status, headers)
  }

  write (): boolean {
    return true
  }

  end (): void {
    this.writableFinished = true
    this.close()
  }

  destroy (): void {
    this.destroyed = true
    this.close()
  }

  private close (): void {
    this.onEnd(this.writableFinished)
    this.emit('close')
  }
}

/** Returns the request of a caller with these headers, and what it gets. */
export function createCall (path: string, headers: Record<string, string>, monotonic: () => number): { inbound: Inbound, response: CallerResponse } {
  const response: CallerResponse = { status: undefined, headers: {}, endedMs: undefined, isWhole: false }
  const res = new MemoryResponse((status, head) => {
    response.status = status
    if (!Array.isArray(head)) response.headers = head
  }, isWhole => {
    response.endedMs ??= monotonic()
    response.isWhole = isWhole
  })
  const req = { method: 'POST', url: path, headers, rawHeaders: Object.entries(headers).flat() }
  return {
    response,
    inbound: { req: req as unknown as IncomingMessage, res: res as unknown as ServerResponse, body: Buffer.from('order'), arrivedMs: monotonic() }
  }
}
