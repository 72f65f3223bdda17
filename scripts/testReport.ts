/**
 * Checks the report of a test run: every failure counts except those listed in KNOWN-RED.txt. Prints the failed tests
 * and then the numbers of passed and failed tests. Commands that the list names are run, and have to fail as well.
 */
import { spawnSync } from 'node:child_process'
import { existsSync, readFileSync } from 'node:fs'

/** The part of the output of mocha's `json` reporter that the check reads. */
export interface TestReport {
  stats: { passes: number, failures: number }
  passes: Array<{ fullTitle: string }>
  failures: Array<{ fullTitle: string, err: { message?: string, stack?: string } }>
}

export interface TestReportResult {
  lines: string[]
  isGood: boolean
}

/** How a command ended; a status above 1 says that it could not judge, as of one that could not run. */
export type CommandStatus = number | 'timeout'

const MAX_KNOWN_RED = 3
const COMMAND_PREFIX = 'command: '
/** Fields of an entry: the test or the command, what was seen with which seed, and the issue. */
const FIELDS = 3
/** Status with which a command says that what it checks is violated. */
const VIOLATED = 1
const COMMAND_LIMIT_MS = 300_000

interface Entry {
  line: string
  /** Title of a test, or text of a command. */
  name: string
  isCommand: boolean
}

function parseEntries (knownRed: string): Entry[] {
  return knownRed.split('\n').filter(line => line.trim() !== '').map(line => {
    const name = line.split(' | ')[0]!.trim()
    const isCommand = name.startsWith(COMMAND_PREFIX)
    return { line, name: isCommand ? name.slice(COMMAND_PREFIX.length) : name, isCommand }
  })
}

/**
 * `knownRed` has one line for each test or command: the full title of the test, or `command: ` and a command, ` | `, what was
 * seen, ` | `, the issue. `runCommand` runs a command, which exits with 1 when what it checks is violated.
 */
export function checkTestReport (report: TestReport, knownRed: string, runCommand: (command: string) => CommandStatus): TestReportResult {
  const entries = parseEntries(knownRed)
  const tests = entries.filter(entry => !entry.isCommand)
  const known = new Set(tests.map(entry => entry.name))
  const unknown = report.failures.filter(test => !known.has(test.fullTitle))
  const failed = new Set(report.failures.map(test => test.fullTitle))
  const statuses = entries.filter(entry => entry.isCommand).map(entry => ({ entry, status: runCommand(entry.name) }))
  // A test that passes again or was renamed must be removed from the list: its line would hide the next failure.
  const stale = tests.filter(entry => !failed.has(entry.name))
  const staleCommands = statuses.filter(({ status }) => status === 0)
  // A command that cannot run shows nothing; taken for the known failure, it would hide everything.
  const unjudged = statuses.filter(({ status }) => status !== 0 && status !== VIOLATED)
  const incomplete = entries.filter(({ line }) => line.split(' | ').length < FIELDS)
  const tooMany = entries.length > MAX_KNOWN_RED ? [`KNOWN-RED.txt holds ${entries.length} lines; ${MAX_KNOWN_RED} are allowed`] : []
  // A run that stopped before its first test reports no failures either.
  const nothingRan = report.stats.passes === 0 ? ['no test passed'] : []
  return {
    lines: [
      ...unknown.map(test => `FAILED ${test.fullTitle}\n${test.err.stack ?? test.err.message ?? ''}`),
      ...tests.filter(entry => failed.has(entry.name)).map(entry => `known red: ${entry.line}`),
      ...statuses.filter(({ status }) => status === VIOLATED).map(({ entry }) => `known red: ${entry.line}`),
      ...stale.map(entry => `KNOWN-RED.txt names a test that did not fail: ${entry.name}`),
      ...staleCommands.map(({ entry }) => `KNOWN-RED.txt names a command that did not fail: ${entry.name}`),
      ...unjudged.map(({ entry, status }) => `KNOWN-RED.txt names a command that could not judge (${status}): ${entry.name}`),
      ...incomplete.map(({ line }) => `KNOWN-RED.txt has a line without what was seen and an issue: ${line}`),
      ...tooMany,
      ...nothingRan,
      `${report.stats.passes} passed, ${report.stats.failures} failed`
    ],
    isGood: [unknown, stale, staleCommands, unjudged, incomplete, tooMany, nothingRan].every(problems => problems.length === 0)
  }
}

/** Runs a command of the list in a shell, without its output. */
function runInShell (command: string): CommandStatus {
  const { status } = spawnSync(command, { shell: true, stdio: 'ignore', timeout: COMMAND_LIMIT_MS })
  return status ?? 'timeout'
}

/** Reads the report and the list, prints the result and returns the exit code. */
export function checkTestReportFile (reportFile: string, knownRedFile: string): number {
  const report = JSON.parse(readFileSync(reportFile, 'utf8')) as TestReport
  const verdict = checkTestReport(report, existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '', runInShell)
  process.stdout.write(`${verdict.lines.join('\n')}\n`)
  return verdict.isGood ? 0 : 1
}
