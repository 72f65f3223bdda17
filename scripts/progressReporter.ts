/** Reporter of mocha that writes the report of its `json` reporter, and shows on standard error how far the tests are. */
import Mocha from 'mocha'
import type { MochaOptions, Runner, Test } from 'mocha'

const PROGRESS_EVERY = 100

export default class ProgressReporter extends Mocha.reporters.JSON {
  constructor (runner: Runner, options: MochaOptions) {
    super(runner, options)
    let ended = 0
    const failed: Test[] = []
    runner.on('fail', test => {
      failed.push(test)
      process.stderr.write(`failed: ${test.fullTitle()}\n`)
    })
    runner.on('test end', () => {
      ended += 1
      if (ended % PROGRESS_EVERY === 0) process.stderr.write(`${ended} tests, ${failed.length} failed\n`)
    })
  }
}
