/** Groups of requests that wait for a model, as an instance sends them to the leader. */

/** All times are relative to the moment of the message, milliseconds. */
export interface WaitingGroup {
  /** Time until which the latency objective can be met; negative once the requests are late. */
  inTimeMs: number
  /** Time at which the callers give up. */
  giveUpMs: number
  count: number
}

/** One waiting request, in monotonic milliseconds. */
export interface WaitingRequest {
  inTimeUntilMs: number
  giveUpAtMs: number
}

/** Groups in one message: it is repeated for each waiting request, so its size counts. */
export const MAX_WAITING_GROUPS = 8

const chunk = <T> (items: readonly T[], size: number): T[][] =>
  Array.from({ length: Math.ceil(items.length / size) }, (_, index) => items.slice(index * size, (index + 1) * size))

/** Groups requests with similar latency objectives; a group states the earliest times of its requests. */
export function groupWaiting (requests: readonly WaitingRequest[], nowMs: number): WaitingGroup[] {
  const sorted = [...requests].sort((left, right) => left.inTimeUntilMs - right.inTimeUntilMs)
  return chunk(sorted, Math.max(1, Math.ceil(sorted.length / MAX_WAITING_GROUPS))).map(group => ({
    inTimeMs: Math.round(group[0]!.inTimeUntilMs - nowMs),
    giveUpMs: Math.round(Math.min(...group.map(request => request.giveUpAtMs)) - nowMs),
    count: group.length
  }))
}
