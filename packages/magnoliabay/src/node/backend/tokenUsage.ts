/** What an engine says that an answer used. */

interface WithUsage {
  usage?: { total_tokens?: unknown } | null
}

/** Total tokens by the answer's own account; undefined when it is missing or makes no sense. */
export function parseUsedTokens (json: string): number | undefined {
  const parsed = parseJsonObject(json) as WithUsage | undefined
  const total = parsed?.usage?.total_tokens
  return typeof total === 'number' && Number.isFinite(total) && total >= 0 ? total : undefined
}

/** The object that `json` holds; undefined for anything else, such as a body that was cut. */
export function parseJsonObject (json: string): object | undefined {
  try {
    const value: unknown = JSON.parse(json)
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value : undefined
  } catch {
    return undefined
  }
}
