/**
 * The configuration in force on this instance: the newest accepted one that it has heard of.
 */
import { STORE_ROOT } from '../constants'
import type { Logger } from '../logger'
import type { Disposer } from '../members/peers'
import { createListeners } from '../members/dispatch'
import type { Store } from '../platform'
import { checkConfig } from './schema'
import { EMPTY_FLEET, fleetSchema } from './fleet'
import type { AdapterConfig, FleetConfig, ModelConfig, ServiceConfig, TeamConfig } from './fleet'

export const FLEET_KEY = `${STORE_ROOT}/config/fleet`

export interface ConfigInForce {
  /** Store revision that accepted it; 0 before the first. */
  version: number
  fleet: FleetConfig
}

export interface ConfigHolder {
  inForce (): ConfigInForce
  team (name: string): TeamConfig | undefined
  model (name: string): ModelConfig | undefined
  adapter (name: string): AdapterConfig | undefined
  service (name: string): ServiceConfig | undefined
  /** Called after a newer configuration came into force. */
  onChanged (listener: () => void): Disposer
  start (signal: AbortSignal): void
}

export interface ConfigHolderOptions {
  store: Store
  logger: Logger
}

export function createConfigHolder (options: ConfigHolderOptions): ConfigHolder {
  const { store, logger } = options
  const changed = createListeners<[]>()
  let inForce: ConfigInForce = { version: 0, fleet: EMPTY_FLEET }
  let index = indexOf(EMPTY_FLEET)

  const offer = (version: number, text: string): void => {
    if (version <= inForce.version) return
    const checked = checkConfig('fleet', JSON.parse(text), fleetSchema)
    if (checked.err) return logger.error('config-refused', { version, problem: checked.val.problems[0]?.path })
    inForce = { version, fleet: checked.val }
    index = indexOf(checked.val)
    logger.info('config-in-force', { version })
    changed.emit()
  }
  return {
    inForce: () => inForce,
    team: name => index.teams.get(name),
    model: name => index.models.get(name),
    adapter: name => index.adapters.get(name),
    service: name => index.services.get(name),
    onChanged: changed.add,
    start: signal => store.watch(FLEET_KEY, {
      onSnapshot: snapshot => snapshot.entries.forEach(entry => offer(entry.modRevision, entry.value)),
      onEvent: event => { if (event.kind === 'put') offer(event.modRevision, event.value) }
    }, signal)
  }
}

interface FleetIndex {
  teams: Map<string, TeamConfig>
  models: Map<string, ModelConfig>
  adapters: Map<string, AdapterConfig>
  services: Map<string, ServiceConfig>
}

function indexOf (fleet: FleetConfig): FleetIndex {
  return {
    teams: byName(fleet.team),
    models: byName(fleet.model),
    adapters: byName(fleet.adapter),
    services: byName(fleet.service)
  }
}

function byName<T extends { name: string }> (items: readonly T[]): Map<string, T> {
  return new Map(items.map(item => [item.name, item]))
}
