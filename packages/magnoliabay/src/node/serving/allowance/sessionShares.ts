/**
 * Counts what the sessions of one part spend, to tell which of them already had their equal share. Memory is bounded: the
 * sessions whose last request is the oldest are forgotten first.
 */
import { createDecayingRate } from '../../decayingRate'
import type { DecayingRate } from '../../decayingRate'

/** Sessions counted in each part; a session that is forgotten starts with nothing spent. */
const MAX_SESSIONS = 128

export interface SessionShares {
  recordSpent (session: string | undefined, units: number, nowMs: number): void
  /** Whether the session has spent more than the sessions of the last window on average. A request without a session never has. */
  isAboveShare (session: string | undefined, nowMs: number): boolean
}

interface CountedSession {
  spending: DecayingRate
  lastSpentMs: number
}

export function createSessionShares (windowMs: number): SessionShares {
  /** In the order of their last requests. */
  const sessions = new Map<string, CountedSession>()

  const removeExpired = (nowMs: number): void => {
    for (const [session, { lastSpentMs }] of sessions) {
      if (sessions.size <= MAX_SESSIONS && nowMs - lastSpentMs <= windowMs) return
      sessions.delete(session)
    }
  }
  return {
    recordSpent: (session, units, nowMs) => {
      if (session === undefined) return
      const { spending } = sessions.get(session) ?? { spending: createDecayingRate(windowMs) }
      spending.add(units, nowMs)
      sessions.delete(session)
      sessions.set(session, { spending, lastSpentMs: nowMs })
      removeExpired(nowMs)
    },
    isAboveShare: (session, nowMs) => {
      removeExpired(nowMs)
      const own = session === undefined ? undefined : sessions.get(session)
      if (own === undefined) return false
      const total = [...sessions.values()].reduce((sum, { spending }) => sum + spending.read(nowMs), 0)
      return own.spending.read(nowMs) > total / sessions.size
    }
  }
}
