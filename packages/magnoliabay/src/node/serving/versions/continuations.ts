/** Records streams that continue with a second run, and at which software versions of servers. */
import { Counter } from 'prom-client'
import type { Registry } from 'prom-client'
import type { Logger } from '../../logger'
import type { RequestRun } from '../requestRun'
import type { BackendServer } from '../types'
import { UNSTATED_VERSION } from './softwareVersions'

/**
 * How a stream came to a second run. `response`: within one response, after an attempt had ended. `caller`: its caller has
 * resumed it. `move`: with the memory of its run.
 */
export type ContinuationKind = 'response' | 'caller' | 'move'

/** The software version of the second run's server compared with the one that began the stream; `unknown` if either is not known. */
export type VersionMatch = 'same' | 'other' | 'unknown'

export interface Continuations {
  /** Returns a function to be called whenever events of the attempt have been forwarded. */
  startAttempt (run: RequestRun, server: BackendServer, isMove: boolean): () => void
}

export interface ContinuationsOptions {
  /** Called with the server of each attempt that has sent an event. */
  onFirstEvent: (run: RequestRun, server: BackendServer) => void
  logger: Logger
  registry: Registry
}

function matchOf (fromVersion: string | undefined, toVersion: string | undefined): VersionMatch {
  if (fromVersion === undefined || fromVersion === UNSTATED_VERSION || toVersion === undefined) return 'unknown'
  return fromVersion === toVersion ? 'same' : 'other'
}

/** Returns undefined for an attempt that begins a stream. */
function kindOf ({ caller, events }: RequestRun, isMove: boolean): ContinuationKind | undefined {
  if (isMove) return 'move'
  if (events?.lastId() !== undefined) return 'response'
  return caller.resumption === undefined ? undefined : 'caller'
}

export function createContinuations ({ onFirstEvent, logger, registry }: ContinuationsOptions): Continuations {
  const counter = new Counter({ name: 'magnoliabay_stream_continuations_total', help: 'Streams that continued with a second run, by software version.', labelNames: ['kind', 'versions'], registers: [registry] })

  const record = ({ caller, events, origin }: RequestRun, server: BackendServer, kind: ContinuationKind): void => {
    const fromVersion = origin?.softwareVersion
    const versions = matchOf(fromVersion, server.softwareVersion)
    counter.inc({ kind, versions })
    logger.info('stream-continued', {
      request: caller.attemptId,
      stream: caller.resumption?.firstAttemptId,
      kind,
      versions,
      fromVersion,
      toVersion: server.softwareVersion,
      server: server.id,
      lastEvent: events?.lastId()
    })
  }
  return {
    startAttempt: (run, server, isMove) => {
      const kind = kindOf(run, isMove)
      let hasEvents = false
      return () => {
        if (hasEvents || run.events?.lastId() === undefined) return
        hasEvents = true
        if (kind !== undefined) record(run, server, kind)
        onFirstEvent(run, server)
      }
    }
  }
}
