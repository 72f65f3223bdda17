/** Resource use of one process, read from the kernel's counters. */
import { readFileSync } from 'node:fs'

export interface ProcessSample {
  atMs: number
  /** Processor time since the start of the process, in milliseconds. */
  cpuMs: number
  rssMiB: number
  /** Bytes read and written by system calls since the start of the process: sockets and the log. */
  bytes: number
}

const MS_PER_TICK = 10
const KIB_PER_MIB = 1024

export function sampleProcess (pid: number): ProcessSample {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
  const status = readFileSync(`/proc/${pid}/status`, 'utf8')
  const io = readFileSync(`/proc/${pid}/io`, 'utf8')
  return {
    atMs: performance.now(),
    cpuMs: (Number(fields[11]) + Number(fields[12])) * MS_PER_TICK,
    rssMiB: numberAfter(status, 'VmRSS:') / KIB_PER_MIB,
    bytes: numberAfter(io, 'rchar:') + numberAfter(io, 'wchar:')
  }
}

function numberAfter (text: string, label: string): number {
  return Number(new RegExp(`${label}\\s+(\\d+)`).exec(text)?.[1] ?? 0)
}

export interface ResourceUse {
  /** Fraction of one core. */
  coreRatio: number
  rssMiB: number
  bytesPerSecond: number
}

export function resourceUseBetween (before: ProcessSample, after: ProcessSample): ResourceUse {
  const seconds = (after.atMs - before.atMs) / 1000
  return {
    coreRatio: (after.cpuMs - before.cpuMs) / 1000 / seconds,
    rssMiB: after.rssMiB,
    bytesPerSecond: (after.bytes - before.bytes) / seconds
  }
}

/** Least-squares line through points. */
export interface Line {
  slope: number
  intercept: number
}

export function fitLine (points: ReadonlyArray<{ x: number, y: number }>): Line {
  const count = points.length
  const meanX = points.reduce((sum, point) => sum + point.x, 0) / count
  const meanY = points.reduce((sum, point) => sum + point.y, 0) / count
  const sumOfSquares = points.reduce((sum, point) => sum + (point.x - meanX) ** 2, 0)
  const slope = sumOfSquares === 0 ? 0 : points.reduce((sum, point) => sum + (point.x - meanX) * (point.y - meanY), 0) / sumOfSquares
  return { slope, intercept: meanY - slope * meanX }
}
