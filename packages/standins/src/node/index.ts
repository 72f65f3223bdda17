/**
 * Stand-ins for the external systems: key-value service, instance list, weight store, engines, plain services.
 */
export * from './admin'
export * from './engine'
export * from './faults'
export * from './fleet'
export * from './kv'
export * from './lateServer'
export * from './list'
export * from './loopbackProxy'
export * from './metadataStore'
export * from './oddServer'
export * from './platformEngine'
export * from './random'
export * from './service'
export * from './slowServer'
export * from './streamCaller'
export * from './weights'
