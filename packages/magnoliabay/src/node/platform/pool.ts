/**
 * Connections for calls of the platform and of engines: `undici`'s pool without the rest of that library, whose other
 * clients take a fifth of the memory of an idle process, and of the processor time of its start.
 */
import type { Pool } from 'undici'
import PoolWithoutTypes from 'undici/lib/dispatcher/pool.js'

export const createPool = (...args: ConstructorParameters<typeof Pool>): Pool =>
  new (PoolWithoutTypes as typeof Pool)(...args)
