/**
 * Checking TOML against a schema: every problem names the file, the path, what was found and what is allowed.
 */
import { parse as parseToml, TomlError } from 'smol-toml'
import * as v from 'valibot'
import { Err, Ok } from '../result'
import type { Result } from '../result'

export interface ConfigProblem {
  file: string
  /** Dotted path of the value, such as `team.2.rate`. Empty for the file as a whole. */
  path: string
  found: string
  allowed: string
}

export interface ConfigError {
  kind: 'syntax' | 'schema'
  problems: readonly ConfigProblem[]
}

/** Parses `text` and checks it; all problems are reported at once. */
export function parseConfig<Schema extends v.GenericSchema> (file: string, text: string, schema: Schema): Result<v.InferOutput<Schema>, ConfigError> {
  const parsed = parseTomlText(file, text)
  if (parsed.err) return parsed
  return checkConfig(file, parsed.val, schema)
}

export function checkConfig<Schema extends v.GenericSchema> (file: string, value: unknown, schema: Schema): Result<v.InferOutput<Schema>, ConfigError> {
  const checked = v.safeParse(schema, value)
  if (checked.success) return Ok(checked.output)
  return Err({ kind: 'schema', problems: checked.issues.map(issue => problemOf(file, issue)) })
}

export function parseTomlText (file: string, text: string): Result<Record<string, unknown>, ConfigError> {
  try {
    return Ok(parseToml(text) as Record<string, unknown>)
  } catch (err) {
    const where = err instanceof TomlError ? `line ${err.line}, column ${err.column}` : 'the file'
    const found = err instanceof Error ? err.message.split('\n')[0]! : 'unreadable text'
    return Err({ kind: 'syntax', problems: [{ file, path: where, found, allowed: 'valid TOML' }] })
  }
}

function problemOf (file: string, issue: v.BaseIssue<unknown>): ConfigProblem {
  const path = issue.path?.map(item => String(item.key)).join('.') ?? ''
  if (issue.type === 'strict_object') {
    return { file, path, found: `unknown key ${issue.received}`, allowed: 'only the keys of the reference' }
  }
  return { file, path, found: issue.received, allowed: issue.expected ?? issue.message }
}

export function formatProblem (problem: ConfigProblem): string {
  const path = problem.path === '' ? '' : ` at ${problem.path}`
  return `${problem.file}${path}: found ${problem.found}, allowed is ${problem.allowed}`
}
