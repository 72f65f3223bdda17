import { expect } from 'chai'
import fc from 'fast-check'
import { teamOf } from '../../__tests__/fixtures'
import { IDS, LIMIT, TOLERANCE, WINDOW_MS, createSimulation, faultEvent, maxGrantedInWindow, restartAll, faultOrRollbackEvent } from './support/simulation'
import type { Simulation } from './support/simulation'

/** Largest sum that may be granted in any window, with the tolerance that the settings allow. */
const MAX_GRANTED = LIMIT * (1 + TOLERANCE.ratio) + TOLERANCE.slack

/** Asks for `amount` five times a second, each time at the next member; returns the times of refusals. */
async function askInTurn (simulation: Simulation, seconds: number, amount: number): Promise<number[]> {
  const refusals: number[] = []
  for (let turn = 0; turn < seconds * 5; turn += 1) {
    const taken = simulation.members.get(IDS[turn % IDS.length]!)!.take(simulation.team.current, amount)
    await simulation.clock.advance(200)
    if ((await taken).waitMs > 0) refusals.push(simulation.clock.monotonic())
  }
  return refusals
}

describe('allowance of a team over the fleet', () => {
  it('grants the rate over the window and the burst, at any member', async () => {
    const simulation = createSimulation()
    expect(await simulation.drain(IDS, 100)).to.equal(LIMIT)
  })

  /**
   * Guards against a second allowance while the home is partitioned from all others. Everything is spent through the home
   * before the partition. Afterwards each instance may spend only its equal share, less what it has spent already.
   */
  it('grants no second allowance when the home is partitioned after everything was spent', async () => {
    const simulation = createSimulation()
    const before = await simulation.drain(IDS, 75)
    simulation.others.forEach(id => simulation.network.partition(simulation.home, id))
    const after = await simulation.drain(simulation.others, 25)
    expect(before).to.equal(LIMIT)
    // The spending of the home itself is the only part that is not subtracted from the others' shares.
    expect(after).to.be.at.most(LIMIT / 2)
    expect(before + after).to.be.at.most(LIMIT * 1.5)
  })

  it('grants from equal shares that are within the limit together when the home is partitioned from the start', async () => {
    const simulation = createSimulation()
    simulation.others.forEach(id => simulation.network.partition(simulation.home, id))
    const byOthers = await simulation.drain(simulation.others, 25)
    expect(byOthers).to.equal(3 * Math.floor(LIMIT / 4 / 25) * 25)
    const byHome = await simulation.drain([simulation.home], 25)
    expect(byOthers + byHome).to.be.at.most(LIMIT + LIMIT / 4)
  })

  /**
   * Guards against a second allowance when the home changes: everything is spent, the home is killed, and another
   * instance becomes the home. It starts from the spending that all instances have reported.
   */
  it('starts a new home from the reported spending', async () => {
    const simulation = createSimulation()
    await simulation.drain(simulation.others, 100)
    simulation.exchangeReports()
    simulation.network.kill(simulation.home)
    simulation.network.setRegistered(simulation.home, false)
    await simulation.clock.advance(1)
    expect(await simulation.drain(simulation.others, 100)).to.equal(0)
  })

  /**
   * Guards against a second allowance when the whole fleet restarts while the store is unreachable. A team spends
   * everything, and all processes are killed and restarted at once. Until the new home can read the record, it grants only
   * within the tolerance; then it counts the recorded spending.
   */
  it('grants only within the tolerance after a restart of all processes while the store is unreachable', async () => {
    const simulation = createSimulation()
    await simulation.drain(IDS, 300)
    simulation.setStore({ down: 'refused' })
    await restartAll(simulation, 300)
    const whileAway = await simulation.drain(['m1'], 20)
    simulation.setStore({ down: 'no' })
    await simulation.clock.advance(600)
    expect(whileAway).to.be.at.most((LIMIT * TOLERANCE.ratio + TOLERANCE.slack) / 2)
    expect(await simulation.drain(['m1'], 20)).to.equal(0)
  })

  /**
   * Guards against granting more than the limit to a team that sends many times its rate around a restart of all
   * processes. It spends everything within half a second. All processes are killed and restart 0.9 s later, with the
   * store unreachable for 3 s more. What is granted from then on counts together with the earlier spending in the window.
   */
  it('grants little more to a team that spent everything at once when all are killed while the store is unreachable', async () => {
    const simulation = createSimulation()
    const before = await simulation.drain(IDS, 300)
    simulation.setStore({ down: 'refused' })
    await restartAll(simulation, 900)
    simulation.clock.schedule(3000, () => simulation.setStore({ down: 'no' }))
    const untilWindowEndsMs = WINDOW_MS - simulation.clock.monotonic()
    let again = 0
    for (let askedMs = 0; askedMs < untilWindowEndsMs; askedMs += 155) {
      const taken = simulation.members.get('m1')!.take(simulation.team.current, 20)
      await simulation.clock.advance(155)
      if ((await taken).waitMs === 0) again += 20
    }
    expect(before).to.equal(LIMIT)
    expect(again).to.be.at.most(LIMIT * 0.22)
  })

  /**
   * Guards against a second allowance from a restarted home: it is killed after everything was spent, restarts, and is the
   * home again by its id. It counts everything as spent, and a second's rate becomes free each second.
   */
  it('grants no second allowance from a restarted home', async () => {
    const simulation = createSimulation()
    await simulation.clock.advance(WINDOW_MS)
    await simulation.drain(simulation.others, 100)
    simulation.network.kill(simulation.home)
    simulation.join(simulation.home, { startedAtMs: simulation.clock.now(), incarnation: 'young' })
    await simulation.clock.advance(1)
    expect(await simulation.drain(simulation.others, 100)).to.be.at.most(100)
  })

  /**
   * Guards against several homes of a team when all instances restart at once: until they have read the list of members,
   * each knows only itself and would take itself for the home of every team. Nothing is granted until then.
   */
  it('grants nothing before other members are known', async () => {
    const simulation = createSimulation(false)
    IDS.slice(1).forEach(id => simulation.network.setRegistered(id, false))
    expect((await simulation.members.get('m1')!.take(simulation.team.current, 1)).waitMs).to.be.greaterThan(0)
  })

  it('applies a lowered limit at once, and counts earlier spending against it', async () => {
    const simulation = createSimulation()
    await simulation.drain(IDS, 100)
    simulation.team.current = teamOf('depot', { rate: 10, burst: 20 })
    expect(await simulation.drain(IDS, 10)).to.equal(0)
  })

  it('refunds the units of a request that no server ran', async () => {
    const simulation = createSimulation()
    await simulation.drain(IDS, 100)
    simulation.members.get(simulation.others[0]!)!.refund(simulation.team.current, 100)
    await simulation.clock.advance(5)
    expect(await simulation.drain(IDS, 100)).to.equal(100)
  })

  it('counts nothing for a team without a limit', async () => {
    const simulation = createSimulation()
    simulation.team.current = teamOf('depot', { rate: 0, burst: 0 })
    expect(await simulation.members.get('m1')!.take(simulation.team.current, 1_000_000)).to.deep.equal({ waitMs: 0, decidedBy: 'share' })
  })

  /**
   * Guards against refusing all teams for three seconds after a restart of all processes. A team asks for half of its
   * rate. All processes are killed at once and restart. The new home reads the spending and the reserve from the store,
   * and continues to grant.
   */
  it('refuses nothing to a team within its rate after a restart of all processes', async () => {
    const simulation = createSimulation()
    const refusals: number[] = []
    const ask = async (seconds: number): Promise<void> => { refusals.push(...await askInTurn(simulation, seconds, 10)) }
    await ask(10)
    await restartAll(simulation, 700)
    await ask(4)
    await restartAll(simulation, 700, 2)
    await ask(8)
    expect(refusals).to.deep.equal([])
  })

  it('grants nothing more to a team that spent everything at once when all processes are killed', async () => {
    const simulation = createSimulation()
    const before = await simulation.drain(IDS, 30)
    await restartAll(simulation, 900)
    expect(before).to.equal(LIMIT)
    expect(await simulation.drain(['m1'], 30)).to.equal(0)
  })

  /**
   * Guards against a second allowance when a team spends during an outage of the store. The last record is from before the
   * outage, when the team had spent nothing for a while. It starts to spend during the outage, all processes are killed,
   * and the store returns. The record lacks that spending, so a home must not have granted much beyond its coverage.
   */
  it('grants no second allowance around an outage of the store', async () => {
    const simulation = createSimulation()
    await simulation.drain(IDS, 10)
    await simulation.clock.advance(WINDOW_MS)
    simulation.setStore({ down: 'refused' })
    await simulation.clock.advance(3000)
    const before = await simulation.drain(IDS, 25)
    simulation.setStore({ down: 'no' })
    await restartAll(simulation, 500)
    expect(before).to.be.at.least(100)
    expect(before + await simulation.drain(['m1'], 25)).to.be.at.most(MAX_GRANTED)
  })

  /**
   * Guards against refusing a team within its limit because nothing can be recorded. It asks for nine tenths of its rate
   * while the store is unreachable for 12 s, longer than a window. Its spending at any time matches the last record, so
   * the next home would count enough.
   */
  it('refuses nothing to a team of steady spending in a long outage of the store', async () => {
    const simulation = createSimulation()
    const refused: number[] = []
    const ask = async (seconds: number): Promise<void> => { refused.push(...await askInTurn(simulation, seconds, 18)) }
    await ask(10)
    simulation.setStore({ down: 'refused' })
    await ask(12)
    simulation.setStore({ down: 'no' })
    await ask(4)
    expect(refused).to.deep.equal([])
  })

  /**
   * Guards against refusing a team most of its allowance while the store refuses its home. The store refuses one instance
   * soon after the start, when the record holds little, and serves the others. The home records through a peer, and the
   * next home finds all spending.
   */
  it('records through a peer while the store refuses the home', async () => {
    const simulation = createSimulation()
    await simulation.drain(IDS, 25)
    await simulation.clock.advance(WINDOW_MS)
    simulation.setStoreOf(simulation.home, { down: 'refused' })
    const before = await simulation.drain(IDS, 75)
    await restartAll(simulation, 300)
    expect(before).to.equal(LIMIT)
    expect(await simulation.drain(['m1'], 75)).to.equal(0)
  })

  /**
   * Guards against counting the spending in a partition several times, and refusing a team within its limit. An instance
   * spends from its own share during a partition. Afterwards several of its requests ask the home at once, before the
   * first reply, and each call could carry the same uncounted units.
   */
  it('counts spending in a partition once when several calls are in flight afterwards', async () => {
    const simulation = createSimulation()
    const away = simulation.others[0]!
    simulation.network.partition(simulation.home, away)
    const spentInPartition = await simulation.drain([away], 75)
    simulation.network.heal(simulation.home, away)
    Array.from({ length: 5 }, () => simulation.members.get(away)!.take(simulation.team.current, 15))
    await simulation.clock.advance(200)
    expect(spentInPartition).to.equal(LIMIT / 4)
    expect(await simulation.drain(IDS, 75)).to.equal(LIMIT - spentInPartition - 75)
  })

  /**
   * Guards against a second allowance when wall clocks are wrong: a team spends everything, the wall clock jumps, and all
   * processes restart. By the wall clock the record is old.
   */
  it('counts a record whatever the wall clock says', async () => {
    const simulation = createSimulation()
    const before = await simulation.drain(IDS, 300)
    simulation.clock.stepWallClock(20_000)
    await restartAll(simulation, 300)
    expect(before).to.equal(LIMIT)
    expect(await simulation.drain(['m1'], 20)).to.equal(0)
  })

  /**
   * Guards against a second allowance from an outdated record. A team spends everything, and all processes restart. The
   * new home grants nothing, and could write only its first record. When it ends, the next home would read an outdated
   * record.
   */
  it('updates the record while a home grants nothing', async () => {
    const simulation = createSimulation()
    const before = await simulation.drain(IDS, 100)
    await restartAll(simulation, 300)
    for (let turn = 0; turn < 30; turn += 1) {
      simulation.members.get('m1')!.take(simulation.team.current, 100)
      await simulation.clock.advance(150)
    }
    simulation.network.kill(simulation.home)
    simulation.network.setRegistered(simulation.home, false)
    await simulation.clock.advance(1)
    expect(before).to.equal(LIMIT)
    expect(await simulation.drain(simulation.others, 20)).to.equal(0)
  })

  /**
   * Guards against granting again what a team spent in a partition, after a restart of all processes.
   * 1. A new home counts a full record as if just written. 2. It is partitioned, and the others spend their own shares.
   * 3. After the partition their total is less than what the home counts, so that from totals alone none of it would look
   * uncounted. 4. All are killed; the record holds only old spending, which leaves the window first.
   */
  it('counts spending in a partition even if the home counts more for other reasons', async () => {
    const worst = await maxGrantedInWindow([
      { kind: 'slow-store', instance: 1, durationMs: 2485, afterMs: 2733 },
      { kind: 'restart-one', instance: 3, durationMs: 1954, afterMs: 2239 },
      { kind: 'restart-one', instance: 3, durationMs: 433, afterMs: 2769 },
      { kind: 'lost-answers', instance: 1, durationMs: 339, afterMs: 105 },
      { kind: 'cut-one', instance: 3, durationMs: 809, afterMs: 1085 },
      { kind: 'cut-one', instance: 0, durationMs: 204, afterMs: 2554 },
      { kind: 'restart-all', instance: 3, durationMs: 749, afterMs: 2820 }
    ], 18)
    expect(worst).to.be.at.most(MAX_GRANTED)
  })

  /**
   * With processes killed, restarted or partitioned and store responses lost or late in any order, the sum granted to a
   * team stays within its limit in every window, plus the tolerance of the settings (a tenth, and some units more).
   */
  const SEEDS = [11, 202, 303, 1001, 1004, 1005, 1008, 1012, 1015, 1019, 1020, 1022, 1026, 1028, 1029, 1030, 1080, 1153, 1154, 1167, 2005, 2078, 2101, 2239, 3035]
  SEEDS.forEach(seed => it(`stays within the limit in every window under random faults, seed ${seed}`, async () => {
    await fc.assert(fc.asyncProperty(fc.array(faultEvent, { minLength: 1, maxLength: 8 }), fc.integer({ min: 3, max: 60 }), async (events, amount) => {
      expect(await maxGrantedInWindow(events, amount)).to.be.at.most(MAX_GRANTED)
    }), { seed, numRuns: 40, endOnFailure: true })
  }).timeout(600_000))

  /**
   * Guards against granting any number of requests while the home starts. A team has spent its allowance, and its home is
   * killed and restarts. It has no configuration yet, and so does not know the team when it is asked: only what the other
   * instances may grant without it is granted.
   */
  it('grants nothing from a home that does not know the team yet', async () => {
    const simulation = createSimulation()
    await simulation.drain(IDS, 10)
    simulation.exchangeReports()
    simulation.kill(simulation.home)
    simulation.withoutConfig.add(simulation.home)
    simulation.join(simulation.home, { incarnation: `${simulation.home}-2` })
    await simulation.clock.advance(50)
    const asked = Array.from({ length: 30 }, (_, index) => simulation.members.get(simulation.others[index % simulation.others.length]!)!.take(simulation.team.current, 100))
    await simulation.clock.advance(1000)
    const granted = (await Promise.all(asked)).filter(({ waitMs }) => waitMs === 0).length * 100
    expect(granted).to.be.at.most(TOLERANCE.ratio * LIMIT + TOLERANCE.slack)
  })

  /**
   * Guards against a second allowance when the store is restored from a copy that is older than a team's first record, and all
   * processes restart. No record is left, which looks as if nothing had been spent.
   */
  it('grants no second allowance after a restart of all processes with a store that was restored without the record', async () => {
    const simulation = createSimulation()
    const before = await simulation.drain(IDS, 100)
    simulation.rollBackStore(60_000)
    await restartAll(simulation, 300)
    const after = await simulation.drain(['m1'], 100)
    expect(before + after).to.be.at.most(MAX_GRANTED)
  })

  /**
   * Guards against a second allowance within a window after a restore of the store. The home grants and records, and the
   * store is restored from an older copy that lacks the record. All processes are killed, and the next home finds the
   * older record, or none.
   */
  const ROLLBACK_SEEDS = [5, 17, 101, 404, 909, 2020]
  ROLLBACK_SEEDS.forEach(seed => it(`stays within the limit in every window under random faults and restores of the store, seed ${seed}`, async () => {
    await fc.assert(fc.asyncProperty(fc.array(faultOrRollbackEvent, { minLength: 1, maxLength: 8 }), fc.integer({ min: 3, max: 60 }), async (events, amount) => {
      expect(await maxGrantedInWindow(events, amount)).to.be.at.most(MAX_GRANTED)
    }), { seed, numRuns: 40, endOnFailure: true })
  }).timeout(600_000))
})
