/** Reads the token usage that an engine reports in a response. */

interface ResponseWithUsage {
  usage?: { total_tokens?: unknown } | null
}

/** Returns the total number of tokens that the response reports; undefined when it is missing or invalid. */
export function parseUsedTokens (json: string): number | undefined {
  const parsed = parseJsonObject(json) as ResponseWithUsage | undefined
  const total = parsed?.usage?.total_tokens
  return typeof total === 'number' && Number.isFinite(total) && total >= 0 ? total : undefined
}

/** Returns the object that `json` contains; undefined for anything else, such as a truncated body. */
export function parseJsonObject (json: string): object | undefined {
  try {
    const value: unknown = JSON.parse(json)
    return typeof value === 'object' && value !== null && !Array.isArray(value) ? value : undefined
  } catch {
    return undefined
  }
}
