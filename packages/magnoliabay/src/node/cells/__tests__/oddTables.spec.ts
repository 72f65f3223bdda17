import * as v from 'valibot'
import { expect } from 'chai'
import { setFaultReporter } from '../../background'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { definePeerCall } from '../../members'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import { memberRecord } from '../../serving/__tests__/fixtures'
import { createCells } from '../cells'

/** A member whose answers have another form, as of another version. */
const tablesCall = definePeerCall<null, unknown>('cells.tables', { req: v.unknown(), res: v.unknown() })

/** Guards against a process that ends, with all of its requests, when a member that connects answers without the form of the call. */
describe('tables of replicas from a member that connects', () => {
  const ANSWERS: readonly unknown[] = [undefined, null, {}, 'none', [null], [{ cell: 'cell-0' }], [{ cell: 'cell-0', fence: 1, version: 1, replicas: [null] }]]
  ANSWERS.forEach(answer => it(`end no process: ${JSON.stringify(answer)}`, async () => {
    const clock = createVirtualClock()
    const network = createMemoryNetwork({ clock })
    const rejections: unknown[] = []
    const onRejection = (reason: unknown): void => { rejections.push(reason) }
    process.on('unhandledRejection', onRejection)
    setFaultReporter(() => {})
    const peers = network.join(memberRecord('a'))
    const unused = {} as never
    const cells = createCells({ store: unused, peers, membership: unused, proofs: unused, directory: unused, engines: unused, cfg: unused, clock, logger: createSilentLogger() })
    network.join(memberRecord('odd')).serve(tablesCall, () => answer)
    network.partition('a', 'odd')
    network.heal('a', 'odd')
    await clock.advance(2000)
    await new Promise(resolve => setImmediate(resolve))
    process.removeListener('unhandledRejection', onRejection)
    expect(rejections).to.deep.equal([])
    expect(cells.replicas.tables().every(({ replicas }) => replicas.every(({ adapters }) => Array.isArray(adapters)))).to.equal(true)
  }))
})
