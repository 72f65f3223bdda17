/**
 * What was spent within a sliding window, and whether more may be. A team's allowance is its rate over the window and
 * its burst: a bucket of the same rate and burst would refuse a team that comes in clumps though it stays within that.
 */

export interface SlidingWindowCounter {
  /** Spends `amount` if that keeps the window within `limit`; else returns milliseconds until it might, 0 when spent. */
  take (amount: number, limit: number, nowMs: number): number
  /** Counts what was spent elsewhere. */
  note (amount: number, nowMs: number): void
  /** Takes back what was counted and not used. */
  giveBack (amount: number, nowMs: number): void
  /** Spent within the window. */
  spent (nowMs: number): number
  /** Spent in each of so many equal parts of the window, the latest first. */
  byAge (parts: number, nowMs: number): number[]
}

/** Amounts are counted by slots; one leaves the window when its last moment does. */
const SLOT_MS = 50

interface Slot {
  index: number
  amount: number
}

export function createSlidingWindowCounter (windowMs: number): SlidingWindowCounter {
  let slots: Slot[] = []
  let total = 0

  const expire = (nowMs: number): void => {
    const oldest = Math.floor((nowMs - windowMs) / SLOT_MS)
    const gone = slots.filter(slot => slot.index < oldest)
    if (gone.length === 0) return
    slots = slots.filter(slot => slot.index >= oldest)
    total = slots.reduce((sum, slot) => sum + slot.amount, 0)
  }
  const note = (amount: number, nowMs: number): void => {
    expire(nowMs)
    const index = Math.floor(nowMs / SLOT_MS)
    const last = slots.at(-1)
    if (last?.index === index) last.amount += amount
    else slots.push({ index, amount })
    total += amount
  }
  /** Until so much has left the window, milliseconds. */
  const untilFree = (amount: number, nowMs: number): number => {
    let freed = 0
    const slot = slots.find(each => {
      freed += each.amount
      return freed >= amount
    })
    return slot === undefined ? windowMs : Math.max(1, (slot.index + 1) * SLOT_MS + windowMs - nowMs)
  }
  return {
    take: (amount, limit, nowMs) => {
      expire(nowMs)
      const excess = total + amount - limit
      // More than the whole limit is never there at once: it is let through an empty window, and fills it.
      if (excess > 0 && total > 0) return untilFree(Math.min(excess, total), nowMs)
      note(amount, nowMs)
      return 0
    },
    note,
    giveBack: (amount, nowMs) => note(-amount, nowMs),
    byAge: (parts, nowMs) => {
      expire(nowMs)
      const amounts = Array.from({ length: parts }, () => 0)
      slots.forEach(slot => {
        const ageMs = Math.max(0, nowMs - slot.index * SLOT_MS - SLOT_MS)
        amounts[Math.min(parts - 1, Math.floor(ageMs / windowMs * parts))]! += slot.amount
      })
      return amounts.map(amount => Math.max(0, Math.round(amount)))
    },
    spent: nowMs => {
      expire(nowMs)
      return Math.max(0, total)
    }
  }
}
