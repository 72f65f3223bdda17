/** What every command of the command line has. */
import type { Logger } from '../logger'

/** Exit codes of the program. */
export const EXIT_SUCCESS = 0
export const EXIT_FAILED = 1
export const EXIT_USAGE = 2

export type ExitCode = typeof EXIT_SUCCESS | typeof EXIT_FAILED | typeof EXIT_USAGE

export interface OptionDescription {
  type: 'string' | 'boolean'
  /** Shown in the usage, such as `FILE`. */
  value?: string
  description: string
  default?: string | boolean
}

export interface CommandContext {
  values: Readonly<Record<string, string | boolean | undefined>>
  positionals: readonly string[]
  /** Environment of the process. */
  env: Readonly<Record<string, string | undefined>>
  logger: Logger
  print: (text: string) => void
  printError: (text: string) => void
}

export interface Command {
  name: string
  summary: string
  /** Positional arguments, as shown in the usage. */
  positionals?: string
  options: Readonly<Record<string, OptionDescription>>
  run (context: CommandContext): Promise<ExitCode>
}

/** What the user left out or got wrong; its message says how to give it. */
export class UsageError extends Error {
  override readonly name = 'UsageError'
}

/** By name: commands are loaded when used, and a loader may give them a class of their own. */
export const isUsageError = (err: unknown): err is UsageError => err instanceof Error && err.name === 'UsageError'
