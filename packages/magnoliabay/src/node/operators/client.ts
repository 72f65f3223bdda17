/** Client of the operators' interface, for the command line and the embedded fleet. */
import { Agent, request } from 'undici'
import type { Dispatcher } from 'undici'
import { BASE_DOCUMENT, formatProblem, parseTomlText, encodeDocument } from '../config'
import type { Manifest } from '../config'
import type { EntryKind, EncodedDocument } from '../config/documentBody'
import type { BurnReport } from '../report'
import { createId } from '../utils'
import type { AuditRecord } from './audit'
import type { OperatorError } from './commands'
import type { SubjectKind } from './decisionLog'
import type { Explanation } from './explain'
import type { ConfigOverview, DocumentContents, EntryList, InstanceRollout, KeySummary } from './queries'
import type { FleetStatus } from './status'

export interface OperatorClientOptions {
  /** `ip:port` of the operators' interface of one or several instances; the next one is tried if one is unreachable. */
  address: string | readonly string[]
  key: string
  /** Certificate authority of the instances, PEM; if given, calls use TLS. */
  ca?: string
}

export interface CreatedKey {
  id: string
  /** The secret key, which can't be read again. */
  key: string
  team: string
}

/** A response with a status other than 200; `error` is the error in its body. */
export class OperatorCallError extends Error {
  constructor (readonly status: number, readonly error: OperatorError | undefined, body: unknown) {
    super(`The instance answered with status ${status}: ${JSON.stringify(body)}`)
  }
}

/** Thrown when no instance can be reached. */
export class NoInstanceError extends Error {
  constructor (readonly addresses: readonly string[], cause: unknown) {
    super(`No instance can be reached at ${addresses.join(', ')}.`, { cause })
  }
}

/** Thrown for an invalid configuration file; nothing was sent. */
export class ConfigFileError extends Error {}

export interface PreparedChange extends EncodedDocument {
  document: string
  expectedVersion: number
  /** Makes the call idempotent: a change that is sent again, to any instance, is accepted once. */
  changeId: string
  note: string
}

/** Chunks that the fleet already has and that need not be sent. */
export type KnownChunks = Pick<Manifest, 'core' | 'adapters'>

export interface OperatorClient {
  createKey (team: string): Promise<CreatedKey>
  withdrawKey (keyId: string): Promise<void>
  keys (team?: string): Promise<KeySummary[]>
  /** Applies `text` as a new version of the base and returns that version. */
  applyConfig (text: string): Promise<number>
  apply (change: PreparedChange, known?: KnownChunks): Promise<Manifest>
  config (): Promise<ConfigOverview>
  /** Reads the given version, or the newest. */
  document (document: string, version?: number): Promise<DocumentContents>
  history (document: string): Promise<Manifest[]>
  rollout (document: string, version: number, timeoutMs: number): Promise<InstanceRollout[]>
  entries (kind: EntryKind, name?: string): Promise<EntryList>
  explain (kind: SubjectKind, id: string): Promise<Explanation>
  report (): Promise<BurnReport>
  drain (instance: string): Promise<void>
  declareGone (member: string, incarnation: string): Promise<void>
  audit (): Promise<AuditRecord[]>
  status (): Promise<FleetStatus>
}

type Method = 'GET' | 'POST' | 'PUT'

/** Error codes of calls that never reached the instance, so that any call may be sent to the next one. */
const UNDELIVERED_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])
/** Methods of calls that may be sent twice: queries, and configuration changes, which have a change id. */
const REPEATABLE_METHODS: ReadonlySet<Method> = new Set(['GET', 'PUT'])

export function createOperatorClient (options: OperatorClientOptions): OperatorClient {
  const addresses = [options.address].flat()
  const scheme = options.ca === undefined ? 'http' : 'https'
  const dispatcher: Dispatcher | undefined = options.ca === undefined ? undefined : new Agent({ connect: { ca: options.ca } })

  const callInstance = async <T>(address: string, method: Method, path: string, body?: object): Promise<T> => {
    const res = await request(`${scheme}://${address}${path}`, {
      method,
      body: body === undefined ? undefined : JSON.stringify(body),
      headers: { authorization: `Bearer ${options.key}`, 'content-type': 'application/json' },
      dispatcher
    })
    const responseBody = await res.body.json()
    if (res.statusCode !== 200) throw new OperatorCallError(res.statusCode, (responseBody as { error?: OperatorError }).error, responseBody)
    return responseBody as T
  }
  const call = async <T>(method: Method, path: string, body?: object): Promise<T> => {
    let cause: unknown
    for (const address of addresses) {
      try {
        return await callInstance<T>(address, method, path, body)
      } catch (err) {
        const canRetry = REPEATABLE_METHODS.has(method) || UNDELIVERED_ERROR_CODES.has((err as { code?: string }).code ?? '')
        if (err instanceof OperatorCallError || !canRetry) throw err
        cause = err
      }
    }
    throw new NoInstanceError(addresses, cause)
  }
  const get = <T>(path: string, query: Record<string, string | number | undefined> = {}): Promise<T> =>
    call<T>('GET', withQuery(path, query))

  const apply = async (change: PreparedChange, known?: KnownChunks): Promise<Manifest> => {
    const digests = new Set(known === undefined ? [] : [known.core, ...known.adapters])
    const chunks = Object.fromEntries(Object.entries(change.chunks).filter(([digest]) => !digests.has(digest)))
    try {
      return await call('PUT', '/operator/config', { ...change, chunks })
    } catch (err) {
      const isMissingChunks = err instanceof OperatorCallError && err.error?.kind === 'missing-chunks'
      if (!isMissingChunks || known === undefined) throw err
      return await call('PUT', '/operator/config', change)
    }
  }
  const config = (): Promise<ConfigOverview> => get('/operator/config')
  return {
    createKey: async team => {
      const created = await call<{ key: string, record: { id: string } }>('POST', '/operator/keys', { team })
      return { id: created.record.id, key: created.key, team }
    },
    withdrawKey: async keyId => { await call('POST', `/operator/keys/${encodeURIComponent(keyId)}/withdraw`) },
    keys: team => get('/operator/keys', { team }),
    applyConfig: async text => {
      const prepared = prepareTomlDocument(BASE_DOCUMENT, text)
      const current = (await config()).documents.find(manifest => manifest.document === BASE_DOCUMENT)
      const manifest = await apply({ ...prepared, document: BASE_DOCUMENT, expectedVersion: current?.version ?? 0, changeId: createId('change'), note: '' })
      return manifest.version
    },
    apply,
    config,
    document: (document, version) => get('/operator/config/document', { document, version }),
    history: document => get('/operator/config/history', { document }),
    rollout: (document, version, timeoutMs) => get('/operator/config/spread', { document, version, timeoutMs }),
    entries: (kind, name) => get(`/operator/entries/${kind}`, { name }),
    explain: (kind, id) => get(`/operator/explain/${kind}/${encodeURIComponent(id)}`),
    report: () => get('/operator/report'),
    declareGone: async (member, incarnation) => { await call('POST', '/operator/gone', { member, incarnation }) },
    drain: async instance => { await call('POST', `/operator/drain/${encodeURIComponent(instance)}`) },
    audit: () => get('/operator/audit'),
    status: () => get('/operator/status')
  }
}

/** Validates the text of a file and splits it into chunks. Throws {@link ConfigFileError}. */
export function prepareTomlDocument (document: string, text: string): EncodedDocument {
  const prepared = parseTomlText(`${document}.toml`, text).andThen(value => encodeDocument(document, value))
  if (prepared.err) throw new ConfigFileError(prepared.val.problems.map(formatProblem).join('\n'))
  return prepared.val
}

function withQuery (path: string, query: Record<string, string | number | undefined>): string {
  const pairs = Object.entries(query).flatMap(([name, value]): Array<[string, string]> => value === undefined ? [] : [[name, String(value)]])
  return pairs.length === 0 ? path : `${path}?${new URLSearchParams(pairs).toString()}`
}
