import { expect } from 'chai'
import { assessLimitedEngine } from '../limitedEngines'

const RATES = new Map([['busy', 4], ['rare1', 0.1], ['rare2', 0.3]])
const rateOf = (model: string): number => RATES.get(model) ?? 0

describe('an engine that states a rate limit', () => {
  const CASES = [
    { requestsPerSecond: 1, beyond: ['busy'], spare: 0.6 },
    { requestsPerSecond: 0.2, beyond: ['rare2', 'busy'], spare: 0.1 },
    { requestsPerSecond: 5, beyond: [], spare: 0.6 }
  ]
  CASES.forEach(({ requestsPerSecond, beyond, spare }) => it(`takes the rarest models first within ${requestsPerSecond} a second`, () => {
    const use = assessLimitedEngine({ requestsPerSecond, models: [...RATES.keys()] }, rateOf)
    expect(use.modelsBeyondLimit).to.deep.equal(beyond)
    expect(use.spareRequestsPerSecond).to.be.closeTo(spare, 1e-9)
  }))
})
