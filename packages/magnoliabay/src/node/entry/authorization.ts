/** Checks which models, adapters and services a team may call. */
import type { ConfigProvider } from '../config'

const ALLOW_ALL = '*'

export function mayCall (cfg: ConfigProvider, team: string, name: string): boolean {
  const allowed = cfg.team(team)?.allow ?? []
  return allowed.includes(ALLOW_ALL) || allowed.includes(name)
}
