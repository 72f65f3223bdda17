/** Whether a server has crashed, where connections to it are refused. */
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { ProbeResult } from '../../probe'
import { memberRecord } from '../../serving/__tests__/fixtures'
import { createCrashConfirmation } from '../confirmation'

const ADDRESS = '127.0.0.1:1'

describe('confirmation of a crash', () => {
  const CASES: ReadonlyArray<{ name: string, own: ProbeResult, others: readonly ProbeResult[], hasCrashed: boolean }> = [
    { name: 'is a crash if all are refused', own: 'refused', others: ['refused', 'refused', 'refused'], hasCrashed: true },
    { name: 'is none if the instance connects', own: 'accepted', others: ['refused', 'refused'], hasCrashed: false },
    // Without others, a partition between this instance and the server would look like a crash.
    { name: 'is none if another instance connects', own: 'refused', others: ['refused', 'refused', 'accepted'], hasCrashed: false },
    { name: 'is none if no other instance is refused', own: 'refused', others: ['silent', 'silent'], hasCrashed: false },
    { name: 'is a crash if others are refused and this instance has no path', own: 'silent', others: ['refused', 'refused'], hasCrashed: true },
    // A machine without power does not answer at all.
    { name: 'is none if nobody gets an answer', own: 'silent', others: ['silent', 'silent', 'silent'], hasCrashed: false },
    { name: 'is a crash if a single instance is refused', own: 'refused', others: [], hasCrashed: true }
  ]
  CASES.forEach(({ name, own, others, hasCrashed }) => it(name, async () => {
    const clock = createVirtualClock()
    const network = createMemoryNetwork({ clock })
    const confirmations = [own, ...others].map((result, index) => {
      const id = `i${index}`
      const peers = network.join(memberRecord(id, { failureDomain: `z${index}` }))
      return createCrashConfirmation({ peers, probe: async () => result, random: () => 0 })
    })
    const confirmed = confirmations[0]!(ADDRESS)
    await clock.advance(1000)
    expect(await confirmed).to.equal(hasCrashed)
  }))
})
