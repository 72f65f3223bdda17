/** Messages between members about the configuration. */
import { definePeerCall, definePeerNotice } from '../members'
import type { ChunkContents, DocumentVersion, Head } from './documents'

/** A newly accepted or loaded version with its small chunks, so that the receiver can activate it without further calls. */
export const configAcceptedNotice = definePeerNotice<Head>('config.accepted')

/** Versions loaded at the sender. A receiver with newer ones replies with {@link configAcceptedNotice}. */
export const configVersionsNotice = definePeerNotice<{ versions: DocumentVersion[] }>('config.versions')

export const configHeadCall = definePeerCall<{ document: string }, { head?: Head }>('config.head')
/** Returns the requested chunks that the receiver has, up to {@link MAX_CHUNK_RESPONSE_BYTES}. */
export const configChunksCall = definePeerCall<{ digests: string[] }, { contents: ChunkContents }>('config.chunks')
/** `follows`: the documents that the instance applies, the base and the overlay of its site. */
export const configActiveVersionsCall = definePeerCall<Record<string, never>, { versions: DocumentVersion[], follows: string[] }>('config.in-force')

/** Maximum size of a response with chunks; a chunk may have 1 MB, and a response contains at least one. */
export const MAX_CHUNK_RESPONSE_BYTES = 1_500_000
export const CHUNK_CALL_TIMEOUT_MS = 3000
