/** Checks heads of responses before they are passed on. */
import { validateHeaderName, validateHeaderValue } from 'node:http'
import { messageOf } from '../utils'

/** Informational responses precede the final one, and are not passed on. */
const MIN_FINAL_STATUS = 200
const MAX_STATUS = 999

/**
 * Returns why a head cannot be passed on; undefined if it can. The parser takes statuses, such as 000, that the runtime
 * refuses to write, by an exception in an event listener, which ends the process.
 *
 * @param rawHeaders names and values alternate
 */
export function findHeadProblem (status: number, rawHeaders: readonly string[]): string | undefined {
  if (!(status >= MIN_FINAL_STATUS && status <= MAX_STATUS)) return `status ${status} is none of HTTP`
  try {
    rawHeaders.forEach((text, index) => {
      if (index % 2 === 0) validateHeaderName(text)
      else validateHeaderValue(rawHeaders[index - 1]!, text)
    })
    return undefined
  } catch (err) {
    return messageOf(err)
  }
}
