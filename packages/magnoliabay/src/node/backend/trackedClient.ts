/** A client of `undici` that names the connection of each request, whose end may decide whether the response is whole. */
import type { Socket } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher, buildConnector } from 'undici'

/** Options of a dispatched request, beside those of `undici`. */
export interface TrackedDispatchOptions extends Dispatcher.DispatchOptions {
  /** Called with a function that returns the connection of the client that took the request. */
  onClient?: (connection: () => Socket | undefined) => void
}

/** Has one connection at a time, and one request at a time on it. */
export class TrackedClient extends Client {
  #connection: { current: Socket | undefined }

  constructor (origin: string | URL, options: Client.Options) {
    const tracked: { current: Socket | undefined } = { current: undefined }
    const connect = options.connect as buildConnector.connector
    super(origin, {
      ...options,
      connect: (connectOptions: buildConnector.Options, callback: buildConnector.Callback) => connect(connectOptions, (...result) => {
        tracked.current = result[0] === null ? result[1] : undefined
        callback(...result)
      })
    })
    this.#connection = tracked
  }

  override dispatch (options: TrackedDispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    options.onClient?.(() => this.#connection.current)
    return super.dispatch(options, handler)
  }
}
