/**
 * Counts good and bad requests in time buckets for each team and objective: by minute for six hours, by half
 * hour for three days. Takes 8 KB for each pair ever counted, independent of the load.
 */
import * as v from 'valibot'
import { OBJECTIVE_NAMES } from './objectives'
import type { ObjectiveName } from './objectives'

export const MINUTE_MS = 60_000
export const HOUR_MS = 60 * MINUTE_MS
export const FINE_BUCKET_MS = MINUTE_MS
export const COARSE_BUCKET_MS = 30 * MINUTE_MS
const FINE_BUCKETS = 360
const COARSE_BUCKETS = 144

export interface Tally {
  good: number
  bad: number
}

/** Buckets are numbered since the Unix epoch, so that counts of several instances can be added. */
export type BucketTally = readonly [bucket: number, good: number, bad: number]

export interface SeriesCounts {
  team: string
  objective: ObjectiveName
  fine: BucketTally[]
  coarse: BucketTally[]
}

const bucketsSchema = v.array(v.tuple([v.number(), v.number(), v.number()]))
export const seriesCountsSchema = v.object({ team: v.string(), objective: v.picklist(OBJECTIVE_NAMES), fine: bucketsSchema, coarse: bucketsSchema })

export interface Counts {
  add (team: string, objective: ObjectiveName, isGood: boolean): void
  /** Adds the counts of another instance. */
  merge (series: readonly SeriesCounts[]): void
  /** Sums the counts over the last `windowMs` milliseconds. */
  sum (team: string, objective: ObjectiveName, windowMs: number): Tally
  /** Returns half-hour buckets, the oldest first; empty ones are omitted. */
  coarse (team: string, objective: ObjectiveName): BucketTally[]
  series (): SeriesCounts[]
}

interface Ring {
  bucketMs: number
  good: Uint32Array
  bad: Uint32Array
  /** Number of the newest bucket. */
  newest: number
}

interface Series {
  team: string
  objective: ObjectiveName
  fine: Ring
  coarse: Ring
}

export function createCounts (now: () => number): Counts {
  const seriesByKey = new Map<string, Series>()

  const getOrCreateSeries = (team: string, objective: ObjectiveName): Series => {
    const key = `${objective} ${team}`
    const existing = seriesByKey.get(key)
    if (existing !== undefined) return existing
    const series = { team, objective, fine: createRing(FINE_BUCKET_MS, FINE_BUCKETS), coarse: createRing(COARSE_BUCKET_MS, COARSE_BUCKETS) }
    seriesByKey.set(key, series)
    return series
  }
  const findSeries = (team: string, objective: ObjectiveName): Series | undefined => seriesByKey.get(`${objective} ${team}`)

  return {
    add: (team, objective, isGood) => {
      const { fine, coarse } = getOrCreateSeries(team, objective)
      const atMs = now()
      for (const ring of [fine, coarse]) {
        addToRing(ring, Math.floor(atMs / ring.bucketMs), isGood ? 1 : 0, isGood ? 0 : 1)
      }
    },
    merge: series => series.forEach(({ team, objective, fine, coarse }) => {
      const own = getOrCreateSeries(team, objective)
      fine.forEach(([bucket, good, bad]) => addToRing(own.fine, bucket, good, bad))
      coarse.forEach(([bucket, good, bad]) => addToRing(own.coarse, bucket, good, bad))
    }),
    sum: (team, objective, windowMs) => {
      const series = findSeries(team, objective)
      if (series === undefined) return { good: 0, bad: 0 }
      return sumRing(windowMs <= FINE_BUCKET_MS * FINE_BUCKETS ? series.fine : series.coarse, now(), windowMs)
    },
    coarse: (team, objective) => {
      const series = findSeries(team, objective)
      return series === undefined ? [] : bucketTallies(series.coarse)
    },
    series: () => [...seriesByKey.values()].map(({ team, objective, fine, coarse }) => ({ team, objective, fine: bucketTallies(fine), coarse: bucketTallies(coarse) }))
  }
}

function createRing (bucketMs: number, buckets: number): Ring {
  return { bucketMs, good: new Uint32Array(buckets), bad: new Uint32Array(buckets), newest: 0 }
}

function addToRing (ring: Ring, bucket: number, good: number, bad: number): void {
  const size = ring.good.length
  if (bucket <= ring.newest - size) return
  for (let next = Math.max(ring.newest + 1, bucket - size + 1); next <= bucket; next += 1) {
    ring.good[next % size] = 0
    ring.bad[next % size] = 0
  }
  ring.newest = Math.max(ring.newest, bucket)
  ring.good[bucket % size]! += good
  ring.bad[bucket % size]! += bad
}

function sumRing (ring: Ring, nowMs: number, windowMs: number): Tally {
  const current = Math.floor(nowMs / ring.bucketMs)
  const oldest = current - Math.ceil(windowMs / ring.bucketMs) + 1
  return bucketTallies(ring)
    .filter(([bucket]) => bucket >= oldest && bucket <= current)
    .reduce((sum, [, good, bad]) => ({ good: sum.good + good, bad: sum.bad + bad }), { good: 0, bad: 0 })
}

function bucketTallies (ring: Ring): BucketTally[] {
  const size = ring.good.length
  return Array.from({ length: Math.min(size, ring.newest) }, (_, age) => ring.newest - age)
    .reverse()
    .map((bucket): BucketTally => [bucket, ring.good[bucket % size]!, ring.bad[bucket % size]!])
    .filter(([, good, bad]) => good + bad > 0)
}
