/** Routes of the operators' interface. */
import type { ServerResponse } from 'node:http'
import * as v from 'valibot'
import { isDocumentName } from '../config'
import { ENTRY_KINDS } from '../config/documentBody'
import { sendJson } from '../entry/respond'
import type { SloTracker } from '../report'
import { Err, Ok } from '../result'
import type { Result } from '../result'
import { parseJson } from '../utils'
import type { OperatorRequest } from './authenticate'
import type { OperatorCommands, OperatorError } from './commands'
import { SUBJECT_KINDS } from './decisionLog'
import { isSubjectKind } from './explain'
import type { Explainer } from './explain'
import type { OperatorQueries } from './queries'

const ERROR_HTTP_STATUS: Record<OperatorError['kind'], number> = {
  store: 503,
  unknown: 504,
  conflict: 409,
  config: 422,
  'missing-chunks': 424,
  'unknown-key': 404,
  'unknown-team': 404,
  'unknown-version': 404,
  'bad-request': 400,
  'not-drained': 502
}

const DEFAULT_ROLLOUT_TIMEOUT_MS = 10_000
const MAX_ROLLOUT_TIMEOUT_MS = 60_000

const digest = v.string()
const applySchema = v.strictObject({
  document: v.pipe(v.string(), v.check(isDocumentName, 'base, or sites/<site>')),
  expectedVersion: v.pipe(v.number(), v.integer(), v.minValue(0)),
  changeId: v.pipe(v.string(), v.minLength(1), v.maxLength(100)),
  note: v.optional(v.pipe(v.string(), v.maxLength(1000)), ''),
  core: digest,
  adapters: v.array(digest),
  chunks: v.record(v.string(), v.string())
})
const declareGoneSchema = v.strictObject({ member: v.string(), incarnation: v.string() })
const createKeySchema = v.strictObject({ team: v.string() })

export interface OperatorRoute {
  method: 'GET' | 'POST' | 'PUT'
  path: string
  handle: (req: OperatorRequest, res: ServerResponse) => Promise<void> | void
}

export interface RouteOptions {
  commands: OperatorCommands
  queries: OperatorQueries
  status: () => object
  explain: Explainer['explain']
  report: Pick<SloTracker, 'collect'>
}

export function operatorRoutes ({ commands, queries, status, explain, report }: RouteOptions): OperatorRoute[] {
  return [
    {
      method: 'POST',
      path: '/operator/keys',
      handle: (req, res) => withBody(req, res, createKeySchema, ({ team }) => commands.createKey(team, req.operator))
    },
    { method: 'POST', path: '/operator/keys/:id/withdraw', handle: async (req, res) => reply(res, await commands.withdrawKey(req.params.id!, req.operator)) },
    { method: 'GET', path: '/operator/keys', handle: async (req, res) => reply(res, await queries.keys(req.query.team)) },
    {
      method: 'PUT',
      path: '/operator/config',
      handle: (req, res) => withBody(req, res, applySchema, body => commands.applyConfig({ ...body, operator: req.operator }))
    },
    { method: 'GET', path: '/operator/config', handle: async (_req, res) => reply(res, await queries.config()) },
    { method: 'GET', path: '/operator/config/document', handle: async (req, res) => reply(res, await queries.document(documentOf(req), versionOf(req))) },
    { method: 'GET', path: '/operator/config/history', handle: async (req, res) => reply(res, await queries.history(documentOf(req))) },
    {
      method: 'GET',
      path: '/operator/config/spread',
      handle: async (req, res) => {
        const timeoutMs = Math.min(MAX_ROLLOUT_TIMEOUT_MS, Number(req.query.timeoutMs ?? DEFAULT_ROLLOUT_TIMEOUT_MS))
        sendJson(res, 200, await queries.rollout(documentOf(req), versionOf(req), timeoutMs))
      }
    },
    {
      method: 'GET',
      path: '/operator/explain/:kind/:id',
      handle: async (req, res) => {
        const { kind = '', id = '' } = req.params
        if (isSubjectKind(kind)) return sendJson(res, 200, await explain(kind, decodeURIComponent(id)))
        reply(res, Err({ kind: 'bad-request', message: `explain takes one of ${SUBJECT_KINDS.join(', ')}` }))
      }
    },
    {
      method: 'POST',
      path: '/operator/gone',
      handle: (req, res) => withBody(req, res, declareGoneSchema, process => commands.declareGone(process, req.operator))
    },
    { method: 'POST', path: '/operator/drain/:instance', handle: async (req, res) => reply(res, await commands.drain(req.params.instance!, req.operator)) },
    {
      method: 'GET',
      path: '/operator/entries/:kind',
      handle: (req, res) => {
        const kind = ENTRY_KINDS.find(candidate => candidate === req.params.kind)
        if (kind !== undefined) return sendJson(res, 200, queries.entries(kind, req.query.name))
        reply(res, Err({ kind: 'bad-request', message: `entries are of one of ${ENTRY_KINDS.join(', ')}` }))
      }
    },
    { method: 'GET', path: '/operator/report', handle: async (_req, res) => sendJson(res, 200, await report.collect()) },
    { method: 'GET', path: '/operator/audit', handle: async (_req, res) => reply(res, await queries.audit()) },
    { method: 'GET', path: '/operator/status', handle: (_req, res) => sendJson(res, 200, status()) }
  ]
}

async function withBody<Schema extends v.GenericSchema, T> (req: OperatorRequest, res: ServerResponse, schema: Schema, run: (body: v.InferOutput<Schema>) => Promise<Result<T, OperatorError>>): Promise<void> {
  const body = readBody(req, schema)
  reply(res, body.err ? body : await run(body.val))
}

function readBody<Schema extends v.GenericSchema> (req: OperatorRequest, schema: Schema): Result<v.InferOutput<Schema>, OperatorError> {
  const checked = v.safeParse(schema, parseJson(req.rawBody.toString()))
  if (checked.success) return Ok(checked.output)
  const [issue] = checked.issues
  const path = issue.path?.map(item => String(item.key)).join('.') ?? 'body'
  return Err({ kind: 'bad-request', message: `${path}: ${issue.message}` })
}

function reply<T> (res: ServerResponse, result: Result<T, OperatorError>): void {
  if (result.ok) return sendJson(res, 200, result.val)
  sendJson(res, ERROR_HTTP_STATUS[result.val.kind], { error: result.val })
}

function documentOf (req: OperatorRequest): string {
  return req.query.document ?? ''
}

function versionOf (req: OperatorRequest): number {
  const version = Number(req.query.version ?? 0)
  return Number.isInteger(version) ? version : 0
}
