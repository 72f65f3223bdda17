/** Plans what the files in a directory would change in the current configuration. */
import { BASE_DOCUMENT } from '../config'
import { formatChange, formatEffect, planChange } from '../config/plan'
import type { Plan, SitePlan } from '../config/plan'
import { formatProblem } from '../config'
import type { OperatorClient } from '../operators/client'
import { prepareFile, readAllCurrent, hasSameContent } from './configDocuments'
import type { CurrentDocument, PreparedFile } from './configDocuments'
import { readConfigFiles } from './configFiles'

export interface DirectoryPlan extends Plan {
  /** Files that differ from the current configuration. */
  changed: PreparedFile[]
  current: ReadonlyMap<string, CurrentDocument>
}

const MAX_CHANGES_SHOWN = 200

export async function planDirectory (client: OperatorClient, directory: string): Promise<DirectoryPlan> {
  const files = await Promise.all((await readConfigFiles(directory)).map(prepareFile))
  const current = await readAllCurrent(client)
  const [status, keys] = await Promise.all([client.status(), client.keys().catch(() => [])])
  const before = new Map([...current].map(([document, { body }]) => [document, body]))
  // Documents without a file stay as they are.
  const after = new Map([...before, ...files.map(file => [file.document, file.body] as const)])
  const plan = planChange({ before, after }, {
    replicasOf: model => status.replicas.filter(replica => replica.model === model).length,
    keysOf: team => keys.filter(key => key.team === team && key.withdrawnAtMs === undefined).map(key => key.id)
  })
  return { ...plan, current, changed: files.filter(file => !hasSameContent(file, current.get(file.document))) }
}

export function formatPlan ({ changed, current, sites, problems }: DirectoryPlan): string {
  if (problems.length > 0) return ['This would be refused:', ...problems.map(problem => `  ${formatProblem(problem)}`)].join('\n')
  if (changed.length === 0) return 'Nothing would change.'
  const files = changed.map(file => `${file.document}: version ${current.get(file.document)?.manifest.version ?? 0} -> new`)
  return [...files, ...sites.flatMap(formatSite)].join('\n')
}

function formatSite ({ site, changes, effects }: SitePlan): string[] {
  if (changes.length + effects.length === 0) return []
  const shown = changes.slice(0, MAX_CHANGES_SHOWN).map(change => `  ${formatChange(change)}`)
  const more = changes.length > MAX_CHANGES_SHOWN ? [`  and ${changes.length - MAX_CHANGES_SHOWN} more`] : []
  const title = site === BASE_DOCUMENT ? 'sites without an overlay:' : `site ${site}:`
  return ['', title, ...shown, ...more, ...effects.map(effect => `  ! ${formatEffect(effect)}`)]
}
