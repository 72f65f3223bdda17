/** Decodes the entries that backend servers write about themselves. */
import * as v from 'valibot'
import { connectableAddress, finite } from '../inputs'
import type { BackendServer } from '../serving/types'
import { parseJson } from '../utils'

/** Prefix of the keys of entries; the server's id follows. */
export const SERVERS_PREFIX = 'servers/'

const wireEntry = v.object({
  service: v.string(),
  address: connectableAddress,
  zone: v.string(),
  version: v.optional(v.nullable(v.string())),
  slots: finite,
  state: v.picklist(['ready', 'draining']),
  born: v.optional(finite, 0),
  'remaining-ms': v.optional(v.nullable(finite)),
  'cold-remaining-ms': v.optional(v.nullable(finite)),
  models: v.optional(v.nullable(v.array(v.object({
    name: v.string(),
    version: v.optional(finite, 0),
    adapters: v.optional(v.nullable(v.array(v.string())))
  })))),
  available: v.optional(v.nullable(v.object({
    'in-memory': v.optional(v.nullable(v.array(v.string()))),
    'on-disk': v.optional(v.nullable(v.array(v.string())))
  })))
})

/** Decodes an entry; returns undefined when it is invalid, such as one that another writer has overwritten. */
export function decodeServer (key: string, text: string): BackendServer | undefined {
  const checked = v.safeParse(wireEntry, parseJson(text))
  if (!checked.success) return undefined
  const wire = checked.output
  return {
    id: key.slice(SERVERS_PREFIX.length),
    bornMs: wire.born,
    service: wire.service,
    address: wire.address,
    failureDomain: wire.zone,
    slots: wire.slots,
    softwareVersion: wire.version || undefined,
    state: wire.state,
    coldMs: wire['cold-remaining-ms'] ?? 0,
    models: (wire.models ?? []).map(model => ({ name: model.name, version: model.version, adapters: model.adapters ?? [] })),
    copies: { memory: wire.available?.['in-memory'] ?? [], disk: wire.available?.['on-disk'] ?? [] },
    remainingMs: wire['remaining-ms'] ?? undefined
  }
}
