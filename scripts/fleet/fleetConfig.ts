/** The site of the fleet check: teams, models, engines and their configuration. */

export interface SiteTeam {
  name: string
  tokensPerSecond: number
  burstTokens: number
  /** Fraction of all arrivals. */
  arrivalRatio: number
}

export interface SiteModel {
  name: string
  memoryMiB: number
  maxReplicas: number
  /** Relative frequency in the arrivals: most models are called rarely. */
  popularity: number
}

export const FAILURE_DOMAINS: readonly string[] = ['ie-south-a', 'ie-south-b', 'ie-south-c']
export const REGION = 'ie-south'
export const SERVICE = 'notes'
export const ENGINES = 6
export const ENGINE_MEMORY_MIB = 60_000
export const LIST_LAG_MS = 2000

/** Five teams, some of them large. */
export const TEAMS: readonly SiteTeam[] = [
  { name: 'drivers', tokensPerSecond: 900, burstTokens: 3600, arrivalRatio: 0.4 },
  { name: 'depots', tokensPerSecond: 700, burstTokens: 2800, arrivalRatio: 0.3 },
  { name: 'merchants', tokensPerSecond: 400, burstTokens: 1600, arrivalRatio: 0.15 },
  { name: 'yards', tokensPerSecond: 250, burstTokens: 1000, arrivalRatio: 0.1 },
  { name: 'regulator', tokensPerSecond: 150, burstTokens: 600, arrivalRatio: 0.05 }
]

const MODEL_COUNT = 24
const POPULARITY_EXPONENT = 1.4

export const MODELS: readonly SiteModel[] = Array.from({ length: MODEL_COUNT }, (_, index) => ({
  name: `model-${String(index + 1).padStart(2, '0')}`,
  memoryMiB: index % 4 === 0 ? 24_000 : 8000,
  maxReplicas: 2,
  popularity: 1 / (index + 1) ** POPULARITY_EXPONENT
}))

/** Returns the configuration as TOML; `extraModels` are added by configuration changes during the check. */
export function fleetConfigToml (extraModels: readonly string[] = []): string {
  const teams = TEAMS.map(team => `[[team]]
name = "${team.name}"
tokensPerSecond = ${team.tokensPerSecond}
burstTokens = ${team.burstTokens}
`)
  const models = MODELS.map(model => modelToml(model.name, model.memoryMiB, model.maxReplicas))
  const extras = extraModels.map(name => modelToml(name, 8000, 1))
  return [...teams, ...models, ...extras, `[[service]]\nname = "${SERVICE}"\n`].join('\n')
}

function modelToml (name: string, memoryMiB: number, maxReplicas: number): string {
  return `[[model]]
name = "${name}"
memoryMiB = ${memoryMiB}
maxReplicas = ${maxReplicas}
`
}
