import { createDirectStore, createKvCallCounter, createKvFaults, createKvState } from '@magnoliabay/standins'
import { expect } from 'chai'
import { inBackground } from '../../../background'
import { createVirtualClock } from '../../../clock/virtual'
import { STORE_KEY_PREFIX } from '../../../constants'
import { createInputMonitor } from '../../../inputs'
import { createLogger } from '../../../logger'
import { createMemoryNetwork } from '../../../members/memoryNetwork'
import { Err } from '../../../result'
import type { Store } from '../../../store'
import { configOf, memberRecord, routeOf, serverOf } from '../../__tests__/fixtures'
import { LAST_ORDER_KEY } from '../../placement/leaderRecords'
import { createServerList } from '../../serverList'
import type { ServerList } from '../../serverList'
import type { BackendServer } from '../../types'
import { createSoftwareVersions } from '../softwareVersions'
import { createVersionHistory } from '../versionHistory'
import type { VersionHistory } from '../versionHistory'

/** A stream may be resumed for 40 s. */
const ROUTE = routeOf('/resumable/', { kind: 'stream', isResumable: true, timeoutMs: 10_000 })
const KEEP_MS = 40_000
const PREFIX = `${STORE_KEY_PREFIX}/software-versions/`
const START_MS = 1_700_000_000_000

interface Instance {
  history: VersionHistory
  servers: ServerList
  faults: ReturnType<typeof createKvFaults>
  list (name: string, softwareVersion: string, bornMs?: number): void
  unlist (name: string): void
  mayBegin (name: string): boolean
  kill (): void
  /** Changes in the store do not reach the instance any more, as on one that follows a leader. */
  stopWatching (): void
  /** Writes of records take effect, and their responses are lost. */
  loseWriteResponses (areLost: boolean): void
  /** The next write of records gets no response; the function that is returned carries it out. */
  delayNextWrite (): () => Promise<void>
  /** Number of input messages that were refused. */
  refused (): number
}

/** Instances that share a store and a list of servers; each gets changes of the list on its own. */
function createRig () {
  const clock = createVirtualClock(START_MS)
  const kvState = createKvState({ clock })
  const counter = createKvCallCounter()
  const network = createMemoryNetwork({ clock })

  const start = (id: string, listed: Readonly<Record<string, string>> = {}, isFirstStart = true): Instance => {
    const lines: string[] = []
    const logger = createLogger({ write: line => { lines.push(line) } })
    const faults = createKvFaults()
    const store = createDirectStore(kvState, { clock, faults, counter })
    const peers = network.join(memberRecord(id, { incarnation: `${id} ${clock.monotonic()}` }))
    const entries = new Map<string, BackendServer>()
    const servers = createServerList({ decode: key => entries.get(key), idOf: key => key, isEvacuated: () => false, storeReachableSinceMs: () => -Infinity, clock, logger })
    const add = (name: string, softwareVersion: string, bornMs = clock.now()): void => { entries.set(name, serverOf(name, { softwareVersion, bornMs })) }
    Object.entries(listed).forEach(([name, softwareVersion]) => add(name, softwareVersion))
    servers.snapshot([...entries.keys()].map(key => ({ key, value: '' })))
    const versions = createSoftwareVersions({ servers, clock, logger })
    const stop = new AbortController()
    const stopWatch = new AbortController()
    let areResponsesLost = false
    const watch: Store['watch'] = (prefix, handlers, signal) => store.watch(prefix, handlers, AbortSignal.any([signal, stopWatch.signal]))
    let isNextDelayed = false
    let carryOut = async (): Promise<void> => {}
    const transact: Store['transact'] = async transaction => {
      if (isNextDelayed) {
        isNextDelayed = false
        carryOut = async () => { await store.transact(transaction) }
        return Err({ kind: 'unknown', message: 'No response came.' })
      }
      const result = await store.transact(transaction)
      return areResponsesLost ? Err({ kind: 'unknown', message: 'The response was lost.' }) : result
    }
    const history = createVersionHistory({ store: { ...store, watch, era: kvState.era }, recordStore: { get: store.get, transact }, peers, versions, servers, cfg: { current: () => configOf(1, { routes: [ROUTE] }) }, isFirstStart, isListCurrent: () => true, inputs: createInputMonitor(logger), clock, logger, random: () => 0.5 })
    history.start(stop.signal)
    return {
      history,
      servers,
      faults,
      list: (name, softwareVersion, bornMs) => {
        add(name, softwareVersion, bornMs)
        servers.put({ key: name, value: '' })
      },
      unlist: name => servers.remove(name),
      mayBegin: name => history.mayBegin(servers.get(name)!),
      kill: () => {
        stop.abort()
        inBackground('stop-store', faults.set({ down: 'refused' }))
        network.kill(id)
      },
      stopWatching: () => stopWatch.abort(),
      loseWriteResponses: areLost => { areResponsesLost = areLost },
      delayNextWrite: () => {
        isNextDelayed = true
        return () => carryOut()
      },
      refused: () => lines.filter(line => line.includes(' event=input-refused ')).length
    }
  }
  const entries = () => kvState.range({ key: PREFIX, end: `${PREFIX}~` })
  const recorded = (): string[] => entries().filter(({ key }) => key.startsWith(`${PREFIX}of/`)).map(({ value }) => (JSON.parse(value) as { softwareVersion: string }).softwareVersion).sort()
  const put = (key: string, value: string): void => { kvState.transact({ compares: [], success: [{ kind: 'put', key, value }], failure: [] }) }
  return { clock, kvState, counter, start, entries, recorded, put }
}

const serviceOf = ({ servers }: Instance): string => servers.all()[0]!.service

describe('the history of software versions', () => {
  /** Guards against a price for days with one version: a write for the version and one for the beginning, and no more. */
  it('is written once for each version', async () => {
    const { clock, counter, start, recorded } = createRig()
    const instances = ['i0', 'i1', 'i2'].map(id => start(id, { a: 'v1' }))
    await clock.advance(120_000)
    expect(recorded()).to.deep.equal(['v1'])
    const { reads, writes } = counter.total()
    expect(writes).to.equal(2)
    await clock.advance(600_000)
    expect(counter.total()).to.deep.include({ reads, writes })
    expect(instances.every(({ history }) => history.coversAll(KEEP_MS))).to.equal(true)
  })

  /** Guards against streams that begin at a version that no instance would know of after a restart. */
  it('lets streams begin at a further version only once the store has it', async () => {
    const { clock, start, recorded } = createRig()
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    instance.list('b', 'v2')
    expect(instance.mayBegin('b')).to.equal(false)
    expect(instance.mayBegin('a')).to.equal(true)
    await clock.advance(400)
    expect(instance.mayBegin('b')).to.equal(false)
    expect(recorded()).to.deep.equal(['v1'])
    await clock.advance(200)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
    expect(instance.mayBegin('b')).to.equal(true)
  })

  /** Guards against servers that get no streams at all, where they have replaced all others or the store takes no writes. */
  it('lets streams begin where no server of a recorded version is there, or the store does not take the version', async () => {
    const { clock, start } = createRig()
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    await instance.faults.set({ down: 'refused' })
    instance.list('b', 'v2')
    expect(instance.mayBegin('b')).to.equal(false)
    instance.unlist('a')
    expect(instance.mayBegin('b')).to.equal(true)
    instance.list('a', 'v1')
    await clock.advance(16_000)
    expect(instance.mayBegin('b')).to.equal(true)
  })

  /** Guards against a store that keeps versions for ever, and one that drops them while their streams may be resumed. */
  it('drops a version that has left once its streams cannot be resumed any more', async () => {
    const { clock, start, recorded } = createRig()
    const instance = start('i0', { a: 'v1', b: 'v2' })
    await clock.advance(1000)
    instance.unlist('a')
    await clock.advance(KEEP_MS)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
    await clock.advance(60_000)
    expect(recorded()).to.deep.equal(['v2'])
  })

  /** Guards against a version that stays recorded for ever, since nothing changed in the list after it had left. */
  it('drops a version that has left although the list does not change any more', async () => {
    const { clock, start, recorded } = createRig()
    const instances = ['i0', 'i1', 'i2'].map(id => start(id, { a: 'v1' }))
    await clock.advance(30_000)
    instances.forEach(({ list }) => list('b', 'v2'))
    await clock.advance(KEEP_MS)
    instances.forEach(({ unlist }) => unlist('b'))
    await clock.advance(KEEP_MS)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
    await clock.advance(60_000)
    expect(recorded()).to.deep.equal(['v1'])
  })

  /** Guards against a version that stays recorded for ever, since the instance that should have it dropped was killed before. */
  it('drops a version that has left although the instance that writes is killed', async () => {
    for (const victim of [0, 1, 2]) {
      const { clock, start, recorded } = createRig()
      const instances = ['i0', 'i1', 'i2'].map(id => start(id, { a: 'v1', b: 'v2' }))
      await clock.advance(1000)
      instances.forEach(({ unlist }) => unlist('a'))
      instances.forEach(({ faults }) => inBackground('slow-store', faults.set({ slowMs: 3000 })))
      // Checks are 10 s apart; the second finds the version gone.
      await clock.advance(20_000)
      instances[victim]!.kill()
      instances.forEach(({ faults }) => inBackground('store-back', faults.set({ slowMs: 0 })))
      await clock.advance(KEEP_MS + 60_000)
      expect(recorded(), `instance ${victim} killed`).to.deep.equal(['v2'])
    }
  })

  /** Guards against a version that is dropped while it is listed, since it had left before. */
  it('keeps a version that is listed again', async () => {
    const { clock, start, recorded } = createRig()
    const instance = start('i0', { a: 'v1', b: 'v2' })
    await clock.advance(1000)
    instance.unlist('a')
    await clock.advance(30_000)
    instance.list('a', 'v1')
    await clock.advance(600_000)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
  })

  /** Guards against a listed version that the store drops: the response to the write of its lease was lost, and it was listed again. */
  it('keeps a version that is listed again after the response to a write was lost', async () => {
    const { clock, start, recorded } = createRig()
    const instance = start('i0', { a: 'v1', b: 'v2' })
    await clock.advance(1000)
    instance.stopWatching()
    instance.unlist('a')
    instance.loseWriteResponses(true)
    // Checks are 10 s apart; the second finds the version gone.
    await clock.advance(19_100)
    instance.list('a', 'v1')
    instance.loseWriteResponses(false)
    await clock.advance(600_000)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
  })

  /** Guards against a listed version that the store drops: a write of its lease without a response was carried out once it was listed again. */
  it('keeps a version that is listed again before a write without a response is carried out', async () => {
    const { clock, start, recorded } = createRig()
    const instance = start('i0', { a: 'v1', b: 'v2' })
    await clock.advance(1000)
    instance.stopWatching()
    instance.unlist('a')
    const carryOut = instance.delayNextWrite()
    await clock.advance(19_100)
    instance.list('a', 'v1')
    await clock.advance(3000)
    await carryOut()
    await clock.advance(600_000)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
  })

  /** Guards against conclusions from the history of a program that kept none. */
  it('is incomplete where an earlier program kept none, until all streams of that time are over', async () => {
    const { clock, put, start, entries } = createRig()
    put(LAST_ORDER_KEY, '{}')
    const first = start('i0', { a: 'v1' }, false)
    await clock.advance(20_000)
    expect(first.history.coversAll(KEEP_MS)).to.equal(false)
    first.kill()
    const second = start('i0', { a: 'v1' }, false)
    await clock.advance(1000)
    expect(second.history.coversAll(KEEP_MS)).to.equal(false)
    await clock.advance(KEEP_MS + 20_000)
    expect(second.history.coversAll(KEEP_MS)).to.equal(true)
    expect(entries().some(({ key }) => key.endsWith('begun'))).to.equal(true)
    second.kill()
    const third = start('i0', { a: 'v1' }, false)
    await clock.advance(100)
    expect(third.history.coversAll(KEEP_MS)).to.equal(true)
  })

  /** Guards against a history that is complete only at a system's first start: it may be killed before its second start counts as one. */
  it('is complete from the beginning of a system, whether or not it is said to be the first start', async () => {
    const { clock, put, start } = createRig()
    const first = start('i0', { a: 'v1' }, false)
    await clock.advance(300)
    put(LAST_ORDER_KEY, '{}')
    expect(first.history.coversAll(KEEP_MS)).to.equal(true)
    first.kill()
    const second = start('i0', { a: 'v1' }, false)
    await clock.advance(100)
    expect(second.history.coversAll(KEEP_MS)).to.equal(true)
  })

  /** Guards against conclusions from entries that cannot be read, and against entries that keep the history incomplete for ever. */
  it('is incomplete while it has entries that cannot be read; they are counted, and removed', async () => {
    const { clock, put, start, entries } = createRig()
    start('i0', { a: 'v1' }).kill()
    put(`${PREFIX}begun`, '{"era":0}')
    put(`${PREFIX}of/x/y`, '{"service":')
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    expect(instance.history.coversAll(KEEP_MS)).to.equal(false)
    expect(instance.refused()).to.be.at.least(1)
    await clock.advance(KEEP_MS + 20_000)
    expect(entries().some(({ key }) => key.endsWith('x/y'))).to.equal(false)
  })

  /** Guards against a history that stays without versions which a store restored from an older copy has lost. */
  it('is written again when the store has been restored from an older copy', async () => {
    const { clock, kvState, start, recorded } = createRig()
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    const copy = kvState.snapshot()
    instance.list('b', 'v2')
    await clock.advance(1000)
    kvState.restore(copy)
    await clock.advance(5000)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
    instance.kill()
    const next = start('i0', { a: 'v1', b: 'v2' })
    await clock.advance(100)
    expect(next.history.priorOf(serviceOf(next))).to.deep.equal({ kind: 'none' })
  })

  /** Guards against a restored history that counts as whole without a version that has left and whose streams may be resumed. */
  it('has versions that have left written again when the store has been restored from an older copy', async () => {
    const { clock, kvState, start, recorded } = createRig()
    const instances = ['i0', 'i1', 'i2'].map(id => start(id, { b: 'v2' }))
    await clock.advance(1000)
    const copy = kvState.snapshot()
    instances.forEach(({ list }) => list('a', 'v1'))
    await clock.advance(2000)
    instances.forEach(({ unlist }) => unlist('a'))
    await clock.advance(5000)
    kvState.restore(copy)
    await clock.advance(5000)
    expect(recorded()).to.deep.equal(['v1', 'v2'])
    // Not for longer than its streams may be resumed.
    await clock.advance(2 * KEEP_MS + 60_000)
    expect(recorded()).to.deep.equal(['v2'])
  })

  /** Guards against streams of a version that the store lost while no instance watched: the one before counts as their version. */
  it('names no prior version after the store was restored from an older copy while no instance watched', async () => {
    const { clock, kvState, start } = createRig()
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    const copy = kvState.snapshot()
    instance.list('b', 'v2')
    await clock.advance(1000)
    instance.kill()
    kvState.restore(copy)
    const next = start('i0', { a: 'v1', b: 'v2' })
    await clock.advance(5000)
    expect(next.history.priorOf(serviceOf(next))).to.deep.equal({ kind: 'none' })
    next.kill()
    const second = start('i0', { a: 'v1', b: 'v2' })
    await clock.advance(100)
    expect(second.history.priorOf(serviceOf(second))).to.deep.equal({ kind: 'none' })
  })

  /** Guards against streams that cannot go on since a further version was listed around a restart of all. */
  it('names the version before one that is listed after the start, unless an instance is lost since', async () => {
    const { clock, start } = createRig()
    start('i0', { a: 'v1' }).kill()
    await clock.advance(100)
    const first = start('i0', { a: 'v1' })
    await clock.advance(1000)
    const other = start('i1', { a: 'v1' })
    await clock.advance(1000)
    first.list('b', 'v2')
    expect(first.history.priorOf(serviceOf(first))).to.deep.equal({ kind: 'known', softwareVersion: 'v1' })
    await clock.advance(1000)
    other.kill()
    expect(first.history.priorOf(serviceOf(first))).to.deep.equal({ kind: 'lost' })
  })

  /** Guards against a history that lacks a version whose servers have run for long: streams may have begun there. */
  it('names no prior version where servers of the further one have run for longer than streams may be resumed', async () => {
    const { clock, start } = createRig()
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    instance.kill()
    await clock.advance(1000)
    const next = start('i0', { a: 'v1' })
    await clock.advance(100)
    next.list('b', 'v2', START_MS - 2 * KEEP_MS)
    await clock.advance(100)
    expect(next.history.priorOf(serviceOf(next))).to.deep.equal({ kind: 'none' })
  })

  /** Guards against refused streams where the entries of servers state no start time: such an entry is no sign of an old server. */
  it('names the version before one whose servers state no start time', async () => {
    const { clock, start } = createRig()
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    instance.kill()
    await clock.advance(1000)
    const next = start('i0', { a: 'v1' })
    await clock.advance(100)
    next.list('b', 'v2', 0)
    await clock.advance(100)
    expect(next.history.priorOf(serviceOf(next))).to.deep.equal({ kind: 'known', softwareVersion: 'v1' })
  })

  /** Guards against streams that began at a version which the store did not take, and that count as those of the version before. */
  it('names no prior version where streams may have begun at servers of a further one that the store did not take', async () => {
    const { clock, start } = createRig()
    const instance = start('i0', { a: 'v1' })
    await clock.advance(1000)
    await instance.faults.set({ down: 'refused' })
    const bornMs = clock.now()
    instance.list('b', 'v2', bornMs)
    await clock.advance(17_000)
    expect(instance.mayBegin('b')).to.equal(true)
    instance.kill()
    await clock.advance(1000)
    const next = start('i0', { a: 'v1' })
    next.list('b', 'v2', bornMs)
    await clock.advance(100)
    expect(next.history.priorOf(serviceOf(next))).to.deep.equal({ kind: 'none' })
  })
})
