/** Messages between members about the configuration. */
import * as v from 'valibot'
import { NO_BODY, definePeerCall, definePeerNotice } from '../members'
import { headSchema } from './documents'
import type { ChunkContents, DocumentVersion, Head } from './documents'

const versions = v.array(v.object({ document: v.string(), version: v.number() }))

/** A newly accepted or loaded version with its small chunks, so that the receiver can activate it without further calls. */
export const configAcceptedNotice = definePeerNotice<Head>('config.accepted', headSchema)

/** Versions loaded at the sender. A receiver with newer ones replies with {@link configAcceptedNotice}. */
export const configVersionsNotice = definePeerNotice<{ versions: DocumentVersion[] }>('config.versions', v.object({ versions }))

export const configHeadCall = definePeerCall<{ document: string }, { head?: Head }>('config.head', {
  req: v.object({ document: v.string() }),
  res: v.object({ head: v.optional(headSchema) })
})
/** Returns the requested chunks that the receiver has, up to {@link MAX_CHUNK_RESPONSE_BYTES}. */
export const configChunksCall = definePeerCall<{ digests: string[] }, { contents: ChunkContents }>('config.chunks', {
  req: v.object({ digests: v.array(v.string()) }),
  res: v.object({ contents: v.record(v.string(), v.string()) })
})
/** `follows`: the documents that the instance applies, the base and the overlay of its site. */
export const configActiveVersionsCall = definePeerCall<Record<string, never>, { versions: DocumentVersion[], follows: string[] }>('config.in-force', {
  req: NO_BODY,
  res: v.object({ versions, follows: v.array(v.string()) })
})

/** Maximum size of a response with chunks; a chunk may have 1 MB, and a response contains at least one. */
export const MAX_CHUNK_RESPONSE_BYTES = 1_500_000
export const CHUNK_CALL_TIMEOUT_MS = 3000
