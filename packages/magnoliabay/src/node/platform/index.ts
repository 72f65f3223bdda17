/** What the platform gives: a key-value service and a list of instances. */
export { createEtcdStore } from './etcd'
export { createInstanceListClient } from './instanceListClient'
export type { Store, StoreError, KeyValue, RangeResult, Transaction, WatchEvent, WatchHandlers } from './store'
export type { InstanceList, ListedInstance } from './instanceList'
