/** Messages of members without the form of their kind. */
import { expect } from 'chai'
import fc from 'fast-check'
import { createInputMonitor } from '../../inputs'
import { createLogger } from '../../logger'
import { createDispatch } from '../../members/dispatch'
import type { PeerNotice } from '../../members'
import { configNotice, evacuationNotice, membersNotice, reportNotice, serversNotice, summaryNotice } from '../fleetMessages'
import type { FleetSummary } from '../fleetMessages'
import { placementCall } from '../placement/messages'
import { NO_EVACUATION, leadingOf, memberRecord, reportOf } from './fixtures'

const SEED = 57
const NOTICES = [reportNotice, summaryNotice, serversNotice, membersNotice, evacuationNotice, configNotice] as ReadonlyArray<PeerNotice<unknown>>
const SUMMARY: FleetSummary = { leading: leadingOf('a'), count: 1, configVersion: 1, storeAgeMs: 0, storeSteadyMs: Infinity, loads: [{ server: 's', count: 2 }], unavailable: [], leavingServers: [], limits: [], spent: [], evacuation: NO_EVACUATION, listDigest: '', membersDigest: '' }

describe('a message of a member', () => {
  const from = memberRecord('other')
  let lines: string[]
  let received: unknown[]
  let dispatch: ReturnType<typeof createDispatch>
  beforeEach(() => {
    lines = []
    received = []
    dispatch = createDispatch(createInputMonitor(createLogger({ write: line => lines.push(line) })))
    NOTICES.forEach(notice => dispatch.listen(notice, body => received.push(body)))
  })

  it('is passed on with all of its fields, those of later versions too', () => {
    dispatch.handleNotice(reportNotice.kind, { ...reportOf(), later: 1 }, from)
    dispatch.handleNotice(summaryNotice.kind, SUMMARY, from)
    expect(received).to.deep.equal([{ ...reportOf(), later: 1 }, SUMMARY])
    expect(lines).to.deep.equal([])
  })

  /** Guards against state that a message of the wrong form leaves behind, and on which a timer or a handler fails later. */
  it('without the form of its kind is refused: logged with the member and the kind', () => {
    fc.assert(fc.property(fc.constantFrom(...NOTICES), fc.anything(), (notice, body) => {
      received.length = 0
      dispatch.handleNotice(notice.kind, body, from)
      return received.length === 0
    }), { seed: SEED, numRuns: 500 })
    expect(lines[0]).to.match(/event=input-refused/).and.match(/source=peer-message/).and.match(/peer=other/).and.match(/call=serving\./)
  })

  /** The same for one field of another type, deep inside. */
  it('with one wrong field is refused', () => {
    const wrong = [
      [summaryNotice, { ...SUMMARY, loads: [{ server: 's', count: '2' }] }],
      [summaryNotice, { ...SUMMARY, leading: undefined }],
      [reportNotice, { ...reportOf(), inFlight: [null] }],
      [reportNotice, { ...reportOf(), spent: {} }],
      [membersNotice, { put: [{ ...from, peerAddress: 7 }], gone: [] }],
      [configNotice, { packed: 'text' }]
    ] as ReadonlyArray<[PeerNotice<unknown>, unknown]>
    wrong.forEach(([notice, body]) => dispatch.handleNotice(notice.kind, body, from))
    expect(received).to.deep.equal([])
    expect(lines).to.have.length(wrong.length)
  })

  it('that asks for something is answered with an error', async () => {
    dispatch.serve(placementCall, () => ({ kind: 'unavailable' }))
    expect((await dispatch.handleCall(placementCall.kind, { model: 7 }, from)).err).to.equal(true)
    expect((await dispatch.handleCall(placementCall.kind, { model: 'm', adapter: undefined, waitedMs: 0, patienceMs: 1 }, from)).ok).to.equal(true)
  })
})
