/** Types shared by all commands of the command line. */
import type { Logger } from '../logger'

/** Exit codes of the program. */
export const EXIT_SUCCESS = 0
export const EXIT_FAILED = 1
export const EXIT_USAGE = 2

export type ExitCode = typeof EXIT_SUCCESS | typeof EXIT_FAILED | typeof EXIT_USAGE

export interface OptionDescription {
  type: 'string' | 'boolean'
  /** Placeholder of the value in the usage text, such as `FILE`. */
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
  /** Positional arguments as shown in the usage text. */
  positionals?: string
  options: Readonly<Record<string, OptionDescription>>
  run (context: CommandContext): Promise<ExitCode>
}

/** Thrown for missing or invalid arguments; the message says what is expected. */
export class UsageError extends Error {
  override readonly name = 'UsageError'
}

/** Compares by name: commands are imported on use, and a module loader may give them another instance of the class. */
export const isUsageError = (err: unknown): err is UsageError => err instanceof Error && err.name === 'UsageError'
