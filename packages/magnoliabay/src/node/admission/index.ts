/** Authentication of callers: keys and the teams they belong to. */
export { createCallerKey, KEY_RECORDS_PREFIX } from './keys'
export type { CallerKeyRecord, CreatedCallerKey } from './keys'
export { createKeyring } from './keyring'
export type { Caller, Keyring } from './keyring'
