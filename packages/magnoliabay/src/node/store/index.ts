/** What the platform gives: a key-value service and a list of instances. */
export { createEtcdStore } from './etcd'
export { createBudgetedStore } from './budget'
export type { StoreCallReport } from './budget'
export { createInstanceListClient } from './instanceListClient'
export type { Compare, PutOperation, TransactionResult, Store, StoreCallOptions, StoreError, StoreErrorKind, StorePriority, StoreResult, KeyValue, RangeResult, Transaction, WatchEvent, WatchFeed, WatchHandlers, WriteOperation } from './store'
export type { InstanceList, ListedInstance } from './instanceList'
