/**
 * The platform's list of live and leaving instances, which lags behind the actual state.
 */
import type { CancelTimer, Clock } from 'magnoliabay/clock/index'
import { Err, Ok } from 'magnoliabay/result'
import type { InstanceList, InstanceStatus, ListedInstance } from 'magnoliabay/store/instanceList'
import { createAdminTarget, handleAdmin } from '../admin'
import type { AdminTarget } from '../admin'
import { createFaultSwitches } from '../faults'
import type { DownMode, FaultSwitches } from '../faults'
import { sendJson } from '../http/json'
import { createListener } from '../http/listener'

export interface InstanceListFaults {
  down: DownMode
  /** Omits the last listed instance. */
  missesOne: boolean
  /** Keeps showing the instance that was removed last. */
  showsGone: boolean
}

export interface InstanceListStateOptions {
  clock: Clock
  /** Time before a change becomes visible, milliseconds. @default 2000 */
  lagMs?: number
}

export interface InstanceListState {
  readonly faults: FaultSwitches<InstanceListFaults>
  /** Adds or replaces an entry. */
  set (instance: ListedInstance): void
  setStatus (id: string, status: InstanceStatus): void
  remove (id: string): void
  /** Returns the instances that the list shows now. */
  visible (): readonly ListedInstance[]
  /** Returns the actual instances, without the lag. */
  actual (): readonly ListedInstance[]
  /** Makes every change so far visible at once. */
  flush (): void
  /** Stops all timers. */
  close (): void
}

export interface InstanceListServer {
  readonly address: string
  readonly admin: AdminTarget
  close (): Promise<void>
}

const DEFAULT_LAG_MS = 2000

export function createInstanceListState (options: InstanceListStateOptions): InstanceListState {
  const { clock } = options
  const lagMs = options.lagMs ?? DEFAULT_LAG_MS
  const faults = createFaultSwitches<InstanceListFaults>({ down: 'no', missesOne: false, showsGone: false })
  const actual = new Map<string, ListedInstance>()
  const pendingTimers = new Set<CancelTimer>()
  let visible: readonly ListedInstance[] = []
  let lastRemoved: ListedInstance | undefined

  const applyChange = (apply: () => void): void => {
    apply()
    const snapshot = [...actual.values()]
    const cancel = clock.schedule(lagMs, () => {
      pendingTimers.delete(cancel)
      visible = snapshot
    })
    pendingTimers.add(cancel)
  }
  const stopTimers = (): void => {
    pendingTimers.forEach(cancel => cancel())
    pendingTimers.clear()
  }
  const isListed = (id: string): boolean => visible.some(instance => instance.id === id)

  return {
    faults,
    set: instance => applyChange(() => actual.set(instance.id, instance)),
    setStatus: (id, status) => applyChange(() => {
      const instance = actual.get(id)
      if (instance !== undefined) actual.set(id, { ...instance, status })
    }),
    remove: id => applyChange(() => {
      lastRemoved = actual.get(id) ?? lastRemoved
      actual.delete(id)
    }),
    visible: () => {
      const listed = faults.current.missesOne ? visible.slice(0, -1) : visible
      const removed = faults.current.showsGone && lastRemoved !== undefined && !isListed(lastRemoved.id) ? [lastRemoved] : []
      return [...listed, ...removed]
    },
    actual: () => [...actual.values()],
    flush: () => {
      stopTimers()
      visible = [...actual.values()]
    },
    close: stopTimers
  }
}

/** Creates an `InstanceList` that reads the state directly, without HTTP, for tests in virtual time. */
export function createDirectInstanceList (state: InstanceListState): InstanceList {
  return {
    read: async () => state.faults.current.down === 'no' ? Ok(state.visible()) : Err({ kind: 'unavailable', message: 'down' })
  }
}

/** Starts a server that answers `GET /instances` with `{ instances }`. */
export async function createInstanceListServer (options: { state: InstanceListState, host?: string, port?: number }): Promise<InstanceListServer> {
  const { state, host, port } = options
  const admin = createAdminTarget(state.faults, () => ({ actual: state.actual() }))
  const listener = await createListener({
    host,
    port,
    handler: (req, res) => {
      const path = (req.url ?? '').split('?')[0] ?? ''
      if (handleAdmin(admin, path, req, res)) return
      if (state.faults.current.down !== 'no') return sendJson(res, 503, { error: 'unavailable' })
      if (path !== '/instances') return sendJson(res, 404, { error: 'not found' })
      sendJson(res, 200, { instances: state.visible() })
    }
  })
  state.faults.onChange((_current, changed) => {
    if (changed.down === undefined) return
    return changed.down === 'refused' ? listener.refuse() : listener.accept()
  })
  return { address: listener.address, admin, close: listener.close }
}
