/** Configuration of the embedded fleet. */

export const EMBEDDED_REGION = 'ie-south'
export const EMBEDDED_FAILURE_DOMAINS: readonly string[] = ['ie-south-a', 'ie-south-b', 'ie-south-c']
export const EMBEDDED_TEAM = 'depot'
export const EMBEDDED_SMALL_TEAM = 'yard'
export const EMBEDDED_MODELS: readonly string[] = ['assistant-small', 'assistant-large', 'residue-notes', 'route-planner']
export const EMBEDDED_SERVICE = 'notes'

export const EMBEDDED_CONFIG_TOML = `
[[team]]
name = "${EMBEDDED_TEAM}"
tokensPerSecond = 20000
burstTokens = 40000

[[team]]
name = "${EMBEDDED_SMALL_TEAM}"
tokensPerSecond = 50
burstTokens = 200

[[model]]
name = "assistant-small"
memoryMiB = 16000

[[model]]
name = "assistant-large"
memoryMiB = 60000

[[model]]
name = "residue-notes"
memoryMiB = 24000

[[model]]
name = "route-planner"
memoryMiB = 24000

[[service]]
name = "${EMBEDDED_SERVICE}"
`
