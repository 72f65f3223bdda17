import { expect } from 'chai'
import type { MemberRecord, TerminationProofKind } from '../../members'
import { decideClaim } from '../claim'
import type { ClaimConditions, ClaimDecision } from '../claim'

const memberOf = (id: string): MemberRecord => ({
  id, incarnation: `${id}-1`, startedAtMs: 0, region: 'r', failureDomain: 'a', peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0
})

interface CaseConditions {
  proof?: TerminationProofKind
  isRegistered: boolean
  hasFencedEngines: boolean
  isLeaderUnreachable: boolean
}

const conditionsOf = (conditions: CaseConditions): ClaimConditions => ({
  leadership: { record: { holder: memberOf('holder'), claimId: 'claim-1', unproven: [] }, modRevision: 7 },
  self: memberOf('self'),
  proofs: { proofFor: () => conditions.proof, onTerminated: () => () => {} },
  isRegistered: () => conditions.isRegistered,
  hasFencedEngines: conditions.hasFencedEngines,
  isLeaderUnreachable: conditions.isLeaderUnreachable
})

interface Case extends CaseConditions {
  expected: ClaimDecision['kind']
}

const CASES: readonly Case[] = [
  { isRegistered: true, hasFencedEngines: true, isLeaderUnreachable: false, expected: 'held' },
  { isRegistered: true, hasFencedEngines: true, isLeaderUnreachable: true, expected: 'fence' },
  { isRegistered: true, hasFencedEngines: false, isLeaderUnreachable: false, expected: 'held' },
  { isRegistered: true, hasFencedEngines: false, isLeaderUnreachable: true, expected: 'held' },
  { isRegistered: false, hasFencedEngines: true, isLeaderUnreachable: false, expected: 'fence' },
  { isRegistered: false, hasFencedEngines: true, isLeaderUnreachable: true, expected: 'fence' },
  { isRegistered: false, hasFencedEngines: false, isLeaderUnreachable: true, expected: 'ask' },
  { isRegistered: false, hasFencedEngines: false, isLeaderUnreachable: false, expected: 'ask' },
  { proof: 'goodbye', isRegistered: true, hasFencedEngines: false, isLeaderUnreachable: false, expected: 'free' },
  { proof: 'listed-gone', isRegistered: false, hasFencedEngines: true, isLeaderUnreachable: true, expected: 'free' }
]

/* An unreachable leader may have terminated, be paused or be disconnected. Where engines refuse outdated fencing tokens,
   it may be replaced at once, and is recorded as unproven; otherwise only proof of its end or a release allows a claim. */
describe('decision to claim a cell', () => {
  CASES.forEach(({ expected, ...conditions }) => it(`${JSON.stringify(conditions)}: ${expected}`, () => {
    const decision = decideClaim(conditionsOf(conditions))
    expect(decision.kind).to.equal(expected)
    if (decision.kind === 'fence') expect(decision.unproven).to.deep.equal([{ member: 'holder', incarnation: 'holder-1', fence: 7 }])
  }))
})
