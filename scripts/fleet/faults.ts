/** The faults that a run goes through, by name. Each begins while callers call, and is over when `run` resolves. */
import type { World } from './world'

export interface Fault {
  name: string
  what: string
  run (world: World): Promise<void>
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

const STORE_DOWN_MS = 8000
const PAUSE_MS = 14_000
const POISON = 'poison-pill'
const POISON_REPEATS = 6
const FLOOD_FACTOR = 5

const killOne = async (world: World): Promise<void> => {
  await world.processes.kill(world.random.pick(world.processes.live()))
  await pause(2000)
  await world.addInstance()
}

const storeDown = async (world: World): Promise<void> => {
  await world.standIns.kv.faults.set({ down: 'refused' })
  await pause(STORE_DOWN_MS)
  await world.standIns.kv.faults.set({ down: 'no' })
}

const crashEngine = async (world: World): Promise<void> => {
  const engine = world.random.pick(world.standIns.engines)
  await engine.state.faults.set({ crash: true })
  await pause(3000)
  await engine.state.faults.set({ crash: false })
  await pause(2000)
}

/** The instance that holds most in the store's own eyes: a key whose value names it. */
const busiest = (world: World): ReturnType<World['processes']['live']>[number] => {
  const entries = world.standIns.kv.state.range({ key: '/magnoliabay/cells/', end: '/magnoliabay/cells0' })
  const named = world.processes.live().find(instance => entries.some(entry => entry.key.endsWith('/steward') && entry.value.includes(`"${instance.id}"`)))
  return named ?? world.random.pick(world.processes.live())
}

/** A fault that is switched on, stays for a while, and is switched off. */
const switched = (name: string, what: string, ms: number, turn: (world: World, isOn: boolean) => Promise<void>): Fault => ({
  name,
  what,
  run: async world => {
    await turn(world, true)
    await pause(ms)
    await turn(world, false)
  }
})

const requestsAt = (engine: World['standIns']['engines'][number]): number => engine.state.records().requests.length

const engineFault = (name: string, what: string, on: object, off: object): Fault => ({
  name,
  what,
  run: async world => {
    const engine = world.random.pick(world.standIns.engines)
    await engine.state.faults.set(on)
    await pause(4000)
    await engine.state.faults.set(off)
  }
})

export const FAULTS: readonly Fault[] = [
  { name: 'none', what: 'nothing fails; the configuration changes once', run: world => world.probeConfig() },
  { name: 'kill', what: 'an instance is killed and replaced', run: killOne },
  {
    name: 'kill-steward',
    what: 'the steward of a cell is killed and replaced',
    run: async world => {
      await world.processes.kill(busiest(world))
      await pause(2000)
      await world.addInstance()
    }
  },
  {
    name: 'pause-steward',
    what: `the steward of a cell is stopped for ${PAUSE_MS / 1000} s, past its lease`,
    run: async world => {
      const instance = busiest(world)
      world.processes.pause(instance)
      await pause(PAUSE_MS)
      world.processes.resume(instance)
      await pause(3000)
    }
  },
  { name: 'store-down', what: `the store refuses connections for ${STORE_DOWN_MS / 1000} s`, run: storeDown },
  switched('store-slow', 'every call of the store takes 800 ms longer', 8000,
    (world, isOn) => world.standIns.kv.faults.set({ slowMs: isOn ? 800 : 0 })),
  switched('store-loses-answers', 'writes take effect, answers are lost', 6000,
    (world, isOn) => world.standIns.kv.faults.set({ loseAnswers: isOn })),
  {
    name: 'watches-silent',
    what: 'open watches go silent for good; the configuration changes',
    run: async world => {
      await world.standIns.kv.faults.set({ watchSilent: true })
      await world.probeConfig()
    }
  },
  { name: 'engine-crash', what: 'an engine dies and starts anew', run: crashEngine },
  {
    name: 'engine-dead',
    what: 'the busiest engine dies for good, and the list goes on saying that it lives',
    run: async world => {
      const [busiestEngine] = [...world.standIns.engines].sort((left, right) => requestsAt(right) - requestsAt(left))
      await busiestEngine!.state.faults.set({ crash: true })
      await pause(10_000)
    }
  },
  engineFault('engine-silent', 'connections to an engine go silent for good', { silentConnections: true }, { silentConnections: false }),
  engineFault('engine-stall', 'an engine stops sending tokens', { stall: true }, { stall: false }),
  engineFault('engine-crossed', 'an engine answers other requests', { crossedAnswers: true }, { crossedAnswers: false }),
  engineFault('engine-cut', 'an engine breaks off before the end of each answer', { dieBeforeEnd: true }, { dieBeforeEnd: false }),
  engineFault('orders-late', 'an engine answers orders late', { orderAnswer: 'late' }, { orderAnswer: 'normal' }),
  {
    name: 'engine-leaves',
    what: 'an engine leaves',
    run: async world => {
      world.leaveEngine(world.random.pick(world.standIns.engines).id)
      await pause(10_000)
    }
  },
  switched('list-wrong', 'the instance list leaves one out', 6000,
    (world, isOn) => world.standIns.list.state.faults.set({ missesOne: isOn })),
  switched('weights-slow', 'the weight store is ten times slower', 8000,
    (world, isOn) => world.standIns.weights.faults.set({ slowdown: isOn ? 10 : 1 })),
  {
    name: 'rolling',
    what: 'every instance is replaced in turn',
    run: async world => {
      const old = world.processes.live()
      for (const instance of old) {
        await world.addInstance()
        await world.processes.shutDown(instance)
      }
    }
  },
  {
    name: 'key-withdrawn',
    what: 'a key is withdrawn while its team calls',
    run: async world => {
      await world.replaceKey('drivers')
      await pause(6000)
    }
  },
  {
    name: 'poison',
    what: 'one request crashes each engine that runs it, and is sent again',
    run: async world => {
      await Promise.all(world.standIns.engines.map(engine => engine.state.faults.set({ crashOnPrompt: POISON })))
      for (const attempt of Array.from({ length: POISON_REPEATS }, (_, index) => index)) {
        await world.callers.complete(`${POISON} again`)
        await pause(300 + attempt)
      }
      await pause(2000)
    }
  },
  {
    name: 'flood',
    what: `a team sends ${FLOOD_FACTOR} times its rate`,
    run: async world => {
      world.callers.flood('yards', FLOOD_FACTOR)
      await pause(8000)
    }
  },
  {
    name: 'store-down+kill',
    what: 'the store is down, and an instance dies meanwhile',
    run: async world => {
      const down = storeDown(world)
      await pause(1500)
      await killOne(world)
      await down
    }
  },
  {
    name: 'engine-crash+pause',
    what: 'a steward is stopped, and an engine dies meanwhile',
    run: async world => {
      const instance = busiest(world)
      world.processes.pause(instance)
      await crashEngine(world)
      await pause(PAUSE_MS)
      world.processes.resume(instance)
      await pause(2000)
    }
  }
]
