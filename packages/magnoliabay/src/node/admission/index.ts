/** Who may come in: keys and the teams they stand for. */
export { createKey, KEYS_PREFIX } from './keys'
export type { KeyRecord, NewKey } from './keys'
export { createKeyring } from './keyring'
export type { Caller, Keyring } from './keyring'
