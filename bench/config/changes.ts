/** Applies configuration changes and measures the time until they are active on all instances. */
import { request } from 'undici'
import type { Manifest } from '../../packages/magnoliabay/src/node/config'
import { createOperatorClient, prepareTomlDocument } from '../../packages/magnoliabay/src/node/operators/client'
import type { OperatorClient, PreparedChange } from '../../packages/magnoliabay/src/node/operators/client'

export interface BenchInstance {
  entryAddress: string
  operatorAddress: string
}

export interface FleetClient {
  operators: OperatorClient
  /** Operator addresses, polled for the active version. */
  addresses: readonly string[]
  entries: readonly string[]
  key: string
  version: number
  lastManifest?: Manifest
}

const POLL_INTERVAL_MS = 5
const BASE = 'base'

export function createFleetClient (instances: readonly BenchInstance[], key: string): FleetClient {
  const addresses = instances.map(instance => instance.operatorAddress)
  return {
    operators: createOperatorClient({ address: addresses, key }),
    addresses,
    entries: instances.map(instance => instance.entryAddress),
    key,
    version: 0
  }
}

const adapterTomlByCount = new Map<number, string>()

/** Returns a base document with one team, whose rate the changes vary, and `adapters` adapters of forty models. */
export function baseToml (rate: number, adapters: number): string {
  const models = Array.from({ length: 40 }, (_, index) => `[[model]]\nname = "model-${index}"\nmemoryMiB = 16000\n`)
  return `[[team]]\nname = "depot"\ntokensPerSecond = ${rate + 100}\nburstTokens = 1000\n\n${models.join('\n')}\n${adaptersToml(adapters)}`
}

/** Returns the base document with one of its adapters changed. */
export function adapterChange (adapters: number): string {
  return baseToml(0, adapters).replace('name = "adapter-00017"\nmodel = "model-17"', 'name = "adapter-00017"\nmodel = "model-3"')
}

function adaptersToml (count: number): string {
  const cached = adapterTomlByCount.get(count)
  if (cached !== undefined) return cached
  const text = Array.from({ length: count }, (_, index) =>
    `[[adapter]]\nname = "adapter-${String(index).padStart(5, '0')}"\nmodel = "model-${index % 40}"\nmemoryMiB = ${32 + index % 200}\n`).join('\n')
  adapterTomlByCount.set(count, text)
  return text
}

/** Applies a change and returns the milliseconds until the last instance reports it as active. */
export async function measureActivationMs (fleet: FleetClient, text: string): Promise<number> {
  const change: PreparedChange = { ...prepareTomlDocument(BASE, text), document: BASE, expectedVersion: fleet.version, changeId: `bench-${fleet.version}`, note: '' }
  const startedMs = performance.now()
  const manifest = await fleet.operators.apply(change, fleet.lastManifest)
  const { version } = manifest
  fleet.lastManifest = manifest
  fleet.version = version
  const times = await Promise.all(fleet.addresses.map(async address => {
    while (await versionAt(address, fleet.key) < version) await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
    return performance.now() - startedMs
  }))
  return Math.max(...times)
}

async function versionAt (address: string, key: string): Promise<number> {
  const res = await request(`http://${address}/operator/status`, { headers: { authorization: `Bearer ${key}` } })
  const status = await res.body.json() as { documents: Array<{ document: string, version: number }> }
  return status.documents.find(({ document }) => document === BASE)?.version ?? 0
}
