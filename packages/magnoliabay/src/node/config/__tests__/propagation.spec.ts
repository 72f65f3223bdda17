import { expect } from 'chai'
import { HEADS_PREFIX, chunkKey, digestsOf, parseHead } from '../documents'
import { adaptersToml, change, createConfigFleet, teamToml } from './fakes'
import type { ConfigNode } from './fakes'

const rateOf = (node: ConfigNode): number | undefined => node.configProvider.team('depot')?.tokensPerSecond

type Fleet = ReturnType<typeof createConfigFleet>

async function startThree () {
  const fleet = createConfigFleet()
  const nodes = ['a', 'b', 'c'].map(id => fleet.add(id))
  await fleet.clock.advance(50)
  return { ...fleet, nodes }
}

async function applyRate ({ clock }: Pick<Fleet, 'clock'>, node: ConfigNode, from: number, rate: number): Promise<string> {
  const done = node.committer.apply(change('base', from, teamToml('depot', rate), `rate-${rate}`))
  await clock.advance(10_000)
  const result = await done
  return result.ok ? `version ${result.val.version}` : result.val.kind
}

function rawPut ({ state }: Pick<Fleet, 'state'>, key: string, value: string): void {
  state.transact({ compares: [], success: [{ kind: 'put', key, value }], failure: [] }).unwrap()
}

describe('propagation of accepted configuration versions', () => {
  // Each case is one fault around a change from rate 10 to rate 20. The result that the operator receives must agree
  // with the configuration that is active on every instance half a minute later. `rates` are those of a, b and c.
  interface Case {
    name: string
    disturb: (fleet: Awaited<ReturnType<typeof startThree>>) => Promise<string>
    outcome: string
    rates: number[]
  }
  const CASES: Case[] = [
    { name: 'nothing fails', disturb: fleet => applyRate(fleet, fleet.nodes[0]!, 1, 20), outcome: 'version 2', rates: [20, 20, 20] },
    {
      name: 'the operator saw an older version',
      disturb: fleet => applyRate(fleet, fleet.nodes[0]!, 0, 20),
      outcome: 'conflict',
      rates: [10, 10, 10]
    },
    {
      name: 'the response is lost after the effect',
      disturb: async fleet => {
        await fleet.faults.set({ loseAnswers: true })
        const applying = applyRate(fleet, fleet.nodes[0]!, 1, 20)
        await fleet.clock.advance(600)
        await fleet.faults.set({ loseAnswers: false })
        return await applying
      },
      outcome: 'version 2',
      rates: [20, 20, 20]
    },
    {
      name: 'the store is down before the change and past its timeout',
      disturb: async fleet => {
        await fleet.faults.set({ down: 'refused' })
        return await applyRate(fleet, fleet.nodes[0]!, 1, 20)
      },
      outcome: 'store',
      rates: [10, 10, 10]
    },
    {
      name: 'the store goes down during the change and comes back',
      disturb: async fleet => {
        await fleet.faults.set({ slowMs: 200 })
        const applying = applyRate(fleet, fleet.nodes[0]!, 1, 20)
        await fleet.faults.set({ down: 'refused' })
        await fleet.clock.advance(1000)
        await fleet.faults.set({ down: 'no', slowMs: 0 })
        return await applying
      },
      outcome: 'version 2',
      rates: [20, 20, 20]
    },
    {
      name: 'the store and all watches go down right after the change',
      disturb: async fleet => {
        await fleet.faults.set({ watchSilent: true })
        const applying = fleet.nodes[0]!.committer.apply(change('base', 1, teamToml('depot', 20)))
        await fleet.clock.settle()
        await fleet.faults.set({ down: 'refused' })
        await fleet.clock.advance(10_000)
        const result = await applying
        return result.ok ? `version ${result.val.version}` : result.val.kind
      },
      outcome: 'version 2',
      rates: [20, 20, 20]
    },
    {
      name: 'an instance is disconnected from the store and all peers during two changes',
      disturb: async fleet => {
        fleet.network.partition('a', 'c')
        fleet.network.partition('b', 'c')
        await fleet.faults.set({ watchSilent: true })
        await applyRate(fleet, fleet.nodes[0]!, 1, 15)
        const result = await applyRate(fleet, fleet.nodes[1]!, 2, 20)
        await fleet.clock.advance(60_000)
        fleet.network.heal('a', 'c')
        return result
      },
      outcome: 'version 3',
      rates: [20, 20, 20]
    },
    {
      name: 'the head becomes damaged in the store',
      disturb: async fleet => {
        rawPut(fleet, `${HEADS_PREFIX}base`, '\ufffd\ufffd{"manifest":')
        return 'nothing'
      },
      outcome: 'nothing',
      rates: [10, 10, 10]
    },
    {
      name: 'the head becomes damaged and is repaired by the next change',
      disturb: async fleet => {
        rawPut(fleet, `${HEADS_PREFIX}base`, '{"manifest":{"version":"three"},"inline":{}}')
        return await applyRate(fleet, fleet.nodes[0]!, 1, 20)
      },
      outcome: 'version 2',
      rates: [20, 20, 20]
    },
    {
      name: 'a newer version names a chunk that does not exist',
      disturb: async fleet => {
        const head = parseHead(fleet.state.range({ key: `${HEADS_PREFIX}base` })[0]!.value)!
        const manifest = { ...head.manifest, version: 9, core: 'x'.repeat(43) }
        rawPut(fleet, `${HEADS_PREFIX}base`, JSON.stringify({ manifest, inline: {} }))
        return 'nothing'
      },
      outcome: 'nothing',
      rates: [10, 10, 10]
    }
  ]

  CASES.forEach(({ name, disturb, outcome, rates }) => it(name, async () => {
    const fleet = await startThree()
    await applyRate(fleet, fleet.nodes[0]!, 0, 10)
    const seen = await disturb(fleet)
    await fleet.clock.advance(30_000)
    expect(seen).to.equal(outcome)
    expect(fleet.nodes.map(rateOf)).to.deep.equal(rates)
  }))

  // Two operators saw version 1 and apply changes at the same time at different instances. One receives a conflict
  // with the version that was accepted first; the change of the other becomes active everywhere.
  it('accepts one of two concurrent changes, and answers the other with a conflict', async () => {
    const fleet = await startThree()
    await applyRate(fleet, fleet.nodes[0]!, 0, 10)
    const both = [15, 20].map((rate, index) => fleet.nodes[index]!.committer.apply(change('base', 1, teamToml('depot', rate), `by-${rate}`)))
    await fleet.clock.advance(10_000)
    const results = await Promise.all(both)
    const winner = results.find(result => result.ok)!
    const loser = results.find(result => result.err)!
    expect(loser.val).to.include({ kind: 'conflict', expectedVersion: 1 })
    expect(loser.err && loser.val.kind === 'conflict' && loser.val.current).to.deep.equal(winner.val)
    expect(new Set(fleet.nodes.map(rateOf)).size).to.equal(1)
  })

  // The accepting instance terminates between its write and its response. The operator's program sends the same
  // change to another instance, which must report it as accepted, not as a conflict.
  it('accepts a change once if the accepting instance terminates after the write and the change is sent to another', async () => {
    const fleet = await startThree()
    const req = change('base', 0, teamToml('depot', 10), 'mine')
    fleet.nodes[0]!.committer.apply(req)
    await fleet.clock.settle()
    fleet.network.kill('a')
    fleet.nodes[0]!.stop()
    const again = fleet.nodes[1]!.committer.apply(req)
    await fleet.clock.advance(1000)
    expect((await again).unwrap().version).to.equal(1)
    const later = fleet.nodes[1]!.committer.apply(change('base', 1, teamToml('depot', 30), 'next'))
    await fleet.clock.advance(1000)
    expect((await later).unwrap().version).to.equal(2)
    const third = fleet.nodes[2]!.committer.apply(req)
    await fleet.clock.advance(1000)
    expect((await third).unwrap().version).to.equal(1)
    expect(fleet.nodes.slice(1).map(rateOf)).to.deep.equal([30, 30])
  })

  // A replaced instance starts during an outage of the store. It has no configuration of its own, and must serve
  // with that of its peers, including chunks that are too large for the head.
  it('loads the newest version from peers on an instance that starts while the store is down', async () => {
    const fleet = await startThree()
    const big = fleet.nodes[0]!.committer.apply(change('base', 0, adaptersToml(12_000)))
    await fleet.clock.advance(5000)
    expect((await big).unwrap().adapters.length).to.equal(8)
    await fleet.faults.set({ down: 'refused' })
    const late = fleet.add('d')
    await fleet.clock.advance(5000)
    expect(late.configProvider.active().version).to.equal(1)
    expect(late.configProvider.adapter('a-11999')).to.deep.equal({ name: 'a-11999', model: 'm', memoryMiB: 1 + 11_999 % 97 })
  })

  it('never replaces a newer version by an older one, from whichever source', async () => {
    const fleet = await startThree()
    await applyRate(fleet, fleet.nodes[0]!, 0, 10)
    const old = fleet.state.range({ key: `${HEADS_PREFIX}base` })[0]!.value
    await applyRate(fleet, fleet.nodes[0]!, 1, 20)
    const versions: number[] = []
    fleet.nodes[1]!.configProvider.onChanged(() => versions.push(fleet.nodes[1]!.configProvider.active().version))
    // The store is restored from an old copy, so the watch delivers the version that was active before.
    rawPut(fleet, `${HEADS_PREFIX}base`, old)
    fleet.nodes[1]!.configProvider.publish(parseHead(old)!)
    await fleet.clock.advance(10_000)
    expect(fleet.nodes.map(rateOf)).to.deep.equal([20, 20, 20])
    expect(versions).to.deep.equal([])
    // The next accepted version must be above the active one, or half the fleet would ignore it.
    expect(await applyRate(fleet, fleet.nodes[1]!, 1, 30)).to.equal('version 3')
    expect(fleet.nodes.map(rateOf)).to.deep.equal([30, 30, 30])
  })

  // The head names chunks that are written before it. While one of them is missing, the new version must not
  // become active in part; as soon as a peer or the store has the chunk, the version becomes active in whole.
  it('activates a version with a missing chunk when the chunk becomes available', async () => {
    const fleet = createConfigFleet()
    const first = fleet.add('a')
    await fleet.clock.advance(10)
    const done = first.committer.apply(change('base', 0, adaptersToml(12_000)))
    await fleet.clock.advance(5000)
    const lost = chunkKey(digestsOf((await done).unwrap())[1]!)
    const intactContent = fleet.state.range({ key: lost })[0]!.value
    first.stop()
    fleet.network.kill('a')
    rawPut(fleet, lost, 'not a chunk')
    const second = fleet.add('b')
    await fleet.clock.advance(5000)
    expect(second.configProvider.active().version).to.equal(0)
    rawPut(fleet, lost, intactContent)
    await fleet.clock.advance(2000)
    expect(second.configProvider.active().fleet.adapter.length).to.equal(12_000)
  })

  it('sends a small change with the head, so that other instances need no reads', async () => {
    const fleet = await startThree()
    const done = fleet.nodes[0]!.committer.apply(change('base', 0, adaptersToml(6000)))
    await fleet.clock.advance(5000)
    await done
    const before = fleet.counter.total()
    const next = fleet.nodes[0]!.committer.apply(change('base', 1, teamToml('depot', 20) + adaptersToml(6000)))
    await fleet.clock.advance(5000)
    await next
    const after = fleet.counter.total()
    expect(fleet.nodes.map(rateOf)).to.deep.equal([20, 20, 20])
    expect({ reads: after.reads - before.reads, writes: after.writes - before.writes }).to.deep.equal({ reads: 2, writes: 1 })
  })
})
