/** `magnoliabay config …`: checks, applies and shows the base file and the sites' overlays. */
import { formatProblem } from '../config'
import { planChange } from '../config/plan'
import { ConfigFileError, OperatorCallError } from '../operators/client'
import { applyFiles, describeConflict } from './configApply'
import type { AppliedDocument } from './configApply'
import { prepareFile, readCurrent } from './configDocuments'
import { readConfigFiles, writeConfigFile, formatDocument } from './configFiles'
import { formatPlan, planDirectory } from './configPlan'
import { CONNECTION_OPTIONS, JSON_OPTION, connect } from './connection'
import { formatTable } from './table'
import { EXIT_SUCCESS, EXIT_FAILED, UsageError } from './types'
import type { Command, CommandContext, ExitCode } from './types'

const DEFAULT_WAIT_SECONDS = '18'
const NO_FLEET_FACTS = { replicasOf: () => 0, keysOf: () => [] }

type Action = 'check' | 'plan' | 'apply' | 'status' | 'history' | 'export'

/** Actions by name; each gets the arguments after its name. */
const ACTIONS: Record<Action, (context: CommandContext, rest: readonly string[]) => Promise<ExitCode>> = {
  check: async ({ print, printError }, [directory = '.']) => {
    const files = await Promise.all((await readConfigFiles(directory)).map(prepareFile))
    const after = new Map(files.map(file => [file.document, file.body]))
    const { problems } = planChange({ before: new Map(), after }, NO_FLEET_FACTS)
    problems.forEach(problem => printError(formatProblem(problem)))
    if (problems.length > 0) return EXIT_FAILED
    print(`${files.length} files are consistent: ${files.map(file => file.document).join(', ')}`)
    return EXIT_SUCCESS
  },
  plan: async (context, [directory = '.']) => {
    const plan = await planDirectory(await connect(context), directory)
    context.print(context.values.json === true
      ? formatJson({ documents: plan.changed.map(file => file.document), sites: plan.sites, problems: plan.problems })
      : formatPlan(plan))
    return plan.problems.length === 0 ? EXIT_SUCCESS : EXIT_FAILED
  },
  apply: async (context, [directory = '.']) => {
    const { values, print, printError } = context
    const client = await connect(context)
    const plan = await planDirectory(client, directory)
    print(formatPlan(plan))
    if (plan.problems.length > 0) return EXIT_FAILED
    if (plan.changed.length === 0) return EXIT_SUCCESS
    const changeId = typeof values.change === 'string' ? values.change : undefined
    try {
      const applied = await applyFiles({ client, plan, note: String(values.note ?? ''), changeId, rolloutTimeoutMs: Number(values.wait) * 1000 })
      print(values.json === true ? formatJson(applied) : formatApplied(applied))
      return applied.every(({ spread }) => spread.every(one => one.isInForce)) ? EXIT_SUCCESS : EXIT_FAILED
    } catch (err) {
      if (!(err instanceof OperatorCallError)) throw err
      printError(await describeConflict(client, plan, err) ?? describeRefusal(err))
      return EXIT_FAILED
    }
  },
  status: async context => {
    const client = await connect(context)
    const { documents, damaged } = await client.config()
    const rollouts = await Promise.all(documents.map(async manifest => ({ manifest, spread: await client.rollout(manifest.document, manifest.version, 0) })))
    context.print(context.values.json === true ? formatJson({ documents: rollouts, damaged }) : formatApplied(rollouts))
    if (damaged.length > 0) context.printError(`The store's record of ${damaged.join(', ')} is damaged. The active version stays active; apply it again to repair the record.`)
    return EXIT_SUCCESS
  },
  history: async (context, [document = 'base']) => {
    const history = await (await connect(context)).history(document)
    const rows = history.map(manifest => [String(manifest.version), new Date(manifest.acceptedAtMs).toISOString(), manifest.operator, manifest.acceptedBy, String(manifest.fromVersion), manifest.note])
    context.print(context.values.json === true ? formatJson(history) : formatTable(['version', 'accepted', 'operator', 'at', 'from', 'note'], rows))
    return EXIT_SUCCESS
  },
  export: async (context, [directory = '.']) => {
    const client = await connect(context)
    const { documents } = await client.config()
    const only = typeof context.values.document === 'string' ? context.values.document : undefined
    const version = context.values.version === undefined ? undefined : Number(context.values.version)
    for (const { document } of documents.filter(manifest => only === undefined || manifest.document === only)) {
      const { manifest, body } = await readCurrent(client, document, version)
      if (context.values.print === true) context.print(formatDocument(body, manifest.version))
      else context.print(await writeConfigFile(directory, body, manifest.version))
    }
    return EXIT_SUCCESS
  }
}

export const configCommand: Command = {
  name: 'config',
  summary: `Check, change and follow the configuration: ${Object.keys(ACTIONS).join(', ')}.`,
  positionals: '<action> [directory | document]',
  options: {
    ...CONNECTION_OPTIONS,
    ...JSON_OPTION,
    note: { type: 'string', value: 'TEXT', description: 'apply: why the change is made; stored with the version.' },
    change: { type: 'string', value: 'ID', description: 'apply: id of the change. If a call got no answer, repeating it with the same id applies the change only once.' },
    wait: { type: 'string', value: 'SECONDS', description: `apply: how long to wait until it is active on all instances. Default ${DEFAULT_WAIT_SECONDS}.`, default: DEFAULT_WAIT_SECONDS },
    document: { type: 'string', value: 'NAME', description: 'export: only base, or sites/<site>.' },
    version: { type: 'string', value: 'N', description: 'export: an earlier version.' },
    print: { type: 'boolean', description: 'export: print to the terminal instead of writing files.' }
  },
  run: async context => {
    const [name = '', ...rest] = context.positionals
    const action = ACTIONS[name as Action]
    if (action === undefined) throw new UsageError(`Name an action: magnoliabay config ${Object.keys(ACTIONS).join(' | ')}`)
    try {
      return await action(context, rest)
    } catch (err) {
      if (!(err instanceof ConfigFileError)) throw err
      context.printError(err.message)
      return EXIT_FAILED
    }
  }
}

function formatApplied (applied: readonly AppliedDocument[]): string {
  return applied.map(({ manifest, spread }) => {
    const active = spread.filter(one => one.isInForce)
    const inactive = spread.filter(one => !one.isInForce)
    return [
      `${manifest.document} version ${manifest.version}, by ${manifest.operator}, change ${manifest.changeId}`,
      spread.length === 0
        ? '  no instance of that site is known'
        : `  active on ${active.length} of ${spread.length}: ${active.map(one => one.instance).join(', ')}`,
      ...inactive.map(one => `  not on ${one.instance} (${one.failureDomain}): ${one.reason ?? 'unknown'}`)
    ].join('\n')
  }).join('\n')
}

function describeRefusal (err: OperatorCallError): string {
  const { error } = err
  if (error?.kind === 'config') return ['Refused:', ...error.cause.problems.map(formatProblem)].join('\n')
  if (error?.kind === 'unknown') return `The store did not answer. The change may be active: apply again with --change ${error.changeId.replace(/-(base|sites\/.*)$/, '')}`
  if (error?.kind === 'store') return `Not applied: ${error.cause.message}`
  return err.message
}

function formatJson (value: unknown): string {
  return JSON.stringify(value, null, 2)
}
