/** What members tell and ask each other about the configuration. */
import { definePeerCall, definePeerNotice } from '../members'
import type { ChunkContents, DocumentVersion, Head } from './documents'

/** A version just accepted or adopted, with its small chunks: a change is in force a hop later. */
export const configAcceptedNotice = definePeerNotice<Head>('config.accepted')

/** What the sender holds. Whoever holds something newer answers with {@link configAcceptedNotice}. */
export const configVersionsNotice = definePeerNotice<{ versions: DocumentVersion[] }>('config.versions')

export const configHeadCall = definePeerCall<{ document: string }, { head?: Head }>('config.head')
/** Answers with those of the chunks that it holds, up to a message's size. */
export const configChunksCall = definePeerCall<{ digests: string[] }, { contents: ChunkContents }>('config.chunks')
/** `follows`: the documents that the instance acts on, the base and its own site's overlay. */
export const configInForceCall = definePeerCall<Record<string, never>, { versions: DocumentVersion[], follows: string[] }>('config.in-force')

/** A chunk may have 1 MB; an answer holds at least one. */
export const MAX_CHUNK_ANSWER_BYTES = 1_500_000
export const CHUNK_CALL_TIMEOUT_MS = 3000
