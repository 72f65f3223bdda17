/** Log fields that several lines on a request share. */
import type { RequestRun } from './requestRun'

/** Bounds a log line; prompts have some parts. */
const MAX_LOGGED_PARTS = 8

/** Log fields that tell on which connection the latest attempt was sent. */
export function toConnectionFields ({ sends, sentOn }: RequestRun): object {
  return { send: sends, connection: sentOn?.connection, priorRequests: sentOn?.priorRequests }
}

/** Log fields that tell which parts of a prompt an attempt had, and whether its answer had begun. */
export function toPromptFields ({ caller, hasBegun }: RequestRun): object {
  return { begun: hasBegun, parts: caller.promptParts.slice(0, MAX_LOGGED_PARTS).join(',') || undefined }
}
