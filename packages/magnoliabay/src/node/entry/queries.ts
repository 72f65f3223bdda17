/** What callers may ask: which models there are, and which entry instance to use. */
import type { Allowance } from '../allowance'
import type { ConfigHolder } from '../config'
import type { Peers } from '../members'
import type { MemberRecord } from '../members'
import { mayCall } from './access'
import { sendJson } from './respond'
import type { Handler } from './types'

/** How long callers keep an answer of locate, in seconds. */
const LOCATE_KEEP_SECONDS = 30
const LOCATE_ADDRESSES = 3

export function modelsHandler (cfg: ConfigHolder): Handler {
  return function listModels (req, res) {
    const { fleet } = cfg.inForce()
    const data = [...fleet.model, ...fleet.adapter]
      .filter(model => mayCall(cfg, req.caller.team, model.name))
      .map(model => ({ id: model.name, object: 'model', created: 0, owned_by: 'magnoliabay' }))
    sendJson(res, 200, { object: 'list', data })
  }
}

/** Ranks entry instances for the caller's team, the first ones in different failure domains. */
export function locateHandler (peers: Peers, allowance: Allowance): Handler {
  return function locate (req, res) {
    const byId = new Map(peers.members().map(member => [member.id, member]))
    const ranked = allowance.homes(req.caller.team).map(id => byId.get(id)!)
    const addresses = spreadOverDomains(ranked)
      .slice(0, LOCATE_ADDRESSES)
      .map(member => ({ address: member.entryAddress, failure_domain: member.failureDomain }))
    sendJson(res, 200, { addresses, keep_seconds: LOCATE_KEEP_SECONDS })
  }
}

function spreadOverDomains (ranked: readonly MemberRecord[]): MemberRecord[] {
  const isFirstOfDomain = (member: MemberRecord, index: number): boolean =>
    ranked.findIndex(other => other.failureDomain === member.failureDomain) === index
  return [...ranked.filter(isFirstOfDomain), ...ranked.filter((member, index) => !isFirstOfDomain(member, index))]
}
