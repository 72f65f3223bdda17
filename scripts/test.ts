/**
 * `npm test`: runs all tests, some files at a time, and judges their report as CI does, which passes over the failures that
 * KNOWN-RED.txt names.
 * With arguments it runs mocha with these alone: `npm test -- -g "placement plan"`.
 */
import { spawn } from 'node:child_process'
import { mkdirSync, rmSync } from 'node:fs'
import { availableParallelism } from 'node:os'
import { checkTestReportFile } from './testReport'

const REPORT = 'dist/tests.json'
/** The run has to end by itself: a handle that a test leaves open keeps it until this limit, well above what it takes. */
const LIMIT_MS = 1_200_000
const REPORTER = 'scripts/progressReporter.ts'
/** Tests with many simulated instances need a processor of their own. */
const JOBS = Math.max(1, availableParallelism() - 1)
const MOCHA = 'node_modules/mocha/bin/mocha.js'

/** Runs mocha; resolves with its exit code, or undefined if it did not end in time. */
function runMocha (args: readonly string[]): Promise<number | undefined> {
  return new Promise(resolve => {
    // A process group of its own: mocha starts another process, which has to end with it.
    const child = spawn(process.execPath, [MOCHA, ...args], { stdio: 'inherit', detached: true })
    const timer = setTimeout(() => {
      process.kill(-child.pid!, 'SIGKILL')
      resolve(undefined)
    }, LIMIT_MS)
    child.once('exit', code => {
      clearTimeout(timer)
      resolve(code ?? 1)
    })
  })
}

async function main (args: readonly string[]): Promise<number> {
  if (args.length > 0) return await runMocha(args) ?? 1
  mkdirSync('dist', { recursive: true })
  rmSync(REPORT, { force: true })
  if (await runMocha(['--forbid-only', '--parallel', '--jobs', String(JOBS), '--reporter', REPORTER, '--reporter-option', `output=${REPORT}`]) === undefined) {
    process.stdout.write('The tests did not end: a test or the code under test leaves a handle open.\n')
    return 1
  }
  return checkTestReportFile(REPORT, 'KNOWN-RED.txt')
}

main(process.argv.slice(2)).then(code => process.exit(code))
