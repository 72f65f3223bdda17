/** Holds the active serving configuration of this process, and looks up routes, teams and services in it. Its version only increases. */
import type { InputMonitor } from '../inputs'
import type { Clock } from '../clock'
import type { Logger } from '../logger'
import type { Route, Service, ServingConfig, Team } from './types'

export interface ServingConfigProvider {
  /** Undefined until one is known. */
  current (): ServingConfig | undefined
  version (): number
  /** The document of the active configuration as it was read, for peers that have missed it. */
  text (): string | undefined
  /** Activates a document if it is newer than the active one; returns whether it was. */
  applyIfNewer (text: string, source: 'store' | 'peer'): boolean
  findRoute (host: string, path: string): Route | undefined
  /** Returns the team that a key belongs to. */
  findTeamByKey (key: string): Team | undefined
  findService (name: string): Service | undefined
  onChanged (listener: () => void): void
}

export interface ServingConfigProviderOptions {
  /** Counts values that cannot be read. @default they are logged only */
  inputs?: Pick<InputMonitor, 'countRefused'>
  decode: (text: string) => ServingConfig | undefined
  clock: Clock
  logger: Logger
}

interface Index {
  routes: ReadonlyMap<string, readonly Route[]>
  teams: ReadonlyMap<string, Team>
}

const EMPTY: Index = { routes: new Map(), teams: new Map() }

export function createServingConfigProvider ({ decode, inputs, clock, logger }: ServingConfigProviderOptions): ServingConfigProvider {
  const listeners: Array<() => void> = []
  let current: ServingConfig | undefined
  let currentText: string | undefined
  let index = EMPTY

  /** Logs teams whose rate, burst or number of keys has changed: a key that was removed is logged nowhere else. */
  const logAllowanceChanges = (next: ServingConfig): void => {
    const allowanceOf = (team: Team): string => `${team.rate} ${team.burst} ${team.keys.length}`
    const before = new Map(current?.teams?.map(team => [team.name, allowanceOf(team)]))
    next.teams
      ?.filter(team => before.get(team.name) !== allowanceOf(team))
      .forEach(team => logger.info('allowance-set', { version: next.version, team: team.name, rate: team.rate, burst: team.burst, unit: team.unit, keys: team.keys.length }))
  }
  return {
    current: () => current,
    version: () => current?.version ?? 0,
    text: () => currentText,
    applyIfNewer: (text, source) => {
      const next = decode(text)
      if (next === undefined) {
        inputs?.countRefused(source === 'store' ? 'store-value' : 'peer-message')
        logger.warn('config-unreadable', { source, bytes: text.length, inForce: current?.version })
        return false
      }
      // A late response or a lagging peer must not bring back a withdrawn key or a removed route.
      if (next.version <= (current?.version ?? 0)) return false
      logger.info('config-in-force', { version: next.version, before: current?.version, source, routes: next.routes.length, teams: next.teams?.length, atMs: Math.round(clock.monotonic()) })
      logAllowanceChanges(next)
      current = next
      currentText = text
      index = indexOf(next)
      listeners.forEach(listener => listener())
      return true
    },
    findRoute: (host, path) => index.routes.get(host)?.find(route => path.startsWith(route.prefix)),
    findTeamByKey: key => index.teams.get(key),
    findService: name => current?.services.get(name),
    onChanged: listener => { listeners.push(listener) }
  }
}

function indexOf (cfg: ServingConfig): Index {
  const routes = new Map<string, Route[]>()
  cfg.routes.forEach(route => routes.set(route.host, [...routes.get(route.host) ?? [], route]))
  // The longest prefix wins.
  routes.forEach(ofHost => ofHost.sort((left, right) => right.prefix.length - left.prefix.length))
  const teams = new Map((cfg.teams ?? []).flatMap(team => team.keys.map(key => [key, team] as const)))
  return { routes, teams }
}
