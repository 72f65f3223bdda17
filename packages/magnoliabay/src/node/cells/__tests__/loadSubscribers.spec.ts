import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createLoadSubscribers } from '../loadSubscribers'

const startSubscribers = () => {
  const clock = createVirtualClock()
  const sent: string[] = []
  const subscribers = createLoadSubscribers({
    notify: (memberId, _notice, body) => { sent.push(`${memberId} ${JSON.stringify((body as { loads: object }).loads)}`) }
  }, clock)
  return { clock, subscribers, sent }
}

describe('subscribers to the load of a cell', () => {
  it('publishes to subscribers of the cell only', () => {
    const { subscribers, sent } = startSubscribers()
    subscribers.subscribe('cell-0', 'a')
    subscribers.subscribe('cell-1', 'b')
    subscribers.publish({ cell: 'cell-0', loads: { e: 3 } })
    expect(sent).to.deep.equal(['a {"e":3}'])
  })

  /* Without this, a new subscriber to a busy cell whose load doesn't change would take it for idle. */
  it('sends the last notice to a new subscriber at once, and only once', () => {
    const { subscribers, sent } = startSubscribers()
    subscribers.publish({ cell: 'cell-0', loads: { e: 7 } })
    subscribers.subscribe('cell-0', 'late')
    subscribers.subscribe('cell-0', 'late')
    expect(sent).to.deep.equal(['late {"e":7}'])
  })

  it('removes a subscriber that has not used the cell for a while', async () => {
    const { clock, subscribers, sent } = startSubscribers()
    subscribers.subscribe('cell-0', 'a')
    await clock.advance(11_000)
    subscribers.publish({ cell: 'cell-0', loads: {} })
    expect(sent).to.deep.equal([])
  })
})
