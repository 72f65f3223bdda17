/** Starts the stand-ins that `magnoliabay dev` and the embedded fleet use. */
import { createStandInFleet } from '@magnoliabay/standins'
import type { StandInFleet, StandInFleetOptions } from '@magnoliabay/standins'
import { EMBEDDED_REGION } from './embeddedConfig'

export interface StandInsOptions {
  /** First port of the stand-ins; 0 takes any free ports. @default 0 */
  firstPort?: number
  /** Region of engines and services; its failure domains are `<region>-a`, `-b` and `-c`. @default 'ie-south' */
  region?: string
  /** @default 3 */
  engines?: number
  /** Speed of the weight store. @default that of its stand-in */
  weights?: StandInFleetOptions['weights']
}

const DOMAIN_SUFFIXES: readonly string[] = ['a', 'b', 'c']
const LIST_PORT_OFFSET = 1
const ADMIN_PORT_OFFSET = 2
const ENGINE_PORT_OFFSET = 10
const SERVICE_PORT_OFFSET = 50

export function startStandIns (options: StandInsOptions = {}): Promise<StandInFleet> {
  const { region = EMBEDDED_REGION, firstPort = 0 } = options
  return createStandInFleet({
    region,
    failureDomains: failureDomainsOf(region),
    engines: options.engines,
    weights: options.weights,
    ports: firstPort === 0 ? undefined : portsFrom(firstPort)
  })
}

export function failureDomainsOf (region: string): readonly string[] {
  return DOMAIN_SUFFIXES.map(suffix => `${region}-${suffix}`)
}

/** Returns the addresses of store and instance list, and the one at which faults are injected. */
export function addressesOf (standIns: StandInFleet): { storeUrl: string, listUrl: string, faultsUrl: string } {
  return {
    storeUrl: `http://${standIns.kv.address}`,
    listUrl: `http://${standIns.list.address}/instances`,
    faultsUrl: `http://${standIns.adminAddress}`
  }
}

function portsFrom (first: number): StandInFleetOptions['ports'] {
  return {
    kv: first,
    list: first + LIST_PORT_OFFSET,
    admin: first + ADMIN_PORT_OFFSET,
    firstEngine: first + ENGINE_PORT_OFFSET,
    firstService: first + SERVICE_PORT_OFFSET
  }
}
