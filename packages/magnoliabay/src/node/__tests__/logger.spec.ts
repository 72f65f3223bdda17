import { expect } from 'chai'
import { createLogger } from '../logger'

describe('log line', () => {
  it('contains time, level, event and fields, with the fields of the logger first', () => {
    const lines: string[] = []
    createLogger({ write: line => { lines.push(line) }, fields: { instance: 'm1' } }).info('link-up', { peer: 'm2', absent: undefined })
    expect(lines.map(line => line.replace(/^time=\S+ /, ''))).to.deep.equal(['level=info event=link-up instance=m1 peer=m2'])
  })

  /** Guards against taking a stack trace for each line: hundreds of processes log thousands of lines when they start. */
  it('is formatted without a stack trace', () => {
    const original = Error.prepareStackTrace
    let traces = 0
    Error.prepareStackTrace = err => {
      traces += 1
      return String(err)
    }
    try {
      createLogger({ write: () => {} }).info('link-up')
    } finally {
      Error.prepareStackTrace = original
    }
    expect(traces).to.equal(0)
  })
})
