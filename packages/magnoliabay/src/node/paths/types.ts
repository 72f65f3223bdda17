/** Types of connections to backend servers, made directly or through another instance. */

/**
 * `refused`: the server's machine runs, and nothing listens at the address. `silent`: no connection in time, or a reset.
 * `no-forwarder`: the other instance could not be reached, or forwards nothing; this says nothing about the server.
 */
export type DialFailure = 'refused' | 'silent' | 'no-forwarder'

/** A connection to a backend server that could not be made: nothing of a request has left this process. */
export class DialError extends Error {
  constructor (readonly failure: DialFailure, message: string) {
    super(message)
  }
}

export interface DialledConnection<Connection> {
  connection: Connection
  /** Id of the instance through which the connection goes; undefined for a direct one. */
  forwarder: string | undefined
}

export function toDialError (err: unknown): DialError {
  if (err instanceof DialError) return err
  const { code, message } = err as NodeJS.ErrnoException
  return new DialError(code === 'ECONNREFUSED' ? 'refused' : 'silent', message)
}
