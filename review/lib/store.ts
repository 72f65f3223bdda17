/** The project's stand-in of the platform's store, for the scripts of the review. */
import { createMetadataStoreServer } from '../../packages/standins/src/node/metadataStore'
import { createKvState } from '../../packages/standins/src/node/kv/state'
import { createSystemClock } from '../../packages/magnoliabay/src/node/clock'

export async function startStore () {
  const clock = createSystemClock()
  const state = createKvState({ clock })
  const server = await createMetadataStoreServer({ state, clock })
  const put = (key: string, value: object): void => { state.transact({ compares: [], success: [{ kind: 'put', key, value: JSON.stringify(value), leaseId: '0' }], failure: [] }) }
  const remove = (key: string): void => { state.transact({ compares: [], success: [{ kind: 'delete', range: { key } }], failure: [] }) }
  const read = (key: string): unknown => {
    const entry = state.range({ key })[0]
    return entry === undefined ? undefined : JSON.parse(entry.value) as unknown
  }
  const close = async (): Promise<void> => {
    await server.close()
    state.close()
  }
  return { address: server.address, faults: server.faults, put, remove, read, close }
}
