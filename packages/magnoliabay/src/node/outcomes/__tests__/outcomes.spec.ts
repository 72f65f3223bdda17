import { expect } from 'chai'
import fc from 'fast-check'
import { createRefusal } from '../../failures'
import { createFleetRetryBudget, createRetryBudget } from '../retryBudget'
import { createExecutionTracker } from '../executionTracker'

const SEED = 20_261_202

type Attempt = 'never sent' | 'disclaimed' | 'lost' | 'open'

describe('execution tracker', () => {
  // Attempts follow each other; each is never sent, disclaimed by its engine, lost, or still open at the end.
  // Reference model: the request is not run exactly if no attempt was lost and none is open.
  it('reports not run exactly if no attempt may have run', () => {
    const attempts = fc.array(fc.constantFrom<Attempt>('never sent', 'disclaimed', 'lost'), { maxLength: 6 })
    fc.assert(fc.property(attempts, fc.boolean(), (before, endsOpen) => {
      const tracker = createExecutionTracker()
      const all: Attempt[] = endsOpen ? [...before, 'open'] : before
      all.forEach(attempt => {
        tracker.record('send')
        if (attempt === 'lost') tracker.record('lose')
        else if (attempt !== 'open') tracker.disclaim({ server: 's', send: 1, connection: 1, basis: attempt })
      })
      const outcome = tracker.conclude(createRefusal('backend_failed', ''))
      const isNotRun = !all.includes('lost') && !all.includes('open')
      expect(outcome.kind).to.equal(isNotRun ? 'refused-not-run' : 'failed-may-have-run')
      expect(outcome.kind !== 'answered' && outcome.failure.notRun).to.equal(isNotRun)
    }), { seed: SEED, numRuns: 300 })
  })
})

describe('retry budget', () => {
  it('never allows more retries than its burst plus its ratio of first attempts', () => {
    fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 400 }), isFirstAttempt => {
      const budget = createRetryBudget({ retriesPerRequest: 0.1, burst: 3 })
      const firsts = isFirstAttempt.filter(Boolean).length
      const retries = isFirstAttempt.filter(isFirst => {
        if (isFirst) budget.recordFirstAttempt()
        return !isFirst && budget.tryTake()
      }).length
      expect(retries).to.be.at.most(3 + firsts * 0.1)
    }), { seed: SEED, numRuns: 200 })
  })

  // Instances are killed twice within the window in which a service's retries are counted, while all its servers fail. Each
  // process begins with a reserve of its own; whole ones would add up to more retries than the fleet may make.
  it('keeps to the budget of the fleet while all instances restart twice', () => {
    const [instances, limit] = [9, { ratio: 0.2, slack: 56 }]
    const firstsPerLife = 4
    const countRetries = (firstsBefore: number): number => {
      const budget = createFleetRetryBudget(limit, () => instances)
      Array.from({ length: firstsBefore + firstsPerLife }).forEach(() => budget.recordFirstAttempt())
      return Array.from({ length: 2 * firstsPerLife }, () => budget.tryTake()).filter(Boolean).length
    }
    const lives = [1000, 0, 0]
    const retries = instances * lives.map(countRetries).reduce((sum, each) => sum + each, 0)
    expect(retries).to.be.at.most(limit.slack + limit.ratio * lives.length * instances * firstsPerLife)
  })

  it('takes back a retry that is not made, and never has more than its burst', () => {
    const budget = createRetryBudget({ retriesPerRequest: 0, burst: 2 })
    budget.tryTake()
    budget.giveBack()
    expect(budget.remaining()).to.equal(2)
    budget.giveBack()
    expect(budget.remaining()).to.equal(2)
  })
})
