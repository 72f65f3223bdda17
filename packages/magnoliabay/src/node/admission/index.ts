/** Who may come in: keys and the teams they stand for. */
export { createCallerKey, KEY_RECORDS_PREFIX } from './keys'
export type { CallerKeyRecord, CreatedCallerKey } from './keys'
export { createKeyring } from './keyring'
export type { Caller, Keyring } from './keyring'
