/** Client of the platform's instance list: `GET` of its URL returns `{ "instances": [...] }`. */
import { request } from 'undici'
import { Err, Ok } from '../result'
import { messageOf } from '../utils'
import type { InstanceList, ListedInstance } from './instanceList'

const READ_TIMEOUT_MS = 2000

export function createInstanceListClient (url: string): InstanceList {
  return {
    read: async () => {
      try {
        const res = await request(url, { headersTimeout: READ_TIMEOUT_MS, bodyTimeout: READ_TIMEOUT_MS })
        const body = await res.body.json() as { instances?: ListedInstance[] }
        if (res.statusCode !== 200) return Err({ kind: 'unavailable', message: `The instance list answered with status ${res.statusCode}.` })
        if (!Array.isArray(body.instances)) return Err({ kind: 'invalid', message: 'The instance list has no `instances` array.' })
        return Ok(body.instances)
      } catch (err) {
        return Err({ kind: 'unavailable', message: messageOf(err) })
      }
    }
  }
}
