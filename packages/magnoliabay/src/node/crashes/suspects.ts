/** Names what a server's crash may be due to: a part of a prompt, or a whole request. */
import { createHash } from 'node:crypto'

/**
 * A prompt part or a whole request at one service. Servers of another service run other software, so that a part which
 * crashes one need not crash the other; the model and the team of a request do not matter.
 */
export type Suspect = string

/** What a request holds of which a crash may be due. */
export interface RequestSuspects {
  service: string
  /** Empty for a request without a team. */
  team: string
  suspects: readonly Suspect[]
}

export interface RequestContent {
  service: string
  team: string
  /** Parts of its prompt that other requests may share; the last part of a prompt is its request's own. */
  sharedParts: readonly string[]
  /** Equal for requests with the same bytes. */
  fingerprint: string
}

/** Bounds what one request can make an instance keep. */
const MAX_PARTS = 32
/** A longer id is hashed. */
const MAX_PART_LENGTH = 64
const REQUEST_MARK = '/request:'

const shorten = (text: string): string => text.length <= MAX_PART_LENGTH ? text : createHash('sha256').update(text).digest('base64url')

/** Returns a hash that is equal for requests with the same team, target and body. */
export function fingerprintOf (team: string, target: string, body: Buffer): string {
  return createHash('sha256').update(`${team}\0${target}\0`).update(body).digest('base64url')
}

/** Whether the suspect is a whole request, which no other request shares. */
export const isRequest = (suspect: Suspect): boolean => suspect.includes(REQUEST_MARK)

export function suspectsOf ({ service, team, sharedParts, fingerprint }: RequestContent): RequestSuspects {
  const parts = [...new Set(sharedParts.slice(0, MAX_PARTS))].map(part => `${service}/part:${shorten(part)}`)
  return { service, team, suspects: [...parts, `${service}${REQUEST_MARK}${fingerprint}`] }
}
