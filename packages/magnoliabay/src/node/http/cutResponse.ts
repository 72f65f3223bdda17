/** Cuts responses to callers that cannot be completed. */
import type { ServerResponse } from 'node:http'
import type { Clock } from '../clock'
import { resetSocket } from './resetSocket'

/** Event loops take a reset that arrives together with the last bytes for a regular end; callers have read these by then. */
const RESET_DELAY_MS = 100

/**
 * Ends the connection of a response whose rest is missing, so that no caller takes what it has for the whole. A chunked
 * response lacks its last chunk then, and the events that a caller has not read yet still reach it. Any other connection is
 * reset: a caller with HTTP/1.0, or one that ignores the length, would take a regular end for that of the response.
 *
 * @param clock delays the reset until the caller has read what is on its way. @default the reset follows at once
 */
export function cutResponse (res: ServerResponse, clock?: Clock): void {
  const { socket } = res
  if (!socket || !res.headersSent || res.chunkedEncoding) {
    res.destroy()
    return
  }
  if (clock === undefined) return resetSocket(socket)
  const cancel = clock.schedule(RESET_DELAY_MS, () => resetSocket(socket))
  socket.once('close', cancel)
}
