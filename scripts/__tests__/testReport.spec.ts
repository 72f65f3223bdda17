import { expect } from 'chai'
import { checkTestReport } from '../testReport'
import type { CommandStatus } from '../testReport'

const run = (passes: string[], failures: string[]) => ({
  stats: { passes: passes.length, failures: failures.length },
  passes: passes.map(fullTitle => ({ fullTitle })),
  failures: failures.map(fullTitle => ({ fullTitle, err: { message: 'broken' } }))
})

const neverRun = (command: string): never => { throw new Error(`not to be run: ${command}`) }

describe('check of a test report', () => {
  const cases: Array<{ title: string, passes: string[], failures: string[], knownRed: string, isGood: boolean, expectedLines: string[] }> = [
    { title: 'all pass', passes: ['a', 'b'], failures: [], knownRed: '', isGood: true, expectedLines: ['2 passed, 0 failed'] },
    { title: 'one fails', passes: ['a'], failures: ['b'], knownRed: '', isGood: false, expectedLines: ['FAILED b\nbroken', '1 passed, 1 failed'] },
    { title: 'the failing test is listed as known', passes: ['a'], failures: ['b'], knownRed: 'b | cause | issue 3\n', isGood: true, expectedLines: ['known red: b | cause | issue 3', '1 passed, 1 failed'] },
    { title: 'a second test that is not listed fails', passes: ['a'], failures: ['b', 'c'], knownRed: 'b | cause | issue 3', isGood: false, expectedLines: ['FAILED c\nbroken', 'known red: b | cause | issue 3', '1 passed, 2 failed'] },
    { title: 'the title of the failing test only starts with a listed title', passes: ['a'], failures: ['b too'], knownRed: 'b | cause | issue 3', isGood: false, expectedLines: ['FAILED b too\nbroken', 'KNOWN-RED.txt names a test that did not fail: b', '1 passed, 1 failed'] },
    { title: 'a listed test passes', passes: ['a', 'b'], failures: [], knownRed: 'b | cause | issue 3', isGood: false, expectedLines: ['KNOWN-RED.txt names a test that did not fail: b', '2 passed, 0 failed'] },
    { title: 'no test ran', passes: [], failures: [], knownRed: '', isGood: false, expectedLines: ['no test passed', '0 passed, 0 failed'] }
  ]
  cases.forEach(({ title, passes, failures, knownRed, isGood, expectedLines }) => it(`evaluates a run in which ${title}: ${isGood ? 'good' : 'bad'}`, () => {
    expect(checkTestReport(run(passes, failures), knownRed, neverRun)).to.deep.equal({ isGood, lines: expectedLines })
  }))

  it('rejects a list of four known failures', () => {
    const titles = ['a', 'b', 'c', 'd']
    const verdict = checkTestReport(run(['z'], titles), titles.map(title => `${title} | cause | issue`).join('\n'), neverRun)
    expect(verdict.isGood).to.equal(false)
    expect(verdict.lines).to.include('KNOWN-RED.txt holds 4 lines; 3 are allowed')
  })

  // A command that is listed passes over only the violation that it shows: neither a pass, nor one that could not run, is good.
  const COMMANDS: ReadonlyArray<{ title: string, status: CommandStatus, isGood: boolean, line: string }> = [
    { title: 'shows its violation', status: 1, isGood: true, line: 'known red: command: bash check.sh 7 | seen | issue 3' },
    { title: 'passes', status: 0, isGood: false, line: 'KNOWN-RED.txt names a command that did not fail: bash check.sh 7' },
    { title: 'could not run', status: 127, isGood: false, line: 'KNOWN-RED.txt names a command that could not judge (127): bash check.sh 7' },
    { title: 'could not judge', status: 2, isGood: false, line: 'KNOWN-RED.txt names a command that could not judge (2): bash check.sh 7' },
    { title: 'did not end', status: 'timeout', isGood: false, line: 'KNOWN-RED.txt names a command that could not judge (timeout): bash check.sh 7' }
  ]
  COMMANDS.forEach(({ title, status, isGood, line }) => it(`evaluates a list with a command that ${title}: ${isGood ? 'good' : 'bad'}`, () => {
    const commands: string[] = []
    const verdict = checkTestReport(run(['a'], []), 'command: bash check.sh 7 | seen | issue 3', command => {
      commands.push(command)
      return status
    })
    expect(commands).to.deep.equal(['bash check.sh 7'])
    expect(verdict).to.deep.equal({ isGood, lines: [line, '1 passed, 0 failed'] })
  }))

  it('rejects a line without what was seen and an issue', () => {
    expect(checkTestReport(run(['a'], ['b']), 'b | issue 3', neverRun).isGood).to.equal(false)
  })
})
