/**
 * Checks the report of a test run: every failure counts except those listed in KNOWN-RED.txt. Prints the failed tests
 * and then the numbers of passed and failed tests.
 */
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

const MAX_KNOWN_RED = 3

/** `knownRed` has one line for each test: its full title, ` | `, the cause, ` | `, the issue. */
export function checkTestReport (report: TestReport, knownRed: string): TestReportResult {
  const entries = knownRed.split('\n').filter(line => line.trim() !== '').map(line => ({ line, title: line.split(' | ')[0]!.trim() }))
  const known = new Set(entries.map(entry => entry.title))
  const unknown = report.failures.filter(test => !known.has(test.fullTitle))
  const failed = new Set(report.failures.map(test => test.fullTitle))
  // A test that passes again or was renamed must be removed from the list: its line would hide the next failure.
  const stale = entries.filter(entry => !failed.has(entry.title))
  const tooMany = entries.length > MAX_KNOWN_RED ? [`KNOWN-RED.txt holds ${entries.length} lines; ${MAX_KNOWN_RED} are allowed`] : []
  // A run that stopped before its first test reports no failures either.
  const nothingRan = report.stats.passes === 0 ? ['no test passed'] : []
  return {
    lines: [
      ...unknown.map(test => `FAILED ${test.fullTitle}\n${test.err.stack ?? test.err.message ?? ''}`),
      ...entries.filter(entry => failed.has(entry.title)).map(entry => `known red: ${entry.line}`),
      ...stale.map(entry => `KNOWN-RED.txt names a test that did not fail: ${entry.title}`),
      ...tooMany,
      ...nothingRan,
      `${report.stats.passes} passed, ${report.stats.failures} failed`
    ],
    isGood: [unknown, stale, tooMany, nothingRan].every(problems => problems.length === 0)
  }
}

/** Reads the report and the list, prints the result and returns the exit code. */
export function checkTestReportFile (reportFile: string, knownRedFile: string): number {
  const report = JSON.parse(readFileSync(reportFile, 'utf8')) as TestReport
  const verdict = checkTestReport(report, existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '')
  process.stdout.write(`${verdict.lines.join('\n')}\n`)
  return verdict.isGood ? 0 : 1
}
