/** Client of the platform's instance list: `GET` of its URL returns `{ "instances": [...] }`. */
import * as v from 'valibot'
import { request } from 'undici'
import type { Clock } from '../clock'
import { readJson } from '../http/boundedBody'
import { Err, Ok } from '../result'
import { messageOf } from '../utils'
import { checkInput } from '../inputs'
import { listedInstanceSchema } from './instanceList'
import type { InstanceList } from './instanceList'

const READ_TIMEOUT_MS = 2000
/** A list of some thousand instances. */
const MAX_ANSWER_BYTES = 8_388_608

const listSchema = v.object({ instances: v.array(listedInstanceSchema) })

export function createInstanceListClient (url: string, clock: Clock): InstanceList {
  return {
    read: async () => {
      const abort = new AbortController()
      const cancel = clock.schedule(READ_TIMEOUT_MS, () => abort.abort())
      try {
        const res = await request(url, { headersTimeout: 0, bodyTimeout: 0, signal: abort.signal })
        const body = checkInput(listSchema, await readJson(res.body, MAX_ANSWER_BYTES))
        if (res.statusCode !== 200) return Err({ kind: 'unavailable', message: `The instance list answered with status ${res.statusCode}.` })
        if (body.err) return Err({ kind: 'invalid', message: `The instance list is malformed: ${body.val.message}` })
        return Ok(body.val.instances)
      } catch (err) {
        return Err({ kind: 'unavailable', message: messageOf(err) })
      } finally {
        cancel()
      }
    }
  }
}
