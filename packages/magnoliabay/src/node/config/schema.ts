/** Checks TOML against a schema. Every problem names the file, the path, what was found and what is allowed. */
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
  return Err({ kind: 'schema', problems: checked.issues.map(issue => problemOf(file, issue, schema)) })
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

/** Types of checks whose schemas have a message of their own; valibot's `expected` is code there. */
const CHECKS_WITH_OWN_MESSAGE: ReadonlySet<string> = new Set(['regex', 'url', 'check'])

function problemOf (file: string, issue: v.BaseIssue<unknown>, schema: v.GenericSchema): ConfigProblem {
  const keys = issue.path?.map(item => String(item.key)) ?? []
  const path = keys.join('.')
  if (issue.type === 'strict_object' && issue.expected === 'never') {
    return { file, path, found: `unknown key ${issue.received}`, allowed: keysAllowedAt(schema, keys.slice(0, -1)) }
  }
  if (issue.type === 'strict_object' && issue.received === 'undefined') return { file, path, found: 'nothing', allowed: `a value for ${issue.expected}` }
  return { file, path, found: issue.received, allowed: CHECKS_WITH_OWN_MESSAGE.has(issue.type) ? issue.message : issue.expected ?? issue.message }
}

/** The properties of valibot's schemas that contain nested schemas. */
interface SchemaNode {
  wrapped?: SchemaNode
  item?: SchemaNode
  entries?: Readonly<Record<string, SchemaNode>>
}

function keysAllowedAt (schema: v.GenericSchema, path: readonly string[]): string {
  const unwrap = (node: SchemaNode | undefined): SchemaNode | undefined => node?.wrapped === undefined ? node : unwrap(node.wrapped)
  const step = (node: SchemaNode | undefined, key: string): SchemaNode | undefined => {
    const inner = unwrap(node)
    return inner?.item ?? inner?.entries?.[key]
  }
  const entries = unwrap(path.reduce(step, schema as SchemaNode))?.entries
  return entries === undefined ? 'no such key' : Object.keys(entries).join(', ')
}

export function formatProblem (problem: ConfigProblem): string {
  const path = problem.path === '' ? '' : ` at ${problem.path}`
  return `${problem.file}${path}: found ${problem.found}, allowed is ${problem.allowed}`
}
