/** A simulation of the configuration of a few instances, connected in memory, in virtual time. */
import { createDirectStore, createKvCallCounter, createKvFaults, createKvState } from '@magnoliabay/standins'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createMemoryNetwork } from '../../members/memoryNetwork'
import type { MemberRecord } from '../../members'
import { auditWrite } from '../../operators/audit'
import { createConfigCommitter } from '../configCommitter'
import type { ConfigCommitter, ApplyRequest } from '../configCommitter'
import { encodeDocument } from '../documentBody'
import { createConfigProvider } from '../configProvider'
import type { ConfigProvider } from '../configProvider'
import { parseTomlText } from '../schema'

export interface ConfigNode {
  id: string
  configProvider: ConfigProvider
  committer: ConfigCommitter
  stop: () => void
}

export function createConfigFleet () {
  const clock = createVirtualClock()
  const state = createKvState({ clock })
  const faults = createKvFaults()
  const counter = createKvCallCounter()
  const network = createMemoryNetwork({ clock })
  const logger = createSilentLogger()

  const add = (id: string, site = 'tin'): ConfigNode => {
    const peers = network.join(memberOf(id))
    const store = createDirectStore(state, { clock, faults, counter, caller: id })
    const configProvider = createConfigProvider({ store, peers, site, clock, logger })
    const audit = () => auditWrite({ atMs: clock.now(), operator: 'ann', action: 'config-applied', subject: '', detail: '', instance: id })
    const committer = createConfigCommitter({ store, peers, configProvider, audit, clock, logger })
    const controller = new AbortController()
    configProvider.start(controller.signal)
    return { id, configProvider, committer, stop: () => controller.abort() }
  }
  return { clock, state, faults, counter, network, add }
}

export function change (document: string, expectedVersion: number, text: string, changeId = `change-${expectedVersion}`): ApplyRequest {
  const encoded = encodeDocument(document, parseTomlText(`${document}.toml`, text).unwrap()).unwrap()
  return { ...encoded, document, expectedVersion, changeId, operator: 'ann', note: '' }
}

export function teamToml (name: string, tokensPerSecond: number): string {
  return `[[team]]\nname = "${name}"\ntokensPerSecond = ${tokensPerSecond}\nburstTokens = 100\n`
}

/** Returns a model with `count` adapters; 12,000 make several buckets that do not fit into a head. */
export function adaptersToml (count: number): string {
  const adapters = Array.from({ length: count }, (_, index) => `[[adapter]]\nname = "a-${index}"\nmodel = "m"\nmemoryMiB = ${1 + index % 97}`)
  return ['[[model]]\nname = "m"\nmemoryMiB = 8000', ...adapters].join('\n')
}

export function memberOf (id: string): MemberRecord {
  return {
    id, incarnation: `${id}-1`, startedAtMs: 0, region: 'r', failureDomain: 'a', peerAddress: '127.0.0.1:1', entryAddress: '127.0.0.1:2', operatorAddress: '127.0.0.1:3', leaving: false, processorShare: 0
  }
}
