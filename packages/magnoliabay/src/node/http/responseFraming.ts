/** Decides how the end of an HTTP response is marked (RFC 9112, section 6.3), for every client of backend servers. */

/** Headers by their lower-case names, as `node:http` and `undici` return them. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>

/**
 * `none`: the response has no body and ends with its head; its connection may be kept, or end at any time afterwards.
 * `length`, `chunked`: the end is marked in the response. `connection`: the response ends with its connection, so that one
 * that was broken off looks complete.
 */
export type ResponseFraming = 'none' | 'length' | 'chunked' | 'connection'

const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])
const CHUNKED_LAST = /(?:^|,)\s*chunked\s*$/i

/** Whether a response to the method with the status has no body, whatever its headers say. */
export function hasNoBody (method: string, status: number): boolean {
  return method === 'HEAD' || STATUSES_WITHOUT_BODY.has(status)
}

export function framingOf (method: string, status: number, headers: ResponseHeaders): ResponseFraming {
  if (hasNoBody(method, status)) return 'none'
  const transferEncoding = headers['transfer-encoding']
  if (transferEncoding !== undefined) return CHUNKED_LAST.test(String(transferEncoding)) ? 'chunked' : 'connection'
  return headers['content-length'] === undefined ? 'connection' : 'length'
}
