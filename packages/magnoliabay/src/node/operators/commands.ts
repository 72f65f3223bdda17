/** What operators change: keys and the configuration. Everything else asks (`queries.ts`). */
import { createKey, KEYS_PREFIX } from '../admission'
import type { KeyRecord, Keyring, NewKey } from '../admission'
import type { Clock } from '../clock'
import { FLEET_KEY, fleetSchema, parseConfig } from '../config'
import type { ConfigError } from '../config'
import type { Store, StoreError } from '../platform'
import { Err, Ok } from '../result'
import type { Result } from '../result'

export type OperatorError =
  | { kind: 'store', cause: StoreError }
  | { kind: 'unknown-key' }
  | { kind: 'config', cause: ConfigError }

export interface OperatorCommands {
  createKey (team: string): Promise<Result<NewKey, OperatorError>>
  withdrawKey (keyId: string): Promise<Result<KeyRecord, OperatorError>>
  /** Accepts a configuration and returns its version. */
  applyConfig (file: string, text: string): Promise<Result<number, OperatorError>>
}

export interface OperatorCommandsOptions {
  store: Store
  keyring: Keyring
  clock: Clock
}

export function createOperatorCommands (options: OperatorCommandsOptions): OperatorCommands {
  const { store, keyring, clock } = options
  const put = async (key: string, value: string): Promise<Result<number, OperatorError>> => {
    const written = await store.transact({ compares: [], writes: [{ kind: 'put', key, value }] }, { priority: 'config' })
    return written.ok ? Ok(written.val.revision) : Err({ kind: 'store', cause: written.val })
  }
  return {
    createKey: async team => {
      const created = createKey(team, clock.now())
      const written = await put(KEYS_PREFIX + created.record.id, JSON.stringify(created.record))
      return written.map(() => created)
    },
    withdrawKey: async keyId => {
      keyring.withdraw({ keyId, atMs: clock.now() })
      const found = await store.get(KEYS_PREFIX + keyId, { priority: 'config' })
      if (found.err) return Err({ kind: 'store', cause: found.val })
      if (found.val === undefined) return Err({ kind: 'unknown-key' })
      const record: KeyRecord = { ...JSON.parse(found.val.value) as KeyRecord, withdrawnAtMs: clock.now() }
      const written = await put(KEYS_PREFIX + keyId, JSON.stringify(record))
      return written.map(() => record)
    },
    applyConfig: async (file, text) => {
      const checked = parseConfig(file, text, fleetSchema)
      if (checked.err) return Err({ kind: 'config', cause: checked.val })
      return await put(FLEET_KEY, JSON.stringify(checked.val))
    }
  }
}
