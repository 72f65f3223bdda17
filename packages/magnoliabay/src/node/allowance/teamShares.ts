/** The shares of all teams at this process, kept in sync with the active configuration. */
import type { Clock } from '../clock'
import type { ConfigProvider, TeamConfig } from '../config'
import { createDemand } from './demand'
import type { Demand } from './demand'
import { createShare } from './share'
import type { AllowanceSize, Share } from './share'

export interface TeamShare {
  team: string
  share: Share
  demand: Demand
}

export type TeamAllowanceConfig = Pick<TeamConfig, 'name' | 'tokensPerSecond' | 'burstTokens'>

/** The part of the configuration that allowances use. */
export interface ActiveTeamConfig extends Pick<ConfigProvider, 'onChanged'> {
  active (): { fleet: { team: readonly TeamAllowanceConfig[] } }
}

export interface TeamShares {
  /** Returns the share of a team, or undefined for a team that was never configured. */
  of (team: string): TeamShare | undefined
  all (): readonly TeamShare[]
}

export function createTeamShares (cfg: ActiveTeamConfig, clock: Clock): TeamShares {
  const shares = new Map<string, TeamShare>()

  const sizeOf = (team: TeamAllowanceConfig): AllowanceSize => ({ rate: team.tokensPerSecond, burst: team.burstTokens })
  /** A team that is no longer configured keeps its units, which are needed when it is configured again. */
  const applyConfig = (): void => cfg.active().fleet.team.forEach(team => {
    const existing = shares.get(team.name)
    if (existing !== undefined) return existing.share.resize(sizeOf(team), clock.monotonic())
    shares.set(team.name, { team: team.name, share: createShare(sizeOf(team), clock.monotonic()), demand: createDemand() })
  })
  applyConfig()
  cfg.onChanged(applyConfig)
  return {
    of: team => shares.get(team),
    all: () => [...shares.values()]
  }
}
