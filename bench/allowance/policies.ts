/** Three policies for counting a team's tokens across the fleet. */
import { createDirectStore, createKvCallCounter, createKvFaults, createKvState } from '@magnoliabay/standins'
import { createAllowance, TOTAL_UNITS } from '../../packages/magnoliabay/src/node/allowance'
import type { Allowance } from '../../packages/magnoliabay/src/node/allowance'
import { createShare } from '../../packages/magnoliabay/src/node/allowance/share'
import type { Share } from '../../packages/magnoliabay/src/node/allowance/share'
import { createSilentLogger } from '../../packages/magnoliabay/src/node/logger'
import { createMemoryNetwork } from '../../packages/magnoliabay/src/node/members/memoryNetwork'
import type { MemberRecord } from '../../packages/magnoliabay/src/node/members'
import type { BenchClock } from '../virtualTime'
import { INSTANCES, TEAMS } from './workload'
import type { Arrival, BenchTeam } from './workload'

/** Settles a reservation with the tokens that were used. */
export type Settle = (used: number) => void

export interface Policy {
  reserve (arrival: Arrival): Promise<Settle | undefined>
  setStoreDown (isDown: boolean): void
  storeCalls (): number
  peerMessages (): number
}

export type PolicyName = 'shares' | 'static split' | 'central bucket'

/** One-way delay between peers. */
const PEER_DELAY_MS = 1.5
const STORE_DELAY_MS = 3

function fullShare (team: BenchTeam, units: number): Share {
  const share = createShare({ rate: team.rate, burst: team.burst }, 0)
  share.receive(units, team.burst * units / TOTAL_UNITS, 0)
  return share
}

function createShares (clock: BenchClock): Policy {
  let messages = 0
  const network = createMemoryNetwork({
    clock,
    deliveryPolicy: () => {
      messages += 1
      return [PEER_DELAY_MS]
    }
  })
  const faults = createKvFaults()
  const counter = createKvCallCounter()
  const store = createDirectStore(createKvState({ clock }), { clock, faults, counter })
  const fleet = { team: TEAMS.map(team => ({ name: team.name, tokensPerSecond: team.rate, burstTokens: team.burst })) }
  const cfg = { active: () => ({ fleet }), onChanged: () => () => {} }
  const recordOf = (index: number): MemberRecord => ({
    id: `i${index}`, incarnation: `i${index}#1`, startedAtMs: 0, region: 'r', failureDomain: `d${index % 3}`, peerAddress: '', entryAddress: '', operatorAddress: '', leaving: false, processorShare: 0
  })
  const allowances: readonly Allowance[] = Array.from({ length: INSTANCES }, (_, index) => {
    const peers = network.join(recordOf(index))
    return createAllowance({ cfg, peers, store, clock, logger: createSilentLogger() })
  })
  allowances.forEach(allowance => allowance.start(new AbortController().signal))
  return {
    reserve: async ({ team, instance, reserved }) => {
      const allowance = allowances[instance]!
      const reservation = await allowance.reserve(team.name, reserved)
      return reservation.ok ? used => allowance.settle(reservation.val, used) : undefined
    },
    setStoreDown: isDown => faults.set({ down: isDown ? 'refused' : 'no' }),
    storeCalls: () => Object.values(counter.total()).reduce((sum, count) => sum + count, 0),
    peerMessages: () => messages
  }
}

/** Every instance has a fixed, equal share; instances do not communicate. */
function createStaticSplit (clock: BenchClock): Policy {
  const sharesByTeam = new Map(TEAMS.map(team => [team.name, Array.from({ length: INSTANCES }, () => fullShare(team, TOTAL_UNITS / INSTANCES))]))
  return {
    reserve: async ({ team, instance, reserved }) => {
      const share = sharesByTeam.get(team.name)![instance]!
      const ticket = share.tryTake(reserved, clock.monotonic())
      return ticket === undefined ? undefined : used => share.settle(ticket, used, clock.monotonic())
    },
    setStoreDown: () => {},
    storeCalls: () => 0,
    peerMessages: () => 0
  }
}

/** One bucket in the store, with one call to reserve and one to settle; every request is refused while the store is down. */
function createCentralBucket (clock: BenchClock): Policy {
  const buckets = new Map(TEAMS.map(team => [team.name, fullShare(team, TOTAL_UNITS)]))
  let calls = 0
  let isStoreDown = false
  return {
    reserve: async ({ team, reserved }) => {
      if (isStoreDown) return undefined
      calls += 1
      const bucket = buckets.get(team.name)!
      const ticket = bucket.tryTake(reserved, clock.monotonic())
      await new Promise<void>(resolve => { clock.schedule(STORE_DELAY_MS, resolve) })
      if (ticket === undefined) return undefined
      return used => {
        calls += 1
        bucket.settle(ticket, used, clock.monotonic())
      }
    },
    setStoreDown: isDown => { isStoreDown = isDown },
    storeCalls: () => calls,
    peerMessages: () => 0
  }
}

export const POLICIES: Readonly<Record<PolicyName, (clock: BenchClock) => Policy>> = {
  shares: createShares,
  'static split': createStaticSplit,
  'central bucket': createCentralBucket
}
