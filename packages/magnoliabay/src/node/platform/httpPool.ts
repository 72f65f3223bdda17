/**
 * Connections for calls of the platform and of engines: `undici`'s pool without the rest of that library, whose other
 * clients would cost each process memory, and time at its start, for nothing.
 */
import type { Pool } from 'undici'
import api from 'undici/lib/api/index.js'
import PoolAlone from 'undici/lib/dispatcher/pool.js'

/** The library gives its clients their calls only where it is loaded whole. */
class CallPool extends (PoolAlone as typeof Pool) {
  override request = (api as Pick<Pool, 'request'>).request
}

export const createPool = (...args: ConstructorParameters<typeof Pool>): Pool => new CallPool(...args)
