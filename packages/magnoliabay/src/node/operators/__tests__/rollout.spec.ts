import { expect } from 'chai'
import { startInstanceFixture } from '../../__tests__/instanceFixture'
import type { InstanceFixture } from '../../__tests__/instanceFixture'

describe('operators: rollout of a configuration', () => {
  let fixture: InstanceFixture
  before(async () => { fixture = await startInstanceFixture() })
  after(() => fixture.close())

  // The fixture's instance belongs to the site `test`. An overlay of another site never becomes active
  // there; if it counted as pending, every `config apply` of that site would fail.
  const cases: Array<{ document: string, expected: Array<[string, boolean]> }> = [
    { document: 'base', expected: [['entry-1', true]] },
    { document: 'sites/test', expected: [['entry-1', false]] },
    { document: 'sites/elsewhere', expected: [] }
  ]
  cases.forEach(({ document, expected }) => it(`reports the instances of the site of ${document}: ${JSON.stringify(expected)}`, async () => {
    const rollouts = await fixture.operators.rollout(document, 1, 0)
    expect(rollouts.map(one => [one.instance, one.isInForce])).to.deep.equal(expected)
  }))
})
