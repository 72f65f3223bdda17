/** Client of the operators' interface, for the command line and the embedded default. */
import { request } from 'undici'

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

export class OperatorCallError extends Error {
  constructor (readonly status: number, readonly body: unknown) {
    super(`The instance answered with status ${status}: ${JSON.stringify(body)}`)
  }
}

export interface OperatorClient {
  createKey (team: string): Promise<CreatedKey>
  withdrawKey (keyId: string): Promise<void>
  /** Returns the version that was accepted. */
  applyConfig (text: string): Promise<number>
  status (): Promise<unknown>
}

export function createOperatorClient (options: OperatorClientOptions): OperatorClient {
  const call = async (method: 'GET' | 'POST' | 'PUT', path: string, body?: string): Promise<unknown> => {
    const res = await request(`http://${options.address}${path}`, {
      method,
      body,
      headers: { authorization: `Bearer ${options.key}` }
    })
    const answer = await res.body.json()
    if (res.statusCode !== 200) throw new OperatorCallError(res.statusCode, answer)
    return answer
  }
  return {
    createKey: async team => {
      const created = await call('POST', '/operator/keys', JSON.stringify({ team })) as { key: string, record: { id: string } }
      return { id: created.record.id, key: created.key, team }
    },
    withdrawKey: async keyId => {
      await call('POST', `/operator/keys/${keyId}/withdraw`)
    },
    applyConfig: async text => {
      const applied = await call('PUT', '/operator/config', text) as { version: number }
      return applied.version
    },
    status: () => call('GET', '/operator/status')
  }
}
