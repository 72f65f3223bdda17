/** What a team may call. */
import type { ConfigProvider } from '../config'

const EVERYTHING = '*'

export function mayCall (cfg: ConfigProvider, team: string, name: string): boolean {
  const allowed = cfg.team(team)?.allow ?? []
  return allowed.includes(EVERYTHING) || allowed.includes(name)
}
