/** Applies the changed files of a directory, each against the version that the operator saw. */
import { BASE_DOCUMENT } from '../config'
import type { Manifest } from '../config'
import { diffFleets, formatChange } from '../config/plan'
import { resolveFleet } from '../config/resolveFleet'
import type { ResolvedFleet } from '../config/resolveFleet'
import type { DocumentBody } from '../config/documentBody'
import { OperatorCallError } from '../operators/client'
import type { OperatorClient } from '../operators/client'
import type { InstanceRollout } from '../operators/queries'
import { createId } from '../utils'
import { readCurrent } from './configDocuments'
import type { PreparedFile } from './configDocuments'
import type { DirectoryPlan } from './configPlan'

export interface AppliedDocument {
  manifest: Manifest
  /** Whether the version is active, for each instance. */
  spread: InstanceRollout[]
}

export interface ApplyOptions {
  client: OperatorClient
  plan: DirectoryPlan
  note: string
  /**
   * Makes the call idempotent: a change that is sent again with the same id is accepted once.
   * @default a new id for each document
   */
  changeId?: string
  /** How long to wait until the change is active on all instances, milliseconds. */
  rolloutTimeoutMs: number
}

export async function applyFiles (options: ApplyOptions): Promise<AppliedDocument[]> {
  const accepted = await applyInOrder(options, options.plan.changed)
  return await Promise.all(accepted.map(async manifest => ({
    manifest,
    spread: await options.client.rollout(manifest.document, manifest.version, options.rolloutTimeoutMs)
  })))
}

/**
 * Applies the base first, since overlays refer to its entries. If that is refused, as when the base removes an entry to
 * which an overlay still refers, applies the overlays first.
 */
async function applyInOrder (options: ApplyOptions, files: readonly PreparedFile[]): Promise<Manifest[]> {
  const base = files.filter(file => file.document === BASE_DOCUMENT)
  const overlays = files.filter(file => file.document !== BASE_DOCUMENT)
  try {
    return await applyAll(options, [...base, ...overlays])
  } catch (err) {
    const isConfigRefused = err instanceof OperatorCallError && err.error?.kind === 'config'
    if (!isConfigRefused || base.length === 0 || overlays.length === 0) throw err
    return await applyAll(options, [...overlays, ...base])
  }
}

async function applyAll (options: ApplyOptions, files: readonly PreparedFile[]): Promise<Manifest[]> {
  const accepted: Manifest[] = []
  for (const file of files) {
    accepted.push(await options.client.apply({
      ...file.prepared,
      document: file.document,
      expectedVersion: expectedVersion(options.plan, file),
      changeId: options.changeId === undefined ? createId('change') : `${options.changeId}-${file.document}`,
      note: options.note
    }, options.plan.current.get(file.document)?.manifest))
  }
  return accepted
}

/** Returns the version from which the file was exported, else the version that the plan is based on. */
export function expectedVersion (plan: DirectoryPlan, file: PreparedFile): number {
  return file.version ?? plan.current.get(file.document)?.manifest.version ?? 0
}

/** Describes both sides of a conflict as their changes to the version that the operator saw. */
export async function describeConflict (client: OperatorClient, plan: DirectoryPlan, err: OperatorCallError): Promise<string | undefined> {
  if (err.error?.kind !== 'conflict') return undefined
  const { current, expectedVersion: seen } = err.error
  const file = plan.changed.find(changed => changed.document === current.document)
  const theirs = await readCurrent(client, current.document, current.version)
  const before = seen === 0 ? undefined : await readCurrent(client, current.document, seen).catch(() => undefined)
  const base = plan.current.get(BASE_DOCUMENT)?.body
  const changes = (body: DocumentBody | undefined): string[] => describeChanges(base, before?.body, body)
  return [
    `Conflict on ${current.document}: you saw version ${seen}, version ${current.version} is there now.`,
    '',
    `Theirs, by ${current.operator} at ${new Date(current.acceptedAtMs).toISOString()}${current.note === '' ? '' : ` (${current.note})`}:`,
    ...changes(theirs.body),
    '',
    'Yours:',
    ...changes(file?.body),
    '',
    'Nothing of yours was applied. Export the newest version, make your change again, and apply.'
  ].join('\n')
}

function describeChanges (base: DocumentBody | undefined, before: DocumentBody | undefined, after: DocumentBody | undefined): string[] {
  const next = resolveBody(base, after)
  if (after === undefined || next === undefined) return ['  not available']
  const isFirstOverlay = before === undefined && after.document !== BASE_DOCUMENT
  const changes = diffFleets(resolveBody(base, isFirstOverlay ? base : before), next)
  return changes.length === 0 ? ['  no change'] : changes.map(change => `  ${formatChange(change)}`)
}

function resolveBody (base: DocumentBody | undefined, body: DocumentBody | undefined): ResolvedFleet | undefined {
  if (base === undefined || body === undefined) return undefined
  const resolved = body.document === BASE_DOCUMENT ? resolveFleet(body, undefined) : resolveFleet(base, body)
  return resolved.ok ? resolved.val : undefined
}
