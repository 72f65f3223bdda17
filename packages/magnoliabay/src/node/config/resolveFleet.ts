/** Resolves the base and a site's overlay into the configuration of an instance, and checks it as a whole. */
import type * as v from 'valibot'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { bucketOf } from './chunks'
import { documentFileName } from './documents'
import { ENTRY_KINDS } from './documentBody'
import type { AdapterBucket, AdapterEntry, DocumentBody, EntryKind } from './documentBody'
import { fleetSchema, modelSchema, serviceSchema, teamSchema, adapterSchema } from './fleet'
import type { AdapterConfig, FleetConfig, ModelConfig, ServiceConfig, TeamConfig } from './fleet'
import { checkConfig } from './schema'
import type { ConfigError, ConfigProblem } from './schema'

export interface ResolvedFleet {
  fleet: FleetConfig
  teams: ReadonlyMap<string, TeamConfig>
  models: ReadonlyMap<string, ModelConfig>
  services: ReadonlyMap<string, ServiceConfig>
  adapter (name: string): AdapterConfig | undefined
  /** Inputs from which the adapters were resolved and checked; equal inputs need no second check. */
  adapterSource: AdapterSource
}

interface AdapterSource {
  base: readonly AdapterBucket[]
  overlay: readonly AdapterBucket[]
  without: string
  /** Names of the models against which the adapters were checked. */
  models: string
}

interface Named { name: string }

/** An entry with its file and path, which problems report. */
interface LocatedEntry<T extends Named> {
  entry: T
  file: string
  path: string
}

const ANY_NAME = '*'

/** Resolves base and overlay. Adapters that have not changed are reused from `previous`, the fleet resolved before. */
export function resolveFleet (base: DocumentBody, overlay: DocumentBody | undefined, previous?: ResolvedFleet): Result<ResolvedFleet, ConfigError> {
  const problems: ConfigProblem[] = []
  const teams = resolveKind<TeamConfig>('team', teamSchema, base, overlay, problems)
  const models = resolveKind<ModelConfig>('model', modelSchema, base, overlay, problems)
  const services = resolveKind<ServiceConfig>('service', serviceSchema, base, overlay, problems)
  const { adapter: withoutAdapters = [] } = overlay?.core.without ?? {}
  const adapterSource: AdapterSource = { base: base.adapters, overlay: overlay?.adapters ?? [], without: withoutAdapters.join(' '), models: [...models.keys()].join(' ') }
  const reusable = previous !== undefined && areSourcesEqual(previous.adapterSource, adapterSource) ? previous : undefined
  const adapters = reusable !== undefined
    ? { list: reusable.fleet.adapter, find: reusable.adapter }
    : resolveAdapters(base, overlay, new Set(withoutAdapters), problems)

  problems.push(
    ...checkWithout(base, overlay),
    ...(reusable?.adapterSource.models === adapterSource.models ? [] : checkModelsOfAdapters(base, overlay, models, adapters.list)),
    ...checkCallNames(base, overlay, models, services, adapters.find),
    ...checkAllowLists(base, overlay)
  )
  if (problems.length > 0) return Err({ kind: 'schema', problems })
  const fleetWide = checkConfig(documentFileName(base.document), {
    cells: overlay?.core.cells ?? base.core.cells,
    capacityTokensPerSecond: overlay?.core.capacityTokensPerSecond ?? base.core.capacityTokensPerSecond,
    coldStartWorth: overlay?.core.coldStartWorth ?? base.core.coldStartWorth,
    weightStore: { ...base.core.weightStore, ...overlay?.core.weightStore },
    objective: { ...base.core.objective, ...overlay?.core.objective }
  }, fleetSchema)
  if (fleetWide.err) return fleetWide
  const fleet: FleetConfig = {
    ...fleetWide.val,
    team: [...teams.values()],
    model: [...models.values()],
    service: [...services.values()],
    adapter: adapters.list
  }
  return Ok({ fleet, teams, models, services, adapter: adapters.find, adapterSource })
}

function resolveKind<T extends Named> (kind: 'team' | 'model' | 'service', schema: v.GenericSchema, base: DocumentBody, overlay: DocumentBody | undefined, problems: ConfigProblem[]): Map<string, T> {
  const without = new Set(overlay?.core.without?.[kind] ?? [])
  const merged = new Map<string, LocatedEntry<Named>>()
  locatedEntries(base, kind).filter(({ entry }) => !without.has(entry.name)).forEach(item => merged.set(item.entry.name, item))
  locatedEntries(overlay, kind).forEach(item => {
    const baseEntry = merged.get(item.entry.name)?.entry
    merged.set(item.entry.name, { ...item, entry: { ...baseEntry, ...item.entry } })
  })
  const resolved = [...merged.values()].flatMap(item => {
    const checked = checkConfig(item.file, item.entry, schema)
    if (checked.ok) return [checked.val as T]
    problems.push(...checked.val.problems.map(problem => ({ ...problem, path: `${item.path}.${problem.path}` })))
    return []
  })
  return new Map(resolved.map(item => [item.name, item]))
}

function locatedEntries (body: DocumentBody | undefined, kind: 'team' | 'model' | 'service'): Array<LocatedEntry<Named>> {
  if (body === undefined) return []
  return (body.core[kind] ?? []).map((entry, index) => ({ entry, file: documentFileName(body.document), path: `${kind}.${index}` }))
}

interface ResolvedAdapters {
  list: AdapterConfig[]
  find: (name: string) => AdapterConfig | undefined
}

function resolveAdapters (base: DocumentBody, overlay: DocumentBody | undefined, without: ReadonlySet<string>, problems: ConfigProblem[]): ResolvedAdapters {
  const inBase = (name: string): AdapterConfig | undefined => without.has(name) ? undefined : findAdapter(base.adapters, name) as AdapterConfig | undefined
  const changed = new Map<string, AdapterConfig>()
  adapterEntries(overlay?.adapters ?? []).forEach(entry => {
    const checked = checkConfig(documentFileName(overlay!.document), { ...inBase(entry.name), ...entry }, adapterSchema)
    if (checked.ok) changed.set(entry.name, checked.val)
    else problems.push(...checked.val.problems.map(problem => ({ ...problem, path: `adapter ${entry.name}.${problem.path}` })))
  })
  const kept = adapterEntries(base.adapters) as AdapterConfig[]
  const isKept = changed.size === 0 && without.size === 0
    ? () => true
    : (entry: AdapterConfig) => !changed.has(entry.name) && !without.has(entry.name)
  return {
    list: [...kept.filter(isKept), ...changed.values()],
    find: name => changed.get(name) ?? inBase(name)
  }
}

export function adapterEntries (buckets: readonly AdapterBucket[]): AdapterEntry[] {
  return buckets.flatMap(bucket => [...bucket.byName.values()])
}

function findAdapter (buckets: readonly AdapterBucket[], name: string): AdapterEntry | undefined {
  if (buckets.length === 0) return undefined
  return buckets[bucketOf(name, buckets.length)]!.byName.get(name)
}

function areSourcesEqual (left: AdapterSource, right: AdapterSource): boolean {
  return left.without === right.without && areBucketsEqual(left.base, right.base) && areBucketsEqual(left.overlay, right.overlay)
}

function areBucketsEqual (left: readonly AdapterBucket[], right: readonly AdapterBucket[]): boolean {
  return left.length === right.length && left.every((bucket, index) => bucket.digest === right[index]!.digest)
}

function checkWithout (base: DocumentBody, overlay: DocumentBody | undefined): ConfigProblem[] {
  if (overlay === undefined) return []
  const file = documentFileName(overlay.document)
  return ENTRY_KINDS.flatMap(kind => (overlay.core.without?.[kind] ?? []).flatMap((name, index): ConfigProblem[] => {
    const path = `without.${kind}.${index}`
    if (!hasEntry(base, kind, name)) return [{ file, path, found: name, allowed: `a ${kind} of ${documentFileName(base.document)}` }]
    if (hasEntry(overlay, kind, name)) return [{ file, path, found: `${name}, which this file also names as ${kind}`, allowed: 'one of the two' }]
    return []
  }))
}

function hasEntry (body: DocumentBody, kind: EntryKind, name: string): boolean {
  if (kind === 'adapter') return findAdapter(body.adapters, name) !== undefined
  return (body.core[kind] ?? []).some(entry => entry.name === name)
}

function checkModelsOfAdapters (base: DocumentBody, overlay: DocumentBody | undefined, models: ReadonlyMap<string, ModelConfig>, adapters: readonly AdapterConfig[]): ConfigProblem[] {
  const withoutModels = new Set(overlay?.core.without?.model ?? [])
  return adapters.filter(adapter => !models.has(adapter.model)).map(adapter => {
    const owner = overlay !== undefined && (withoutModels.has(adapter.model) || hasEntry(overlay, 'adapter', adapter.name)) ? overlay : base
    return { file: documentFileName(owner.document), path: `adapter ${adapter.name}.model`, found: adapter.model, allowed: 'a model that holds at this site' }
  })
}

/** Reports names used twice. Callers name models, adapters and services in the same way, so no two of them may share a name. */
function checkCallNames (base: DocumentBody, overlay: DocumentBody | undefined, models: ReadonlyMap<string, ModelConfig>, services: ReadonlyMap<string, ServiceConfig>, adapter: ResolvedAdapters['find']): ConfigProblem[] {
  const file = documentFileName((overlay ?? base).document)
  const taken = [...models.keys(), ...services.keys()].filter(name => adapter(name) !== undefined)
  const twice = [...services.keys()].filter(name => models.has(name))
  return [...taken, ...twice].map(name => ({ file, path: name, found: 'two of model, adapter and service with this name', allowed: 'one' }))
}

/** Reports allowed names that neither file defines, since these are typing errors. A name that the site's overlay removes is not reported. */
function checkAllowLists (base: DocumentBody, overlay: DocumentBody | undefined): ConfigProblem[] {
  const bodies = overlay === undefined ? [base] : [base, overlay]
  const isKnown = (name: string): boolean => name === ANY_NAME ||
    bodies.some(body => (['model', 'adapter', 'service'] as const).some(kind => hasEntry(body, kind, name)))
  return bodies.flatMap(body => (body.core.team ?? []).flatMap((team, index) => (team.allow ?? [])
    .filter(name => !isKnown(name))
    .map(name => ({ file: documentFileName(body.document), path: `team.${index}.allow`, found: name, allowed: 'a model, an adapter, a service, or *' }))))
}
