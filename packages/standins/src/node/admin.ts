/**
 * Admin endpoints of every stand-in, through which checks switch faults and read records while it runs:
 * `GET /faults`, `POST /faults` with some of the fault fields, `GET /records`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { parseObject, readText, sendJson } from './http/json'
import type { JsonObject } from './http/json'
import { createListener } from './http/listener'
import type { Listener } from './http/listener'
import type { FaultSwitches } from './faults'

/** One stand-in as the admin endpoints access it. */
export interface AdminTarget {
  faults (): object
  /** Applies the changes, or, when a field is unknown or has the wrong type, changes nothing and returns those fields. */
  setFaults (changes: object): Promise<readonly string[]>
  records (): unknown
}

/** Adapts a stand-in's typed switches to an {@link AdminTarget}. */
export function createAdminTarget<T extends object> (switches: FaultSwitches<T>, records: () => unknown): AdminTarget {
  return {
    faults: () => switches.current,
    setFaults: async changes => {
      const known: JsonObject = { ...switches.current }
      const wrong = Object.entries(changes).filter(([name, value]) => typeof value !== typeof known[name])
      if (wrong.length === 0) await switches.set(changes as Partial<T>)
      return wrong.map(([name]) => name)
    },
    records
  }
}

type AdminHandler = (target: AdminTarget, req: IncomingMessage, res: ServerResponse) => void | Promise<void>

const ADMIN_HANDLERS: Readonly<Record<string, AdminHandler>> = {
  'GET /faults': (target, _req, res) => sendJson(res, 200, target.faults()),
  'GET /records': (target, _req, res) => sendJson(res, 200, target.records()),
  'POST /faults': async (target, req, res) => {
    const wrong = await target.setFaults(parseObject(await readText(req)))
    if (wrong.length > 0) return sendJson(res, 400, { wrong, faults: target.faults() })
    sendJson(res, 200, target.faults())
  }
}

/** Handles an admin call under `path`; returns false when it isn't one. */
export function handleAdmin (target: AdminTarget, path: string, req: IncomingMessage, res: ServerResponse): boolean {
  const handler = ADMIN_HANDLERS[`${req.method} ${path}`]
  if (handler === undefined) return false
  Promise.resolve(handler(target, req, res)).catch(() => res.destroy())
  return true
}

export interface AdminServerOptions {
  /** Keyed by the name of the stand-in. */
  targets: ReadonlyMap<string, AdminTarget>
  /** @default '127.0.0.1' */
  host?: string
  /** 0 takes any free port. @default 0 */
  port?: number
}

/**
 * Starts one admin server for all stand-ins, with `/<name>/faults` and `/<name>/records`. It stays reachable while a
 * stand-in refuses connections.
 */
export function createAdminServer (options: AdminServerOptions): Promise<Listener> {
  const { targets, host, port } = options
  return createListener({
    host,
    port,
    handler: (req, res) => {
      const [, name = '', action = ''] = (req.url ?? '').split('/')
      const target = targets.get(decodeURIComponent(name))
      if (target !== undefined && handleAdmin(target, `/${action}`, req, res)) return
      sendJson(res, 404, { names: [...targets.keys()] })
    }
  })
}
