/** The command-line interface: finds the command, parses its options and runs it. */
import { parseArgs } from 'node:util'
import { EXIT_SUCCESS, EXIT_FAILED, EXIT_USAGE, isUsageError } from './commands/types'
import type { Command, ExitCode, OptionDescription } from './commands/types'
import { VERSION } from './constants'
import { createLogger } from './logger'
import { messageOf } from './utils'

/** Output functions and environment of a command. */
export interface CliContext {
  print: (text: string) => void
  printError: (text: string) => void
  env: NodeJS.ProcessEnv
}

const PROCESS_CONTEXT: CliContext = {
  print: text => { process.stdout.write(`${text}\n`) },
  printError: text => { process.stderr.write(`${text}\n`) },
  env: process.env
}

type CommandLoader = () => Promise<Command>

const operatorCommand = (name: string): CommandLoader => async () => {
  const { operatorCliCommands: operatorCommands } = await import('./commands/operatorCliCommands')
  return operatorCommands.find(command => command.name === name)!
}

/**
 * Commands by name, in the order of the overview. Each is imported on use: instances may start by the hundred on small
 * machines, and must not load the modules of the operators' commands.
 */
export const productCommands: Readonly<Record<string, CommandLoader>> = {
  serve: async () => (await import('./commands/serve')).serveCommand,
  platform: async () => (await import('./commands/platform')).platformCommand,
  trace: async () => (await import('./commands/trace')).traceCommand,
  dev: async () => (await import('./commands/dev')).devCommand,
  config: async () => (await import('./commands/config')).configCommand,
  ...Object.fromEntries(['key', 'team', 'service', 'model', 'adapter', 'status', 'explain', 'report', 'drain', 'declare-gone', 'audit'].map(name => [name, operatorCommand(name)]))
}

/** Runs the command line and returns the exit code. */
export async function runCli (args: readonly string[], context: CliContext = PROCESS_CONTEXT, commands: Readonly<Record<string, CommandLoader>> = productCommands): Promise<ExitCode> {
  const { print, printError } = context
  const [name, ...rest] = args
  if (name === '--version') {
    print(VERSION)
    return EXIT_SUCCESS
  }
  if (name === undefined || name === '--help') {
    print(formatOverview(await Promise.all(Object.values(commands).map(load => load()))))
    return name === undefined ? EXIT_USAGE : EXIT_SUCCESS
  }
  const load = Object.hasOwn(commands, name) ? commands[name] : undefined
  if (load === undefined) {
    printError(`There is no command ${name}. magnoliabay --help lists the commands.`)
    return EXIT_USAGE
  }
  return await runCommand(await load(), rest, context)
}

async function runCommand (command: Command, args: string[], context: CliContext): Promise<ExitCode> {
  const { print, printError } = context
  const parsed = parse(command, args)
  if ('problem' in parsed) {
    printError(`${parsed.problem}\n\n${formatUsage(command)}`)
    return EXIT_USAGE
  }
  if (parsed.values.help === true) {
    print(formatUsage(command))
    return EXIT_SUCCESS
  }
  try {
    return await command.run({ ...parsed, ...context, logger: createLogger() })
  } catch (err) {
    if (isUsageError(err)) {
      printError(err.message)
      return EXIT_USAGE
    }
    printError(`magnoliabay ${command.name} failed: ${messageOf(err)}`)
    return EXIT_FAILED
  }
}

interface ParsedArgs {
  values: Record<string, string | boolean | undefined>
  positionals: string[]
}

function parse (command: Command, args: string[]): ParsedArgs | { problem: string } {
  const described = Object.entries(command.options).map(([name, option]) => [name, { type: option.type, default: option.default }] as const)
  const options = Object.fromEntries([...described, ['help', { type: 'boolean' as const, default: undefined }] as const])
  try {
    const { values, positionals } = parseArgs({ args, options: withoutUndefined(options), allowPositionals: command.positionals !== undefined })
    return { values: values as ParsedArgs['values'], positionals }
  } catch (err) {
    return { problem: messageOf(err) }
  }
}

type ParseOption = { type: 'string' | 'boolean', default?: string | boolean }

function withoutUndefined (options: Record<string, ParseOption>): Record<string, ParseOption> {
  return Object.fromEntries(Object.entries(options).map(([name, option]) =>
    [name, option.default === undefined ? { type: option.type } : option]))
}

function formatOverview (commands: readonly Command[]): string {
  const width = Math.max(...commands.map(command => command.name.length))
  const lines = commands.map(command => `  ${command.name.padEnd(width)}  ${command.summary}`)
  return ['magnoliabay serves models that are rarely used.', '', 'Usage: magnoliabay <command> [options]', '', ...lines, '', 'magnoliabay <command> --help shows the options of a command; --version prints the version.'].join('\n')
}

function formatUsage (command: Command): string {
  const all: Array<[string, OptionDescription]> = [...Object.entries(command.options), ['help', { type: 'boolean', description: 'Show this text.' }]]
  const labelOf = ([name, option]: [string, OptionDescription]): string => option.value === undefined ? `--${name}` : `--${name} ${option.value}`
  const width = Math.max(...all.map(entry => labelOf(entry).length))
  const lines = all.map(entry => `  ${labelOf(entry).padEnd(width)}  ${entry[1].description}`)
  const positionals = command.positionals === undefined ? '' : ` ${command.positionals}`
  return [`Usage: magnoliabay ${command.name}${positionals} [options]`, '', command.summary, '', ...lines].join('\n')
}
