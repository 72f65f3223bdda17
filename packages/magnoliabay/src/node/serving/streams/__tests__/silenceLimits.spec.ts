import { expect } from 'chai'
import { createVirtualClock } from '../../../clock/virtual'
import { configOf, routeOf } from '../../__tests__/fixtures'
import type { AdmittedRequest } from '../../requestAdmission'
import type { EngineSpec, Service } from '../../types'
import { callerGapMs } from '../callerGap'
import { hasSilenceTimeout, offersMoves } from '../conditions'
import { createSilenceLimits } from '../silenceLimits'

const TARGETS = { latencyObjectiveMs: 503, maxEventGapMs: 300 }
const KEY = { server: 'e1@1', model: 'm1' }
const ENGINE = { slots: 16, models: new Map() } as unknown as EngineSpec
const withEngine = (engine: EngineSpec | undefined): Service => ({ ...configOf(1).services.get('app')!, engine })
const stream = routeOf('/s/', { kind: 'stream', maxEventGapMs: 300 })

describe('silence limits', () => {
  /** Guards against cancelling streams of an engine that is only slow: each cancelled run is paid for twice. */
  it('never times out a first event before 4 times the usual time of the engine and model', () => {
    const limits = createSilenceLimits({ clock: createVirtualClock() })
    Array.from({ length: 10 }, () => limits.recordFirstEvent(KEY, 900))
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.be.closeTo(3600, 1)
  })

  it('never times out a first event before 1.5 s, however fast the engine is', () => {
    const limits = createSilenceLimits({ clock: createVirtualClock() })
    Array.from({ length: 10 }, () => limits.recordFirstEvent(KEY, 50))
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.equal(1500)
  })

  it('allows for times that vary much', () => {
    const limits = createSilenceLimits({ clock: createVirtualClock() })
    Array.from({ length: 20 }, (_, index) => limits.recordFirstEvent(KEY, index % 2 === 0 ? 100 : 1900))
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.be.greaterThan(4 * 1000)
  })

  it('uses what it knows of the engine, then of all engines, then the latency objective', () => {
    const limits = createSilenceLimits({ clock: createVirtualClock() })
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.equal(4 * 503)
    Array.from({ length: 5 }, () => limits.recordFirstEvent({ server: 'e2@1', model: 'm1' }, 450))
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.be.closeTo(1800, 1)
    Array.from({ length: 50 }, () => limits.recordFirstEvent({ server: 'e1@1', model: 'other' }, 800))
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.be.closeTo(3200, 1)
  })

  it('forgets slow times within a minute', async () => {
    const clock = createVirtualClock()
    const limits = createSilenceLimits({ clock })
    Array.from({ length: 10 }, () => limits.recordFirstEvent(KEY, 900))
    await clock.advance(60_000)
    Array.from({ length: 10 }, () => limits.recordFirstEvent(KEY, 100))
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.equal(1500)
  })

  it('never times out a later event before 4 times the gap of the route', () => {
    expect(createSilenceLimits({ clock: createVirtualClock() }).laterTimeoutMs({ ...TARGETS, maxEventGapMs: 400 })).to.equal(1600)
  })

  /** Guards against runs that are moved or repeated since their engine, which is sound, was silent for a second or so. */
  it('never times out a later event before 1.5 s', () => {
    const limits = createSilenceLimits({ clock: createVirtualClock() })
    expect([50, 250, 300].map(maxEventGapMs => limits.laterTimeoutMs({ ...TARGETS, maxEventGapMs }))).to.deep.equal([1500, 1500, 1500])
  })

  /** Guards against unbounded memory: hundreds of engines with hundreds of models each. */
  it('stays within its bound of means, and keeps the latest', () => {
    const limits = createSilenceLimits({ clock: createVirtualClock() })
    Array.from({ length: 20_000 }, (_, index) => limits.recordFirstEvent({ server: `e${index % 900}@1`, model: `m${index}` }, 100))
    Array.from({ length: 5 }, () => limits.recordFirstEvent(KEY, 700))
    expect(limits.firstTimeoutMs(KEY, TARGETS)).to.be.closeTo(2800, 1)
  })
})

describe('how long callers wait', () => {
  const CASES = [
    { name: 'at least 2 s', latencyObjectiveMs: 403, maxEventGapMs: 0, expected: 2000 },
    { name: 'four times the latency objective', latencyObjectiveMs: 2003, maxEventGapMs: 300, expected: 8012 },
    { name: 'eight times the gap', latencyObjectiveMs: 503, maxEventGapMs: 300, expected: 2400 }
  ]
  CASES.forEach(({ name, expected, ...route }) => it(name, () => expect(callerGapMs(route)).to.equal(expected)))
})

describe('conditions of silence timeouts and moves', () => {
  const CASES: Array<{ name: string, admitted: Pick<AdmittedRequest, 'route' | 'service'>, expected: boolean }> = [
    { name: 'a stream of an engine with a gap target', admitted: { route: stream, service: withEngine(ENGINE) }, expected: true },
    { name: 'a stream without a gap target', admitted: { route: { ...stream, maxEventGapMs: 0 }, service: withEngine(ENGINE) }, expected: false },
    { name: 'a stream of a plain service', admitted: { route: stream, service: withEngine(undefined) }, expected: false },
    { name: 'an idempotent request', admitted: { route: { ...stream, kind: 'idempotent' }, service: withEngine(ENGINE) }, expected: false }
  ]
  CASES.forEach(({ name, admitted, expected }) => it(`${expected ? 'times' : 'does not time'} ${name}`, () => expect(hasSilenceTimeout(admitted)).to.equal(expected)))

  it('offers moves only where the configuration states them', () => {
    expect(offersMoves(withEngine(ENGINE))).to.equal(false)
    expect(offersMoves(withEngine(undefined))).to.equal(false)
    expect(offersMoves(withEngine({ ...ENGINE, moves: { bytesPerToken: 1, bandwidthMbps: 1, handleMs: 5000 } }))).to.equal(true)
  })
})
