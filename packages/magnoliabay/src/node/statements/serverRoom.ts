/**
 * Estimates how many requests a server takes at a time without rejecting any, and holds requests back after rejections. The
 * workload is requests of all instances at one server.
 */

/** Part of a server's slots that is used: a new connection may take a slot for a moment. */
const USED_SLOTS_RATIO = 0.9
/** Part of the rejections in a second that a server bears before it gets nothing more: those in flight may be rejected too. */
const HELD_BACK_RATIO = 0.5
const REJECTION_WINDOW_MS = 1000
/** Room that a server of unknown size is given at first, and how much more for each request that it took while the room was used up. */
const FIRST_ROOM = 2
const ROOM_STEP = 1
/** Time without a rejection after which room for one more request is tried, milliseconds. */
const RECOVERY_STEP_MS = 1000

export interface ServerRoom {
  /** Whether one more request has room beside `inFlight` ones. `slots`: Infinity if the server's size is not known. */
  hasRoom (inFlight: number, slots: number, maxRejectionsPerSecond: number, nowMs: number): boolean
  /** Records that the server has rejected a request while `inFlight` others were there. */
  recordRejection (inFlight: number, nowMs: number): void
  /** Records that the server has taken a request while `inFlight` others were there. */
  recordTaken (inFlight: number): void
}

export function createServerRoom (): ServerRoom {
  let rejectedAtMs: number[] = []
  /** Infinity until a rejection shows less room than there are slots. */
  let learnedRoom = Infinity
  let learnedMs = -Infinity
  /** Room of a server of unknown size, as far as it has shown it. */
  let shownRoom = FIRST_ROOM

  const roomOf = (slots: number, nowMs: number): number => {
    const regained = Math.floor(Math.max(0, nowMs - learnedMs) / RECOVERY_STEP_MS)
    const size = slots === Infinity ? shownRoom : Math.floor(slots * USED_SLOTS_RATIO)
    return Math.max(1, Math.min(size, learnedRoom + regained))
  }
  return {
    hasRoom: (inFlight, slots, maxRejectionsPerSecond, nowMs) => {
      const recent = rejectedAtMs.filter(atMs => nowMs - atMs < REJECTION_WINDOW_MS).length
      if (recent > 0 && recent >= maxRejectionsPerSecond * HELD_BACK_RATIO) return false
      return inFlight < roomOf(slots, nowMs)
    },
    recordRejection: (inFlight, nowMs) => {
      rejectedAtMs = [...rejectedAtMs.filter(atMs => nowMs - atMs < REJECTION_WINDOW_MS), nowMs]
      learnedRoom = Math.max(1, inFlight)
      learnedMs = nowMs
      shownRoom = Math.max(1, Math.min(shownRoom, inFlight))
    },
    recordTaken: inFlight => { if (inFlight + 1 >= shownRoom) shownRoom += ROOM_STEP }
  }
}
