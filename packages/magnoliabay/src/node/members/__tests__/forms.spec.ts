import { expect } from 'chai'
import fc from 'fast-check'
import { backendLeavingNotice } from '../../backend/leavingBackends'
import { listChangedNotice } from '../../backend/listPolling'
import { askCall, closeCall, holdingNotice, reserveCall, settleNotice } from '../../allowance/messages'
import { demandCall, dropIntentsNotice, heldIntentsCall, holdIntentCall, loadNotice, releaseCall, tableNotice, tablesCall, usageNotice } from '../../cells/records'
import { storeShareCall } from '../../cells/weightStoreShare'
import { configAcceptedNotice, configChunksCall, configHeadCall, configVersionsNotice } from '../../config/messages'
import { createInputMonitor } from '../../inputs'
import { createLogger } from '../../logger'
import { memberRecord } from '../../serving/__tests__/fixtures'
import { checkAnswer, createDispatch } from '../dispatch'
import type { PeerCall, PeerNotice } from '../peers'
import { Ok } from '../../result'

const SEED = 63
const RUNS = 1000
const NOTICES = [backendLeavingNotice, listChangedNotice, holdingNotice, settleNotice, dropIntentsNotice, loadNotice, tableNotice, usageNotice, configAcceptedNotice, configVersionsNotice] as ReadonlyArray<PeerNotice<unknown>>
const ASKING = [askCall, closeCall, reserveCall, demandCall, heldIntentsCall, holdIntentCall, releaseCall, storeShareCall, configChunksCall, configHeadCall] as ReadonlyArray<PeerCall<unknown, unknown>>
const ANSWERING = [...ASKING.filter(call => call !== configHeadCall), tablesCall] as ReadonlyArray<PeerCall<unknown, unknown>>
/** Texts and lists of them are sound bodies of some messages. */
const body = fc.anything().filter(value => typeof value !== 'string' && !Array.isArray(value))

/** Guards against values of the wrong type that a message leaves behind, and on which a timer or the request of a caller fails later. */
describe('messages of the subsystems of the OpenAI entry', () => {
  const from = memberRecord('other')
  let lines: string[]
  const inputs = createInputMonitor(createLogger({ write: line => lines.push(line) }))
  beforeEach(() => { lines = [] })

  it('are refused as notices without their form', () => {
    const received: unknown[] = []
    const dispatch = createDispatch(inputs)
    NOTICES.forEach(notice => dispatch.listen(notice, value => received.push(value)))
    fc.assert(fc.property(fc.constantFrom(...NOTICES), body, (notice, value) => {
      dispatch.handleNotice(notice.kind, value, from)
      return received.length === 0
    }), { seed: SEED, numRuns: RUNS })
    expect(lines[0]).to.match(/event=input-refused/).and.match(/peer=other/)
  })

  it('are refused as requests without their form', () => fc.assert(fc.asyncProperty(fc.constantFrom(...ASKING), body, async (call, value) => {
    const dispatch = createDispatch(inputs)
    let received = 0
    dispatch.serve(call, () => { received += 1 })
    const answer = await dispatch.handleCall(call.kind, value, from)
    return received === 0 && answer.err
  }), { seed: SEED, numRuns: RUNS }))

  it('are refused as answers without their form', () => {
    fc.assert(fc.property(fc.constantFrom(...ANSWERING), body, (call, value) => checkAnswer(call, Ok(value), 'other', inputs).err), { seed: SEED, numRuns: RUNS })
    expect(lines[0]).to.match(/event=input-refused/).and.match(/source=peer-message/)
  })
})
