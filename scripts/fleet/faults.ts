/** The faults of a run, by name. Each starts while callers send calls, and has ended when `run` resolves. */
import type { Harness } from './harness'

export interface Fault {
  name: string
  what: string
  run (harness: Harness): Promise<void>
}

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms))

const STORE_DOWN_MS = 8000
const PAUSE_MS = 14_000
const CRASHING_PROMPT = 'poison-pill'
const CRASHING_PROMPT_REPEATS = 6
const FLOOD_FACTOR = 5
const BACKOFF_SECONDS = 3
const BACKOFF_FAULT_MS = 9000
/** Rejections a second that a brittle engine bears, and the requests that it has room for. */
const BRITTLE_REJECTIONS = 2
const BRITTLE_ROOM = 3
const BRITTLE_MS = 12_000
/** Time that instances have to hear of it, milliseconds. */
const BRITTLE_DELAY_MS = 3000
const ROLL_STEP_MS = 1000
const STATED_LIMIT = 1
const STATED_LIMIT_MS = 12_000

const killInstance = async (harness: Harness): Promise<void> => {
  await harness.processes.kill(harness.random.pick(harness.processes.live()))
  await pause(2000)
  await harness.addInstance()
}

const takeStoreDown = async (harness: Harness): Promise<void> => {
  await harness.standIns.kv.faults.set({ down: 'refused' })
  await pause(STORE_DOWN_MS)
  await harness.standIns.kv.faults.set({ down: 'no' })
}

const crashEngine = async (harness: Harness): Promise<void> => {
  const engine = harness.random.pick(harness.standIns.engines)
  await engine.state.faults.set({ crash: true })
  await pause(3000)
  await engine.state.faults.set({ crash: false })
  await pause(2000)
}

/** Returns an instance that leads a cell according to the store; a random one if none does. */
const findCellLeader = (harness: Harness): ReturnType<Harness['processes']['live']>[number] => {
  const entries = harness.standIns.kv.state.range({ key: '/magnoliabay/cells/', end: '/magnoliabay/cells0' })
  const leader = harness.processes.live().find(instance => entries.some(entry => entry.key.endsWith('/steward') && entry.value.includes(`"${instance.id}"`)))
  return leader ?? harness.random.pick(harness.processes.live())
}

/** Creates a fault that lasts for `ms` milliseconds. */
const temporaryFault = (name: string, what: string, ms: number, setFault: (harness: Harness, isOn: boolean) => Promise<void>): Fault => ({
  name,
  what,
  run: async harness => {
    await setFault(harness, true)
    await pause(ms)
    await setFault(harness, false)
  }
})

const requestCountOf = (engine: Harness['standIns']['engines'][number]): number => engine.state.records().requests.length

/** The engine with the most requests so far. */
const busiestOf = (harness: Harness): Harness['standIns']['engines'][number] =>
  [...harness.standIns.engines].sort((left, right) => requestCountOf(right) - requestCountOf(left))[0]!

const engineFault = (name: string, what: string, on: object, off: object): Fault => ({
  name,
  what,
  run: async harness => {
    const engine = harness.random.pick(harness.standIns.engines)
    await engine.state.faults.set(on)
    await pause(4000)
    await engine.state.faults.set(off)
  }
})

export const FAULTS: readonly Fault[] = [
  { name: 'none', what: 'nothing fails; the configuration changes once', run: harness => harness.probeConfig() },
  { name: 'kill', what: 'an instance is killed and replaced', run: killInstance },
  {
    name: 'kill-steward',
    what: 'the leader of a cell is killed and replaced',
    run: async harness => {
      await harness.processes.kill(findCellLeader(harness))
      await pause(2000)
      await harness.addInstance()
    }
  },
  {
    name: 'pause-steward',
    what: `the leader of a cell is paused for ${PAUSE_MS / 1000} s, longer than its lease`,
    run: async harness => {
      const instance = findCellLeader(harness)
      harness.processes.pause(instance)
      await pause(PAUSE_MS)
      harness.processes.resume(instance)
      await pause(3000)
    }
  },
  { name: 'store-down', what: `the store refuses connections for ${STORE_DOWN_MS / 1000} s`, run: takeStoreDown },
  temporaryFault('store-slow', 'every store call takes 800 ms longer', 8000,
    (harness, isOn) => harness.standIns.kv.faults.set({ slowMs: isOn ? 800 : 0 })),
  temporaryFault('store-loses-answers', 'store writes take effect, but their responses are lost', 6000,
    (harness, isOn) => harness.standIns.kv.faults.set({ loseAnswers: isOn })),
  {
    name: 'watches-silent',
    what: 'open watches stop delivering events permanently; the configuration changes',
    run: async harness => {
      await harness.standIns.kv.faults.set({ watchSilent: true })
      await harness.probeConfig()
    }
  },
  { name: 'engine-crash', what: 'an engine crashes and restarts', run: crashEngine },
  {
    name: 'engine-dead',
    what: 'the busiest engine crashes permanently, and the instance list still reports it as live',
    run: async harness => {
      await busiestOf(harness).state.faults.set({ crash: true })
      await pause(10_000)
    }
  },
  engineFault('engine-silent', 'connections to an engine stop responding permanently', { silentConnections: true }, { silentConnections: false }),
  engineFault('engine-stall', 'an engine stops sending tokens', { stall: true }, { stall: false }),
  engineFault('engine-crossed', 'an engine sends the responses of other requests', { crossedAnswers: true }, { crossedAnswers: false }),
  engineFault('engine-cut', 'an engine closes the connection before the end of each response', { dieBeforeEnd: true }, { dieBeforeEnd: false }),
  {
    name: 'engine-limited',
    what: `the busiest engine states a limit of ${STATED_LIMIT} request a second for ${STATED_LIMIT_MS / 1000} s`,
    run: async harness => {
      const engine = busiestOf(harness)
      const stated = { engine: engine.id, requestsPerSecond: STATED_LIMIT, fromMs: Date.now() }
      await engine.state.faults.set({ statedLimit: STATED_LIMIT })
      await pause(STATED_LIMIT_MS)
      harness.observations.statedLimits.push({ ...stated, toMs: Date.now() })
      await engine.state.faults.set({ statedLimit: 0 })
    }
  },
  {
    name: 'engine-backoff',
    what: `the busiest engine refuses requests and asks for ${BACKOFF_SECONDS} s of backoff, for ${BACKOFF_FAULT_MS / 1000} s`,
    run: async harness => {
      const engine = busiestOf(harness)
      const backoff = { engine: engine.id, backoffMs: BACKOFF_SECONDS * 1000, fromMs: Date.now() }
      await engine.state.faults.set({ refuse: true, backoffSeconds: BACKOFF_SECONDS })
      await pause(BACKOFF_FAULT_MS)
      harness.observations.backoffs.push({ ...backoff, toMs: Date.now() })
      await engine.state.faults.set({ refuse: false, backoffSeconds: 0 })
    }
  },
  {
    name: 'engine-brittle',
    what: `the busiest engine has room for ${BRITTLE_ROOM} requests and falls over beyond ${BRITTLE_REJECTIONS} rejections a second, for ${BRITTLE_MS / 1000} s`,
    run: async harness => {
      const engine = busiestOf(harness)
      await engine.state.faults.set({ brittleRejections: BRITTLE_REJECTIONS, brittleRoom: BRITTLE_ROOM })
      await pause(BRITTLE_DELAY_MS)
      const before = engine.falls()
      await pause(BRITTLE_MS)
      harness.observations.brittleTimes.push({ engine: engine.id, falls: engine.falls() - before })
      await engine.state.faults.set({ brittleRejections: -1 })
    }
  },
  {
    name: 'engines-rolled',
    what: 'connections to engines break midway, and one engine after the other comes back under its id with another software version',
    run: async harness => {
      for (const engine of harness.standIns.engines) {
        await engine.state.faults.set({ dieAfterFirstByte: true, softwareVersion: 'v2' })
        await pause(ROLL_STEP_MS)
        await engine.state.faults.set({ crash: true })
        await pause(ROLL_STEP_MS)
        await engine.state.faults.set({ crash: false, dieAfterFirstByte: false })
        await pause(ROLL_STEP_MS)
      }
    }
  },
  engineFault('orders-late', 'an engine responds late to orders', { orderAnswer: 'late' }, { orderAnswer: 'normal' }),
  {
    name: 'engine-leaves',
    what: 'an engine leaves',
    run: async harness => {
      harness.drainEngine(harness.random.pick(harness.standIns.engines).id)
      await pause(10_000)
    }
  },
  temporaryFault('list-wrong', 'the instance list omits one instance', 6000,
    (harness, isOn) => harness.standIns.list.state.faults.set({ missesOne: isOn })),
  temporaryFault('weights-slow', 'the weight store is ten times slower', 8000,
    (harness, isOn) => harness.standIns.weights.faults.set({ slowdown: isOn ? 10 : 1 })),
  {
    name: 'rolling',
    what: 'every instance is replaced in turn',
    run: async harness => {
      const old = harness.processes.live()
      for (const instance of old) {
        await harness.addInstance()
        await harness.processes.shutDown(instance)
      }
    }
  },
  {
    name: 'key-withdrawn',
    what: 'a key is withdrawn while its team calls',
    run: async harness => {
      await harness.replaceKey('drivers')
      await pause(6000)
    }
  },
  {
    name: 'poison',
    what: 'one request crashes each engine that runs it, and is sent again',
    run: async harness => {
      await Promise.all(harness.standIns.engines.map(engine => engine.state.faults.set({ crashOnPrompt: CRASHING_PROMPT })))
      for (const attempt of Array.from({ length: CRASHING_PROMPT_REPEATS }, (_, index) => index)) {
        await harness.callers.complete(`${CRASHING_PROMPT} again`)
        await pause(300 + attempt)
      }
      await pause(2000)
    }
  },
  {
    name: 'flood',
    what: `a team sends ${FLOOD_FACTOR} times its rate`,
    run: async harness => {
      harness.callers.flood('yards', FLOOD_FACTOR)
      await pause(8000)
    }
  },
  {
    name: 'store-down+kill',
    what: 'an instance is killed while the store is down',
    run: async harness => {
      const down = takeStoreDown(harness)
      await pause(1500)
      await killInstance(harness)
      await down
    }
  },
  {
    name: 'engine-crash+pause',
    what: 'an engine crashes while a cell leader is paused',
    run: async harness => {
      const instance = findCellLeader(harness)
      harness.processes.pause(instance)
      await crashEngine(harness)
      await pause(PAUSE_MS)
      harness.processes.resume(instance)
      await pause(2000)
    }
  }
]
