/** Reads requests from the bytes of a connection, for servers that write their answers as bytes. */

const HEAD_END = '\r\n\r\n'

export interface RawRequest {
  method: string
  path: string
  attemptId: string
  /** Bytes of the request. */
  length: number
}

/** Returns the first request, once it has arrived as a whole. */
export function readRawRequest (text: string): RawRequest | undefined {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return undefined
  const head = text.slice(0, headEnd + 2)
  const length = headEnd + HEAD_END.length + Number(/^content-length: *(\d+)/mi.exec(head)?.[1] ?? 0)
  if (text.length < length) return undefined
  const [method = '', path = ''] = head.split(' ', 2)
  return { method, path, attemptId: /^x-magnoliabay-attempt-id: *(.*?)\r$/mi.exec(head)?.[1] ?? '', length }
}
