import { expect } from 'chai'
import { decideOnPartition } from '../partitionedMembers'
import type { ReachState } from '../partitionedMembers'

const statesOf = (partitioned: number, reaching: number): ReachState[] => [
  ...Array.from({ length: partitioned }, (_, index) => ({ id: `cut-${index}`, isReady: true, reachesServers: false })),
  ...Array.from({ length: reaching }, (_, index) => ({ id: `ok-${index}`, isReady: true }))
]

describe('instances that report that they reach no server', () => {
  it('are not mentioned where there are none', () => {
    expect(decideOnPartition(statesOf(0, 420), 0)).to.deep.equal({ avoided: [], forwarders: [] })
  })

  /** Guards against callers that all go to the few instances that are left, which could not take their connections. */
  const CASES = [
    { partitioned: 1, reaching: 8, avoided: 1 },
    { partitioned: 4, reaching: 5, avoided: 4 },
    { partitioned: 6, reaching: 3, avoided: 0 },
    { partitioned: 140, reaching: 280, avoided: 140 },
    { partitioned: 400, reaching: 20, avoided: 0 },
    { partitioned: 9, reaching: 0, avoided: 0 }
  ]
  CASES.forEach(({ partitioned, reaching, avoided }) => it(`are avoided by callers while at most half of all are: ${partitioned} of ${partitioned + reaching}`, () => {
    expect(decideOnPartition(statesOf(partitioned, reaching), 0).avoided).to.have.length(avoided)
  }))

  /** Guards against a summary that grows with the fleet, and against a few instances that forward for all. */
  it('are told of at most eight others, which change from summary to summary', () => {
    const [one, other] = [0, 0.5].map(random => decideOnPartition(statesOf(400, 20), random).forwarders)
    expect([one, other].map(ids => ids!.length)).to.deep.equal([8, 8])
    expect(one!.every(id => id.startsWith('ok-'))).to.equal(true)
    expect(one!.filter(id => other!.includes(id))).to.deep.equal([])
  })
})
