/**
 * Counts spending within a sliding window against a limit. A team's allowance is its rate over the window plus its burst.
 * A token bucket of the same rate and burst would refuse requests that arrive in clusters, even within that allowance.
 */

export interface SlidingWindowCounter {
  /**
   * Spends `amount` if that keeps the window within `limit`. Returns 0 when spent, else the time in milliseconds until it
   * might be.
   */
  take (amount: number, limit: number, nowMs: number): number
  /** Counts an amount spent elsewhere. */
  record (amount: number, nowMs: number): void
  /**
   * Subtracts an amount that was counted within the window but not used. It is taken from what leaves the window first: an
   * amount booked as negative now would outlive the spending that it cancels, and the window would then exceed its limit.
   */
  refund (amount: number, nowMs: number): void
  /** Returns the amount spent within the window. */
  spent (nowMs: number): number
  /** Returns how much of what is spent now will still be within the window after `delayMs`. */
  remainingAfter (delayMs: number, nowMs: number): number
  /** Returns the amounts spent in each of `parts` equal parts of the window, the latest first. */
  byAge (parts: number, nowMs: number): number[]
}

/** Amounts are counted in slots; a slot leaves the window when its end does. */
export const SLOT_MS = 50

/** Returns the time until the next slot can leave the window, in milliseconds; a further one can leave every `SLOT_MS`. */
export const msUntilNextExpiry = (windowMs: number, nowMs: number): number => SLOT_MS - ((nowMs - windowMs) % SLOT_MS + SLOT_MS) % SLOT_MS

interface Slot {
  index: number
  amount: number
}

export function createSlidingWindowCounter (windowMs: number): SlidingWindowCounter {
  let slots: Slot[] = []
  let total = 0

  const expire = (nowMs: number): void => {
    const oldest = Math.floor((nowMs - windowMs) / SLOT_MS)
    const expired = slots.filter(slot => slot.index < oldest)
    if (expired.length === 0) return
    slots = slots.filter(slot => slot.index >= oldest)
    total = slots.reduce((sum, slot) => sum + slot.amount, 0)
  }
  const record = (amount: number, nowMs: number): void => {
    expire(nowMs)
    const index = Math.floor(nowMs / SLOT_MS)
    const last = slots.at(-1)
    if (last?.index === index) last.amount += amount
    else slots.push({ index, amount })
    total += amount
  }
  /** Returns the time until `amount` has left the window, in milliseconds. */
  const msUntilFree = (amount: number, nowMs: number): number => {
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
      // An amount above the whole limit never fits, so it is granted when the window is empty, and fills it.
      if (excess > 0 && total > 0) return msUntilFree(Math.min(excess, total), nowMs)
      record(amount, nowMs)
      return 0
    },
    record,
    refund: (amount, nowMs) => {
      expire(nowMs)
      let left = Math.min(amount, total)
      total -= left
      slots.forEach(slot => {
        const removed = Math.min(left, slot.amount)
        slot.amount -= removed
        left -= removed
      })
      slots = slots.filter(slot => slot.amount > 0)
    },
    byAge: (parts, nowMs) => {
      expire(nowMs)
      const amounts = Array.from({ length: parts }, () => 0)
      slots.forEach(slot => {
        const ageMs = Math.max(0, nowMs - slot.index * SLOT_MS - SLOT_MS)
        amounts[Math.min(parts - 1, Math.floor(ageMs / windowMs * parts))]! += slot.amount
      })
      return amounts.map(amount => Math.max(0, Math.round(amount)))
    },
    remainingAfter: (delayMs, nowMs) => {
      const oldest = Math.floor((nowMs + delayMs - windowMs) / SLOT_MS)
      return Math.max(0, slots.reduce((sum, slot) => slot.index >= oldest ? sum + slot.amount : sum, 0))
    },
    spent: nowMs => {
      expire(nowMs)
      return Math.max(0, total)
    }
  }
}
