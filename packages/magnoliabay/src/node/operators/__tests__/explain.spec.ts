/** What the instances of a fleet decided about one request, asked of one of them. */
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import type { Logger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import { memberRecord } from '../../serving/__tests__/fixtures'
import { createDecisionLog } from '../decisionLog'
import { createExplainer } from '../explain'
import type { Explainer } from '../explain'

describe('explain', () => {
  const clock = createVirtualClock()
  const network = createMemoryNetwork({ clock })
  const startInstance = (id: string): { logger: Logger, explainer: Explainer } => {
    const decisions = createDecisionLog({ instance: id, clock })
    const peers = network.join(memberRecord(id))
    return { logger: decisions.wrapLogger(createSilentLogger()), explainer: createExplainer({ peers, decisions }) }
  }

  // A request is refused for crashes that other instances saw, minutes before: its own lines do not show why.
  it('leads from a request that was refused for crashes to these crashes, wherever they were seen', async () => {
    const [one, other] = [startInstance('a'), startInstance('b')]
    const suspect = 'completions/part:p'
    other.logger.warn('server-crashed', { server: 'e1', suspects: [suspect, 'completions/request:x'] })
    other.logger.warn('server-crashed', { server: 'e9', suspects: ['completions/part:q'] })
    one.logger.warn('suspect-blamed', { suspect, servers: ['e1'] })
    one.logger.info('suspect-refused', { request: 'r6', suspect, crashed: ['e1'] })
    one.logger.info('suspect-refused', { request: 'r7', suspect, crashed: ['e1'] })
    const explained = one.explainer.explain('request', 'r7')
    await clock.advance(100)
    const { events, unheard } = await explained
    expect(events.map(({ instance, event, fields }) => `${instance} ${event} ${String(fields.server ?? fields.request ?? '')}`.trim()).sort())
      .to.deep.equal(['a suspect-blamed', 'a suspect-refused r7', 'b server-crashed e1'])
    expect(unheard).to.deep.equal([])
  })

  // A request fails for what a server sent; the instance that refused that does not name the request.
  it('leads from a request that failed to what its server sent and was refused', async () => {
    const one = startInstance('c')
    one.logger.info('service-call-failed', { request: 'r8', server: 'e2', reason: 'lost' })
    one.logger.warn('input-refused', { source: 'engine-answer', server: 'e2', reason: 'models: wrong type' })
    one.logger.warn('input-refused', { source: 'engine-answer', server: 'e3', reason: 'models: wrong type' })
    one.logger.info('request-ended', { request: 'r8', tookMs: 10 })
    const explained = one.explainer.explain('request', 'r8')
    await clock.advance(100)
    expect((await explained).events.map(({ event, fields }) => `${event} ${String(fields.server ?? '')}`.trim()).sort())
      .to.deep.equal(['input-refused e2', 'request-ended', 'service-call-failed e2'])
  })
})
