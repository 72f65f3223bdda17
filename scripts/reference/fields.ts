/** Lists the fields of a schema with their types and defaults. */
import type * as v from 'valibot'

export interface Field {
  path: string
  type: string
  /** In TOML; undefined if the field has no default. */
  default?: string
  isRequired: boolean
}

/** The properties that `walk` reads from a schema of any kind. */
interface AnySchema {
  type: string
  entries?: Record<string, AnySchema>
  item?: AnySchema
  wrapped?: AnySchema
  default?: unknown
  options?: readonly unknown[]
  pipe?: ReadonlyArray<{ kind: string, type: string, requirement?: unknown, message?: unknown }>
}

/** Depth first, in the order of the schema. An array of tables is shown as `name[]`. */
export function listFields (schema: v.GenericSchema): Field[] {
  return walk(schema as unknown as AnySchema, '', true)
}

function walk (schema: AnySchema, path: string, isRequired: boolean, defaultValue?: unknown): Field[] {
  // The outermost `optional` decides: a field that an overlay may omit has no default there.
  if (schema.type === 'optional') return walk(schema.wrapped!, path, false, isRequired ? schema.default : defaultValue)
  if (schema.entries !== undefined) {
    return Object.entries(schema.entries).flatMap(([name, entry]) => walk(entry, path === '' ? name : `${path}.${name}`, true))
  }
  if (schema.type === 'array' && itemOf(schema).entries !== undefined) return walk(itemOf(schema), `${path}[]`, isRequired)
  return [{ path, type: typeOf(schema), default: defaultValue === undefined ? undefined : JSON.stringify(defaultValue), isRequired }]
}

function itemOf (schema: AnySchema): AnySchema {
  return schema.item!
}

function typeOf (schema: AnySchema): string {
  if (schema.type === 'array') return `list of ${typeOf(itemOf(schema))}`
  if (schema.type === 'picklist') return schema.options!.join(' \\| ')
  const checks = (schema.pipe ?? []).filter(step => step.kind === 'validation').map(checkText).filter(text => text !== '')
  return [schema.type, ...checks].join(', ')
}

const CHECK_TEXTS: Readonly<Record<string, (requirement: unknown) => string>> = {
  min_value: requirement => `at least ${String(requirement)}`,
  max_value: requirement => `at most ${String(requirement)}`,
  min_length: requirement => `at least ${String(requirement)} long`,
  integer: () => 'whole',
  url: () => 'a URL'
}

function checkText (step: { type: string, requirement?: unknown, message?: unknown }): string {
  if (step.type === 'regex') return typeof step.message === 'string' ? step.message : ''
  return CHECK_TEXTS[step.type]?.(step.requirement) ?? ''
}
