import { expect } from 'chai'
import fc from 'fast-check'
import { callAt, checkInvariants } from './support/invariants'
import type { Caller } from './support/invariants'
import { advance, createWorld } from './support/world'
import type { World, WorldInstance } from './support/world'

/*
 * Callers ask for more models than fit, while faults come in any order and together: instances die, pause and come
 * back, the store is down, slow or loses answers, engines restart, orders are answered late, twice or never. Every
 * caller must be answered or refused by its deadline. At every step the engines' own account must show neither an
 * overcommit nor a replica beyond what was decided, and no engine may use more than its steward charges.
 */

const DECIDED = { m1: 1, m2: 1, m3: 2, m4: 1, m5: 2 }
const FLEET = { model: Object.entries(DECIDED).map(([name, maxReplicas], index) => ({ name, maxReplicas, memoryMiB: 10_000 + 4000 * index })) }
const PATIENCE_MS = 15_000
const RUNS = Number(process.env.RUNS ?? 12)

type Step =
  | { kind: 'call', instance: number, model: string }
  | { kind: 'wait', ms: number }
  | { kind: 'kill' | 'pause' | 'leave', instance: number }
  | { kind: 'resume' | 'add' }
  | { kind: 'store', faults: { down?: 'no' | 'refused', slowMs?: number, loseAnswers?: boolean } }
  | { kind: 'engine', engine: number, faults: { crash?: boolean, orderAnswer?: 'normal' | 'late' | 'twice' | 'never', orderDelayMs?: number, failLoads?: boolean } }
  | { kind: 'list', faults: { missesOne?: boolean, showsGone?: boolean } }
  | { kind: 'weights', slowdown: number }

const index = fc.nat(5)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('call' as const), instance: index, model: fc.constantFrom(...Object.keys(DECIDED)) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.constantFrom(3, 100, 700, 3000, 12_000) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('kill' as const, 'pause' as const, 'leave' as const), instance: index }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('resume' as const, 'add' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('store' as const), faults: fc.constantFrom({ down: 'refused' as const }, { down: 'no' as const, slowMs: 0, loseAnswers: false }, { slowMs: 600 }, { loseAnswers: true }) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('engine' as const), engine: index, faults: fc.constantFrom({ crash: true }, { crash: false }, { orderAnswer: 'late' as const }, { orderAnswer: 'twice' as const }, { orderAnswer: 'never' as const }, { orderAnswer: 'normal' as const, orderDelayMs: 0, failLoads: false }, { orderDelayMs: 2000 }, { failLoads: true }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('list' as const), faults: fc.constantFrom({ missesOne: true }, { missesOne: false, showsGone: false }, { showsGone: true }) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('weights' as const), slowdown: fc.constantFrom(1, 10) }) }
)

interface Run {
  world: World
  callers: Caller[]
  paused: WorldInstance[]
  added: number
}

const LEAST_AWAKE = 2
const awake = (run: Run): WorldInstance[] => run.world.instances().filter(instance => !run.paused.includes(instance) && !instance.member.leaving)
const pick = <T>(items: readonly T[], at: number): T => items[at % items.length]!

type Handlers = { [Kind in Step['kind']]: (run: Run, step: Extract<Step, { kind: Kind }>) => unknown }

function endOne (run: Run, at: number, end: (instance: WorldInstance) => void): void {
  if (awake(run).length > LEAST_AWAKE) end(pick(awake(run), at))
}

const handlers: Handlers = {
  call: (run, { instance, model }) => { run.callers.push(callAt(run.world, pick(awake(run), instance).id, model, PATIENCE_MS)) },
  wait: (run, { ms }) => advance(run.world, ms, () => checkRun(run), Math.min(ms, 100)),
  kill: (run, { instance }) => endOne(run, instance, victim => abandonCallers(run, victim, victim.kill)),
  leave: (run, { instance }) => endOne(run, instance, victim => abandonCallers(run, victim, victim.leave)),
  pause: (run, { instance }) => endOne(run, instance, victim => abandonCallers(run, victim, () => {
    run.paused.push(victim)
    victim.pause()
  })),
  resume: run => run.paused.shift()?.resume(),
  add: run => {
    if (run.world.instances().length < 6) run.world.add(`more-${run.added++}`)
  },
  store: (run, { faults }) => run.world.store.set(faults),
  engine: (run, { engine, faults }) => pick(run.world.engines, engine).faults.set(faults),
  list: (run, { faults }) => run.world.list.faults.set(faults),
  weights: (run, { slowdown }) => run.world.weights.faults.set({ slowdown })
}

/** Callers of an instance that ends or stops see their connection end: nothing answers them any more. */
function abandonCallers (run: Run, victim: WorldInstance, end: () => unknown): void {
  run.callers = run.callers.filter(caller => caller.instance !== victim.id)
  end()
}

function checkRun (run: Run): void {
  checkInvariants(run.world, DECIDED)
  const late = run.callers.filter(caller => caller.outcome === 'open' && caller.deadlineMs < run.world.clock.monotonic())
  expect(late, 'callers without an answer').to.deep.equal([])
}

async function heal (run: Run): Promise<void> {
  const { world } = run
  run.paused.forEach(instance => instance.resume())
  run.paused = []
  await Promise.all([world.store.reset(), world.list.faults.reset(), world.weights.faults.reset(), ...world.engines.map(engine => engine.faults.reset())])
}

async function play (checksFence: boolean, steps: readonly Step[]): Promise<void> {
  const world = createWorld({ fleet: FLEET, instances: 4, engines: 3, engine: { memoryMiB: 30_000, checksFence } })
  const run: Run = { world, callers: [], paused: [], added: 0 }
  await advance(world, 6000)
  for (const next of steps) {
    const handle = handlers[next.kind] as (run: Run, step: Step) => unknown
    await handle(run, next)
    checkRun(run)
  }
  await heal(run)
  await advance(world, 90_000, () => checkRun(run), 500)
  const last = callAt(world, world.instances()[0]!.id, 'm1', 30_000)
  await advance(world, 31_000, () => checkRun(run))
  expect(last.outcome, 'a call after everything has healed').to.equal('served')
  world.close()
}

describe('cells under random faults', () => {
  [{ checksFence: true, seed: 20_261 }, { checksFence: false, seed: 20_262 }].forEach(({ checksFence, seed }) =>
    it(`holds what was decided, engines ${checksFence ? 'check' : 'ignore'} fences, seed ${seed}`, async () => {
      const runs = fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), async steps => await play(checksFence, steps))
      await fc.assert(runs, { seed: Number(process.env.SEED ?? seed), numRuns: RUNS })
    }).timeout(120_000))
})
