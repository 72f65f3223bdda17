/**
 * Endpoints on every stand-in by which checks switch faults and read records while it runs:
 * `GET /faults`, `POST /faults` with some of the fault fields, `GET /records`.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { parseObject, readText, sendJson } from './http/json'
import { createListener } from './http/listener'
import type { Listener } from './http/listener'
import type { FaultSwitches } from './faults'

/** What the admin endpoints show of one stand-in. */
export interface AdminTarget {
  faults (): object
  setFaults (changes: object): void
  records (): unknown
}

/** Sees a stand-in's typed switches as an {@link AdminTarget}. Unknown fields are left out. */
export function createAdminTarget<T extends object> (switches: FaultSwitches<T>, records: () => unknown): AdminTarget {
  return {
    faults: () => switches.now,
    setFaults: changes => {
      const known = Object.entries(changes).filter(([name]) => name in switches.now)
      switches.set(Object.fromEntries(known) as Partial<T>)
    },
    records
  }
}

type AdminHandler = (target: AdminTarget, req: IncomingMessage, res: ServerResponse) => void | Promise<void>

const ADMIN_HANDLERS: Readonly<Record<string, AdminHandler>> = {
  'GET /faults': (target, _req, res) => sendJson(res, 200, target.faults()),
  'GET /records': (target, _req, res) => sendJson(res, 200, target.records()),
  'POST /faults': async (target, req, res) => {
    target.setFaults(parseObject(await readText(req)))
    sendJson(res, 200, target.faults())
  }
}

/** Answers an admin call under `path`; false when it isn't one. */
export function handleAdmin (target: AdminTarget, path: string, req: IncomingMessage, res: ServerResponse): boolean {
  const handler = ADMIN_HANDLERS[`${req.method} ${path}`]
  if (handler === undefined) return false
  // The answer is written before the fault takes hold of the connection that asked for it.
  Promise.resolve(handler(target, req, res)).catch(() => res.destroy())
  return true
}

export interface AdminServerOptions {
  /** By name of the stand-in. */
  targets: ReadonlyMap<string, AdminTarget>
  /** @default '127.0.0.1' */
  host?: string
  /** 0 takes any free port. @default 0 */
  port?: number
}

/**
 * One server for all stand-ins, `/<name>/faults` and `/<name>/records`: it stays reachable while a stand-in
 * refuses connections.
 */
export function createAdminServer (options: AdminServerOptions): Promise<Listener> {
  const { targets, host, port } = options
  return createListener({
    host,
    port,
    handler: (req, res) => {
      const [, name = '', rest = ''] = (req.url ?? '').split('/')
      const target = targets.get(decodeURIComponent(name))
      if (target !== undefined && handleAdmin(target, `/${rest}`, req, res)) return
      sendJson(res, 404, { names: [...targets.keys()] })
    }
  })
}
