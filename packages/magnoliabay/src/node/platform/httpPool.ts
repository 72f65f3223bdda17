/**
 * Connection pool for calls to the platform and to engines: the pool of `undici` without the rest of that library, whose
 * other clients would cost each process memory and start-up time without being used.
 */
import type { Pool } from 'undici'
import api from 'undici/lib/api/index.js'
import BasePool from 'undici/lib/dispatcher/pool.js'

/** `undici` adds the `request` method to its clients only when its main module is loaded. */
class RequestPool extends (BasePool as typeof Pool) {
  override request = (api as Pick<Pool, 'request'>).request
}

export const createPool = (...args: ConstructorParameters<typeof Pool>): Pool => new RequestPool(...args)
