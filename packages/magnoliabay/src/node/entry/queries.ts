/** Handlers that list models and locate entry instances. */
import type { Allowance } from '../allowance'
import type { ConfigProvider } from '../config'
import type { Peers } from '../members'
import type { MemberRecord } from '../members'
import { mayCall } from './authorization'
import { sendJson } from './respond'
import type { Handler } from './types'

const MS_PER_SECOND = 1000
const MAX_LOCATE_ADDRESSES = 3

export function modelsHandler (cfg: ConfigProvider): Handler {
  return function listModels (req, res) {
    const { fleet } = cfg.active()
    const data = [...fleet.model, ...fleet.adapter]
      .filter(model => mayCall(cfg, req.caller.team, model.name))
      .map(model => ({ id: model.name, object: 'model', created: 0, owned_by: 'magnoliabay' }))
    sendJson(res, 200, { object: 'list', data })
  }
}

/**
 * Ranks entry instances for the caller's team, the first ones in different failure domains; leaving instances
 * are excluded. Callers may cache the response for `cacheMs` milliseconds; a leaving instance continues to serve for
 * that long.
 */
export function locateHandler (peers: Peers, allowance: Allowance, cacheMs: number): Handler {
  return function locate (req, res) {
    const byId = new Map(peers.members().filter(member => !member.leaving).map(member => [member.id, member]))
    const ranked = allowance.homeMembers(req.caller.team).flatMap(id => byId.get(id) ?? [])
    const addresses = spreadOverFailureDomains(ranked)
      .slice(0, MAX_LOCATE_ADDRESSES)
      .map(member => ({ address: member.entryAddress, failure_domain: member.failureDomain }))
    sendJson(res, 200, { addresses, keep_seconds: Math.floor(cacheMs / MS_PER_SECOND) })
  }
}

function spreadOverFailureDomains (ranked: readonly MemberRecord[]): MemberRecord[] {
  const isFirstOfDomain = (member: MemberRecord, index: number): boolean =>
    ranked.findIndex(other => other.failureDomain === member.failureDomain) === index
  return [...ranked.filter(isFirstOfDomain), ...ranked.filter((member, index) => !isFirstOfDomain(member, index))]
}
