/** `magnoliabay trace`: from the id of a request to its cause, over logs on standard input. */
import { text } from 'node:stream/consumers'
import { traceRequest } from '../logTrace'
import type { Trace } from '../logTrace'
import { EXIT_SUCCESS, EXIT_FAILED, EXIT_USAGE } from './types'
import type { Command } from './types'

export const traceCommand: Command = {
  name: 'trace',
  summary: 'Explain what became of a request, by the logs of one or more instances on standard input.',
  positionals: 'REQUEST-ID',
  options: {},
  run: async ({ positionals, print, printError }) => {
    const [id] = positionals
    if (id === undefined) {
      printError('Say which request: magnoliabay trace REQUEST-ID < logs')
      return EXIT_USAGE
    }
    const lines = (await text(process.stdin)).split('\n')
    const trace = traceRequest(lines, id)
    print(formatTrace(trace))
    return trace.requestEntries.length === 0 ? EXIT_FAILED : EXIT_SUCCESS
  }
}

/** The trace as a person reads it. */
export function formatTrace (trace: Trace): string {
  const section = (title: string, lines: readonly string[]): string[] => lines.length === 0 ? [] : [title, ...lines.map(line => `  ${line}`), '']
  return [
    ...section('The request:', trace.requestEntries.map(entry => entry.line)),
    ...section('What was believed and done around it:', trace.relatedEntries.map(entry => entry.line)),
    ...section('Cause:', trace.cause === undefined ? [] : [trace.cause]),
    ...section('Not told:', trace.gaps)
  ].join('\n').trimEnd()
}
