import { expect } from 'chai'
import fc from 'fast-check'
import { parseUsedTokens } from '../../backend/tokenUsage'
import { parseCompletion } from '../completionRequest'

const SEED = 20_261_205
const DEFAULT_MAX_TOKENS = 256

describe('completion requests', () => {
  it('parses or refuses any bytes, and never throws', () => {
    const anything = fc.oneof(fc.uint8Array({ maxLength: 200 }).map(bytes => Buffer.from(bytes)), fc.json().map(text => Buffer.from(text)))
    fc.assert(fc.property(anything, body => {
      const parsed = parseCompletion(body, DEFAULT_MAX_TOKENS)
      if (parsed.err) expect([parsed.val.code, parsed.val.notRun]).to.deep.equal(['bad_request', true])
    }), { seed: SEED, numRuns: 500 })
  })

  it('refuses a request truncated at any byte', () => {
    const whole = Buffer.from(JSON.stringify({ model: 'm', max_tokens: 5, messages: [{ role: 'user', content: 'ünïcode' }] }))
    const cuts = Array.from({ length: whole.length }, (_, size) => parseCompletion(whole.subarray(0, size), DEFAULT_MAX_TOKENS))
    expect(cuts.filter(cut => cut.ok)).to.deep.equal([])
    expect(parseCompletion(whole, DEFAULT_MAX_TOKENS).ok).to.equal(true)
  })

  // The usage that an engine reports decides what the team is charged. An invalid value counts as no report.
  it('accepts only a finite, non-negative number as reported usage', () => {
    fc.assert(fc.property(fc.jsonValue(), total => {
      const used = parseUsedTokens(JSON.stringify({ usage: { total_tokens: total } }))
      expect(used).to.equal(typeof total === 'number' && total >= 0 ? total : undefined)
    }), { seed: SEED, numRuns: 300 })
    fc.assert(fc.property(fc.string(), text => { parseUsedTokens(text) }), { seed: SEED, numRuns: 300 })
  })
})
