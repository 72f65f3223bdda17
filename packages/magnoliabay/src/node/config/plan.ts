/** Plans a change: the entries added, changed and removed at each site, and their effects. */
import { resolveFleet } from './resolveFleet'
import type { ResolvedFleet } from './resolveFleet'
import { ENTRY_KINDS } from './documentBody'
import type { DocumentBody, EntryKind } from './documentBody'
import { BASE_DOCUMENT } from './documents'
import type { FleetConfig } from './fleet'
import type { ConfigProblem } from './schema'

export type ChangeKind = 'added' | 'changed' | 'removed'

export interface FieldChange {
  field: string
  /** Undefined if the field was not set. */
  before?: unknown
  after?: unknown
}

export interface EntryChange {
  kind: EntryKind | 'fleet'
  name: string
  change: ChangeKind
  fields: FieldChange[]
}

export interface SitePlan {
  /** `base` stands for sites without an overlay. */
  site: string
  changes: EntryChange[]
  effects: PlanEffect[]
}

export type PlanEffect =
  | { kind: 'model-evicted', model: string, replicas: number }
  | { kind: 'model-reloaded', model: string, version: string, replicas: number }
  | { kind: 'keys-stop', team: string, keys: readonly string[] }
  | { kind: 'over-capacity', tokensPerSecond: number, capacityTokensPerSecond: number }

/** Current replicas and keys of the fleet, on which effects depend. */
export interface CurrentUsage {
  replicasOf (model: string): number
  keysOf (team: string): readonly string[]
}

export interface Plan {
  sites: SitePlan[]
  /** Problems for which the change would be refused. */
  problems: ConfigProblem[]
}

/** Bodies by document, before and after the change. */
export interface PlanInput {
  before: ReadonlyMap<string, DocumentBody>
  after: ReadonlyMap<string, DocumentBody>
}

type Entry = Readonly<Record<string, unknown>> & { name: string }

export function planChange ({ before, after }: PlanInput, usage: CurrentUsage): Plan {
  const base = after.get(BASE_DOCUMENT)
  if (base === undefined) return { sites: [], problems: [{ file: 'base.toml', path: '', found: 'no base', allowed: 'a base before any overlay' }] }
  const documents = [BASE_DOCUMENT, ...[...after.keys()].filter(document => document !== BASE_DOCUMENT)]
  const problems: ConfigProblem[] = []
  const sites = documents.flatMap(document => {
    const next = resolveFleet(base, overlayOf(after, document))
    if (next.err) {
      problems.push(...next.val.problems)
      return []
    }
    const previous = resolvedBefore(before, document)
    const changes = diffFleets(previous, next.val)
    return [{ site: document.replace(/^sites\//, ''), changes, effects: effectsOf(changes, next.val, usage) }]
  })
  return { sites, problems }
}

function overlayOf (bodies: ReadonlyMap<string, DocumentBody>, document: string): DocumentBody | undefined {
  return document === BASE_DOCUMENT ? undefined : bodies.get(document)
}

function resolvedBefore (before: ReadonlyMap<string, DocumentBody>, document: string): ResolvedFleet | undefined {
  const base = before.get(BASE_DOCUMENT)
  const resolved = base === undefined ? undefined : resolveFleet(base, overlayOf(before, document))
  return resolved?.ok === true ? resolved.val : undefined
}

export function diffFleets (before: ResolvedFleet | undefined, after: ResolvedFleet): EntryChange[] {
  const old = before?.fleet
  const wideChanges = old === undefined ? [] : fieldChanges(fleetWideFields(old), fleetWideFields(after.fleet))
  const fleetWide: EntryChange[] = wideChanges.length === 0 ? [] : [{ kind: 'fleet', name: 'fleet', change: 'changed', fields: wideChanges }]
  return [...fleetWide, ...ENTRY_KINDS.flatMap(kind => changesOfKind(kind, old?.[kind] ?? [], after.fleet[kind]))]
}

function fleetWideFields ({ team, model, adapter, service, ...wide }: FleetConfig): Record<string, unknown> {
  return wide
}

function changesOfKind (kind: EntryKind, before: readonly Entry[], after: readonly Entry[]): EntryChange[] {
  const old = new Map(before.map(entry => [entry.name, entry]))
  const names = new Set(after.map(entry => entry.name))
  const addedOrChanged = after.flatMap((entry): EntryChange[] => {
    const previous = old.get(entry.name)
    if (previous === entry) return []
    const fields = fieldChanges(previous ?? {}, entry)
    if (previous === undefined) return [{ kind, name: entry.name, change: 'added', fields }]
    return fields.length === 0 ? [] : [{ kind, name: entry.name, change: 'changed', fields }]
  })
  const removed = before.filter(entry => !names.has(entry.name))
    .map((entry): EntryChange => ({ kind, name: entry.name, change: 'removed', fields: [] }))
  return [...addedOrChanged, ...removed]
}

function fieldChanges (before: Readonly<Record<string, unknown>>, after: Readonly<Record<string, unknown>>): FieldChange[] {
  const fields = new Set([...Object.keys(before), ...Object.keys(after)])
  return [...fields]
    .filter(field => field !== 'name' && JSON.stringify(before[field]) !== JSON.stringify(after[field]))
    .map(field => ({ field, before: before[field], after: after[field] }))
}

function effectsOf (changes: readonly EntryChange[], after: ResolvedFleet, usage: CurrentUsage): PlanEffect[] {
  const removed = (kind: EntryKind): EntryChange[] => changes.filter(change => change.kind === kind && change.change === 'removed')
  const evicted = removed('model')
    .map(({ name }): PlanEffect => ({ kind: 'model-evicted', model: name, replicas: usage.replicasOf(name) }))
  const reloaded = changes
    .filter(({ kind, change, fields }) => kind === 'model' && change === 'changed' && fields.some(({ field }) => field === 'version'))
    .map(({ name }): PlanEffect => ({ kind: 'model-reloaded', model: name, version: after.models.get(name)!.version, replicas: usage.replicasOf(name) }))
  const stopped = removed('team')
    .map(({ name }): PlanEffect => ({ kind: 'keys-stop', team: name, keys: usage.keysOf(name) }))
  return [...evicted, ...reloaded, ...stopped, ...capacityEffect(after)]
}

function capacityEffect ({ fleet }: ResolvedFleet): PlanEffect[] {
  const tokensPerSecond = fleet.team.reduce((sum, team) => sum + team.tokensPerSecond, 0)
  const { capacityTokensPerSecond } = fleet
  if (capacityTokensPerSecond === undefined || tokensPerSecond <= capacityTokensPerSecond) return []
  return [{ kind: 'over-capacity', tokensPerSecond, capacityTokensPerSecond }]
}

const EFFECT_TEXTS: { [Kind in PlanEffect['kind']]: (effect: Extract<PlanEffect, { kind: Kind }>) => string } = {
  'model-evicted': ({ model, replicas }) => `${model} is unloaded (${replicas} replicas now); requests for it are refused`,
  'model-reloaded': ({ model, version, replicas }) => `${model} is reloaded at version ${version} (${replicas} replicas now)`,
  'keys-stop': ({ team, keys }) => `keys of ${team} stop working: ${keys.length === 0 ? 'it has none' : keys.join(', ')}`,
  'over-capacity': ({ tokensPerSecond, capacityTokensPerSecond }) => `the teams' rates add up to ${tokensPerSecond} tokens/s, over the capacity of ${capacityTokensPerSecond}`
}

const CHANGE_SIGNS: Record<ChangeKind, string> = { added: '+', changed: '~', removed: '-' }

export function formatEffect (effect: PlanEffect): string {
  return (EFFECT_TEXTS[effect.kind] as (effect: PlanEffect) => string)(effect)
}

export function formatChange ({ kind, name, change, fields }: EntryChange): string {
  const shown = change === 'changed'
    ? fields.map(({ field, before, after }) => ` ${field} ${textOf(before)} -> ${textOf(after)}`).join(',')
    : ''
  return `${CHANGE_SIGNS[change]} ${kind} ${name}${shown}`
}

function textOf (value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value)
}
