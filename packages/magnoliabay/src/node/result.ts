/**
 * `Result` of `ts-results`, for every call that can fail in a way that the caller must handle.
 *
 * The package ships UMD to Node's ESM loader, which sees only a default export, and ESM with named
 * exports to the bundler. This module supports both.
 */
import * as namespace from 'ts-results'
import type { Result as LibraryResult } from 'ts-results'

type Library = typeof namespace

const library = ((namespace as unknown as { default?: Library }).default ?? namespace) as Library

export const Ok = library.Ok
export const Err = library.Err
export type Result<T, E> = LibraryResult<T, E>
