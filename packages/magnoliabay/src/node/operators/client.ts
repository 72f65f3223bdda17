/** Client of the operators' interface, for the command line and the embedded default. */
import { request } from 'undici'
import { BASE_DOCUMENT, formatProblem, parseTomlText, prepareDocument } from '../config'
import type { Manifest } from '../config'
import type { PreparedDocument } from '../config/body'
import { createId } from '../utils'
import type { AuditRecord } from './audit'
import type { OperatorError } from './commands'
import type { ConfigOverview, DocumentContents, InstanceSpread, KeySummary } from './queries'

export interface OperatorClientOptions {
  /** `ip:port` of any instance's operators' interface. */
  address: string
  key: string
}

export interface CreatedKey {
  id: string
  /** Shown once. */
  key: string
  team: string
}

/** An answer that is no success: `error` is what the instance said. */
export class OperatorCallError extends Error {
  constructor (readonly status: number, readonly error: OperatorError | undefined, body: unknown) {
    super(`The instance answered with status ${status}: ${JSON.stringify(body)}`)
  }
}

/** A file that does not pass its check; nothing was sent. */
export class ConfigFileError extends Error {}

export interface PreparedChange extends PreparedDocument {
  document: string
  expectedVersion: number
  changeId: string
  note: string
}

export interface OperatorClient {
  createKey (team: string): Promise<CreatedKey>
  withdrawKey (keyId: string): Promise<void>
  keys (team?: string): Promise<KeySummary[]>
  /** Makes `text` the newest version of the base and returns that version. */
  applyConfig (text: string): Promise<number>
  apply (change: PreparedChange): Promise<Manifest>
  config (): Promise<ConfigOverview>
  document (document: string, version?: number): Promise<DocumentContents>
  history (document: string): Promise<Manifest[]>
  spread (document: string, version: number, timeoutMs: number): Promise<InstanceSpread[]>
  audit (): Promise<AuditRecord[]>
  status (): Promise<unknown>
}

export function createOperatorClient (options: OperatorClientOptions): OperatorClient {
  const call = async <T>(method: 'GET' | 'POST' | 'PUT', path: string, body?: object): Promise<T> => {
    const res = await request(`http://${options.address}${path}`, {
      method,
      body: body === undefined ? undefined : JSON.stringify(body),
      headers: { authorization: `Bearer ${options.key}`, 'content-type': 'application/json' }
    })
    const answer = await res.body.json()
    if (res.statusCode !== 200) throw new OperatorCallError(res.statusCode, (answer as { error?: OperatorError }).error, answer)
    return answer as T
  }
  const get = <T>(path: string, query: Record<string, string | number | undefined> = {}): Promise<T> =>
    call<T>('GET', withQuery(path, query))

  const apply = (change: PreparedChange): Promise<Manifest> => call('PUT', '/operator/config', change)
  const config = (): Promise<ConfigOverview> => get('/operator/config')
  return {
    createKey: async team => {
      const created = await call<{ key: string, record: { id: string } }>('POST', '/operator/keys', { team })
      return { id: created.record.id, key: created.key, team }
    },
    withdrawKey: async keyId => { await call('POST', `/operator/keys/${encodeURIComponent(keyId)}/withdraw`) },
    keys: team => get('/operator/keys', { team }),
    applyConfig: async text => {
      const prepared = prepareText(BASE_DOCUMENT, text)
      const current = (await config()).documents.find(manifest => manifest.document === BASE_DOCUMENT)
      const manifest = await apply({ ...prepared, document: BASE_DOCUMENT, expectedVersion: current?.version ?? 0, changeId: createId('change'), note: '' })
      return manifest.version
    },
    apply,
    config,
    document: (document, version) => get('/operator/config/document', { document, version }),
    history: document => get('/operator/config/history', { document }),
    spread: (document, version, timeoutMs) => get('/operator/config/spread', { document, version, timeoutMs }),
    audit: () => get('/operator/audit'),
    status: () => get('/operator/status')
  }
}

/** Checks the text of a file and cuts it into chunks. Throws {@link ConfigFileError}. */
export function prepareText (document: string, text: string): PreparedDocument {
  const prepared = parseTomlText(`${document}.toml`, text).andThen(value => prepareDocument(document, value))
  if (prepared.err) throw new ConfigFileError(prepared.val.problems.map(formatProblem).join('\n'))
  return prepared.val
}

function withQuery (path: string, query: Record<string, string | number | undefined>): string {
  const pairs = Object.entries(query).flatMap(([name, value]): Array<[string, string]> => value === undefined ? [] : [[name, String(value)]])
  return pairs.length === 0 ? path : `${path}?${new URLSearchParams(pairs).toString()}`
}
