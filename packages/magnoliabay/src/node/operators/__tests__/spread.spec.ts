import { expect } from 'chai'
import { startInstanceFixture } from '../../__tests__/instanceFixture'
import type { InstanceFixture } from '../../__tests__/instanceFixture'

describe('operators: where a configuration is in force', () => {
  let fixture: InstanceFixture
  before(async () => { fixture = await startInstanceFixture() })
  after(() => fixture.close())

  // The fixture's instance is of the site `test`. An overlay of another site never comes into force
  // there; counted among those that lag, it would make every `config apply` of that site fail.
  const cases: Array<{ document: string, expected: Array<[string, boolean]> }> = [
    { document: 'base', expected: [['entry-1', true]] },
    { document: 'sites/test', expected: [['entry-1', false]] },
    { document: 'sites/elsewhere', expected: [] }
  ]
  cases.forEach(({ document, expected }) => it(`${document}: ${JSON.stringify(expected)}`, async () => {
    const spread = await fixture.operators.rollout(document, 1, 0)
    expect(spread.map(one => [one.instance, one.isInForce])).to.deep.equal(expected)
  }))
})
