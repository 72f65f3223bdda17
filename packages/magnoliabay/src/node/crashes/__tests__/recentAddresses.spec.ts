import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createRecentAddresses } from '../recentAddresses'

describe('recent addresses of servers', () => {
  // The entry of a crashed server is removed before another instance is asked about it, which then cannot confirm the crash.
  it('include that of a server that has just left the list, for a while, and no others', async () => {
    const clock = createVirtualClock()
    let listed = ['10.0.0.1:1', '10.0.0.2:1']
    let notify = (): void => {}
    const isServerAddress = createRecentAddresses({ addresses: () => listed, onChanged: listener => { notify = listener }, clock })
    listed = ['10.0.0.2:1']
    notify()
    expect(['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'].map(isServerAddress)).to.deep.equal([true, true, false])
    await clock.advance(11_000)
    expect(['10.0.0.1:1', '10.0.0.2:1'].map(isServerAddress)).to.deep.equal([false, true])
  })
})
