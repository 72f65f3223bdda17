/**
 * Tells whether a server has crashed after connections to it broke. Nothing listens at the address of a process that has died,
 * for anyone; an instance that is partitioned from the server may be refused too, while others connect.
 */
import * as v from 'valibot'
import { definePeerCall } from '../members'
import type { MemberRecord, Peers } from '../members'
import type { ProbeResult } from '../probe'

const probeCall = definePeerCall<{ address: string }, { result: ProbeResult }>('crashes.probe-server', { req: v.object({ address: v.string() }), res: v.object({ result: v.string() }) })

/** Other instances that are asked, of several failure domains. */
const ASKED = 3
/** Longer than an attempt to connect takes. */
const ASK_TIMEOUT_MS = 700
/** Refusals that show a crash where this instance itself cannot tell. */
const REFUSALS_OF_OTHERS = 2

export interface CrashConfirmationOptions {
  peers: Pick<Peers, 'self' | 'members' | 'isConnected' | 'call' | 'serve'>
  probe: (address: string) => Promise<ProbeResult>
  /** Returns a number from 0 to below 1. */
  random: () => number
}

/** Returns a function that tells whether the server at an address has crashed. */
export function createCrashConfirmation ({ peers, probe, random }: CrashConfirmationOptions): (address: string) => Promise<boolean> {
  const pending = new Map<string, Promise<boolean>>()
  peers.serve(probeCall, async ({ address }) => ({ result: await probe(address) }))

  /** Picks at random, members of other failure domains first, and one of each. */
  const pickOthers = (): MemberRecord[] => {
    const others = peers.members()
      .filter(({ id, leaving }) => id !== peers.self.id && !leaving && peers.isConnected(id))
      .map(member => ({ member, rank: random() }))
      .sort((left, right) => left.rank - right.rank)
      .map(({ member }) => member)
    const isOfOwnDomain = ({ failureDomain }: MemberRecord): boolean => failureDomain === peers.self.failureDomain
    const isFirstOfDomain = (member: MemberRecord): boolean => others.find(({ failureDomain }) => failureDomain === member.failureDomain) === member
    const first = others.filter(member => !isOfOwnDomain(member) && isFirstOfDomain(member))
    return [...first, ...others.filter(member => !first.includes(member))].slice(0, ASKED)
  }
  const ask = async (member: MemberRecord, address: string): Promise<ProbeResult> => {
    const reply = await peers.call(member.id, probeCall, { address }, { timeoutMs: ASK_TIMEOUT_MS })
    return reply.ok ? reply.val.result : 'silent'
  }
  const confirm = async (address: string): Promise<boolean> => {
    const own = await probe(address)
    if (own === 'accepted') return false
    const others = pickOthers()
    const results = await Promise.all(others.map(member => ask(member, address)))
    if (results.includes('accepted')) return false
    const refusals = results.filter(result => result === 'refused').length
    if (own === 'refused') return refusals > 0 || others.length === 0
    return refusals >= REFUSALS_OF_OTHERS
  }
  return address => {
    const confirming = pending.get(address) ?? confirm(address).finally(() => pending.delete(address))
    pending.set(address, confirming)
    return confirming
  }
}
