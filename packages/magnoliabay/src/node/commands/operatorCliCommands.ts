/** Operators' commands, except those of `magnoliabay config`. */
import { writeFile } from 'node:fs/promises'
import type { EntryKind } from '../config/documentBody'
import { formatLogFields } from '../logger'
import { SUBJECT_KINDS } from '../operators/decisionLog'
import { isSubjectKind } from '../operators/explain'
import type { Explanation } from '../operators/explain'
import type { ConfigEntry, KeySummary } from '../operators/queries'
import type { FleetStatus } from '../operators/status'
import { renderReportHtml } from '../report/html'
import { formatReportTable } from '../report/table'
import { CONNECTION_OPTIONS, JSON_OPTION, connect } from './connection'
import { formatTable } from './table'
import { EXIT_SUCCESS, UsageError } from './types'
import type { Command, CommandContext, ExitCode } from './types'

const QUERY_OPTIONS = { ...CONNECTION_OPTIONS, ...JSON_OPTION }

const KEY_ACTIONS: Readonly<Record<string, (context: CommandContext, argument: string | undefined) => Promise<ExitCode>>> = {
  create: async (context, team) => {
    if (team === undefined) throw new UsageError('Name a team: magnoliabay key create TEAM')
    const created = await (await connect(context)).createKey(team)
    printResult(context, created, () => `key ${created.id} for ${created.team}, shown this once: ${created.key}`)
    return EXIT_SUCCESS
  },
  list: async (context, team) => {
    const keys = await (await connect(context)).keys(team)
    printResult(context, keys, () => formatTable(['key', 'team', 'created', 'withdrawn'], keys.map(keyRow)))
    return EXIT_SUCCESS
  },
  withdraw: async (context, keyId) => {
    if (keyId === undefined) throw new UsageError('Name a key: magnoliabay key withdraw ID')
    await (await connect(context)).withdrawKey(keyId)
    printResult(context, { withdrawn: keyId }, () => `key ${keyId} is withdrawn`)
    return EXIT_SUCCESS
  }
}

const keyCommand: Command = {
  name: 'key',
  summary: "Create, list or withdraw callers' keys.",
  positionals: 'create TEAM | list [TEAM] | withdraw ID',
  options: QUERY_OPTIONS,
  run: async context => {
    const [name = '', argument] = context.positionals
    const action = KEY_ACTIONS[name]
    if (action === undefined) throw new UsageError(`Name an action: magnoliabay key ${Object.keys(KEY_ACTIONS).join(' | ')}`)
    return await action(context, argument)
  }
}

function entryCommand (kind: EntryKind): Command {
  return {
    name: kind,
    summary: `Show the ${kind}s of the active configuration, or one of them.`,
    positionals: '[name]',
    options: QUERY_OPTIONS,
    run: async context => {
      const list = await (await connect(context)).entries(kind, context.positionals[0])
      const more = list.total > list.entries.length ? [`and ${list.total - list.entries.length} more`] : []
      printResult(context, list, () => [formatEntries(list.entries), ...more].join('\n'))
      return EXIT_SUCCESS
    }
  }
}

const statusCommand: Command = {
  name: 'status',
  summary: 'Show instances, replicas, teams and the store, as one instance sees them.',
  options: QUERY_OPTIONS,
  run: async context => {
    const status = await (await connect(context)).status()
    printResult(context, status, () => formatStatus(status))
    return EXIT_SUCCESS
  }
}

const explainCommand: Command = {
  name: 'explain',
  summary: 'Show the decisions about a request, a model, a team or an order, and their reasons.',
  positionals: `${SUBJECT_KINDS.join('|')} ID`,
  options: QUERY_OPTIONS,
  run: async context => {
    const [kind = '', id] = context.positionals
    if (!isSubjectKind(kind) || id === undefined) throw new UsageError(`Name a subject: magnoliabay explain ${SUBJECT_KINDS.join('|')} ID`)
    const explanation = await (await connect(context)).explain(kind, id)
    printResult(context, explanation, () => formatExplanation(explanation))
    return EXIT_SUCCESS
  }
}

const auditCommand: Command = {
  name: 'audit',
  summary: 'Show the changes that operators made, with their time, operator and versions.',
  options: QUERY_OPTIONS,
  run: async context => {
    const records = await (await connect(context)).audit()
    const rows = records.map(record => [new Date(record.atMs).toISOString(), record.operator, record.action, record.subject, record.detail, record.instance])
    printResult(context, records, () => formatTable(['time', 'operator', 'action', 'subject', 'detail', 'at'], rows))
    return EXIT_SUCCESS
  }
}

const drainCommand: Command = {
  name: 'drain',
  summary: 'Take an instance out of service: callers move to others, and it hands over what it holds. Then stop it.',
  positionals: 'INSTANCE',
  options: CONNECTION_OPTIONS,
  run: async context => {
    const [instance] = context.positionals
    if (instance === undefined) throw new UsageError('Name an instance: magnoliabay drain INSTANCE')
    await (await connect(context)).drain(instance)
    context.print(`${instance} is drained; its open requests run to their end. It may be stopped.`)
    return EXIT_SUCCESS
  }
}

const declareGoneCommand: Command = {
  name: 'declare-gone',
  summary: 'Declare that a process has terminated, so that others take over what it held. Only if you are certain: it may be paused.',
  positionals: 'INSTANCE INCARNATION',
  options: CONNECTION_OPTIONS,
  run: async context => {
    const [instance, incarnation] = context.positionals
    if (instance === undefined || incarnation === undefined) {
      throw new UsageError('Name a process: magnoliabay declare-gone INSTANCE INCARNATION. The incarnation is in its log events and in magnoliabay status.')
    }
    await (await connect(context)).declareGone(instance, incarnation)
    context.print(`${incarnation} counts as terminated. If it still runs, stop it now.`)
    return EXIT_SUCCESS
  }
}

const reportCommand: Command = {
  name: 'report',
  summary: 'Show the burn rates of error budgets, for each team and objective.',
  options: { ...QUERY_OPTIONS, html: { type: 'string', value: 'FILE', description: 'Write an HTML page with charts instead.' } },
  run: async context => {
    const report = await (await connect(context)).report()
    const { html } = context.values
    if (typeof html === 'string') {
      await writeFile(html, renderReportHtml(report))
      context.print(html)
      return EXIT_SUCCESS
    }
    printResult(context, report, () => formatReportTable(report))
    return EXIT_SUCCESS
  }
}

export const operatorCliCommands: readonly Command[] = [
  keyCommand, entryCommand('team'), entryCommand('service'), entryCommand('model'), entryCommand('adapter'),
  statusCommand, explainCommand, reportCommand, drainCommand, declareGoneCommand, auditCommand
]

function printResult (context: CommandContext, value: unknown, format: () => string): void {
  context.print(context.values.json === true ? JSON.stringify(value, null, 2) : format())
}

function keyRow ({ id, team, createdAtMs, withdrawnAtMs }: KeySummary): string[] {
  const time = (ms: number | undefined): string => ms === undefined ? '' : new Date(ms).toISOString()
  return [id, team, time(createdAtMs), time(withdrawnAtMs)]
}

function formatEntries (entries: readonly ConfigEntry[]): string {
  if (entries.length === 0) return 'none'
  const fields = Object.keys(entries[0]!)
  const cellOf = (value: unknown): string => Array.isArray(value) ? value.join(' ') : typeof value === 'object' ? JSON.stringify(value) : String(value ?? '')
  return formatTable(fields, entries.map(entry => fields.map(field => cellOf((entry as Record<string, unknown>)[field]))))
}

function formatStatus (status: FleetStatus): string {
  const members = status.members.map(member => [
    member.id, member.incarnation, member.failureDomain, member.entryAddress, member.leaving ? 'leaving' : member.isConnected ? 'connected' : 'not reached'
  ])
  const replicas = status.replicas.map(replica => [replica.model, replica.engine, replica.address])
  const teams = status.teams.map(team => [team.name, String(team.tokensPerSecond), String(team.burstTokens)])
  const { answeredSecondsAgo, lastOutcome } = status.store
  const answered = answeredSecondsAgo === undefined ? 'not answered yet' : `answered ${answeredSecondsAgo} s ago`
  return [
    `As seen by ${status.instance.id}; configuration ${status.documents.map(({ document, version }) => `${document} ${version}`).join(', ')}; store ${answered}, last call ${lastOutcome ?? 'none'}.`,
    '',
    formatTable(['instance', 'incarnation', 'domain', 'entry', 'link'], members),
    '',
    formatTable(['model', 'engine', 'address'], replicas),
    '',
    formatTable(['team', 'tokens/s', 'burst'], teams)
  ].join('\n')
}

function formatExplanation ({ kind, id, events, unheard }: Explanation): string {
  const lines = events.map(({ atMs, instance, event, fields }) => {
    const { instance: _instance, ...others } = fields
    return `${new Date(atMs).toISOString()} ${instance} ${event} ${formatLogFields(others)}`
  })
  const none = events.length === 0 ? [`No instance has decisions about ${kind} ${id}; each keeps only its last few thousand.`] : []
  const missing = unheard.length === 0 ? [] : [`No answer from: ${unheard.join(', ')}`]
  return [...lines, ...none, ...missing].join('\n')
}
