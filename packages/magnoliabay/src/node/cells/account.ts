/**
 * The memory account of one engine. Memory is charged before an order to load is sent, and freed only
 * when the engine has confirmed that the model is gone.
 */

export type ChargeState = 'loading' | 'loaded' | 'unloading'

export interface Charge {
  model: string
  memoryMiB: number
  state: ChargeState
  orderId: string
  /** When the model was last used or loaded, monotonic milliseconds. */
  lastUsedMs: number
}

export interface EngineAccount {
  engine: string
  memoryMiB: number
  charges: Map<string, Charge>
}

export function createEngineAccount (engine: string, memoryMiB: number): EngineAccount {
  return { engine, memoryMiB, charges: new Map() }
}

export function freeMiB (account: EngineAccount): number {
  const charged = [...account.charges.values()].reduce((sum, charge) => sum + charge.memoryMiB, 0)
  return account.memoryMiB - charged
}
