/** `magnoliabay trace`: traces a request through logs on standard input. */
import { text } from 'node:stream/consumers'
import { traceRequest } from '../logTrace'
import type { Trace } from '../logTrace'
import { EXIT_SUCCESS, EXIT_FAILED, EXIT_USAGE } from './types'
import type { Command } from './types'

export const traceCommand: Command = {
  name: 'trace',
  summary: 'Explain the outcome of a request from the logs of one or more instances on standard input.',
  positionals: 'REQUEST-ID',
  options: {},
  run: async ({ positionals, print, printError }) => {
    const [id] = positionals
    if (id === undefined) {
      printError('Name a request: magnoliabay trace REQUEST-ID < logs')
      return EXIT_USAGE
    }
    const lines = (await text(process.stdin)).split('\n')
    const trace = traceRequest(lines, id)
    print(formatTrace(trace))
    return trace.requestEntries.length === 0 ? EXIT_FAILED : EXIT_SUCCESS
  }
}

/** Formats a trace for a terminal. */
export function formatTrace (trace: Trace): string {
  const section = (title: string, lines: readonly string[]): string[] => lines.length === 0 ? [] : [title, ...lines.map(line => `  ${line}`), '']
  return [
    ...section('The request:', trace.requestEntries.map(entry => entry.line)),
    ...section('Related events:', trace.relatedEntries.map(entry => entry.line)),
    ...section('Cause:', trace.cause === undefined ? [] : [trace.cause]),
    ...section('Missing from the logs:', trace.gaps)
  ].join('\n').trimEnd()
}
