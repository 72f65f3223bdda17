import { expect } from 'chai'
import fc from 'fast-check'
import type { InstanceReport } from '../fleetMessages'
import { createFleetTotals } from '../fleetTotals'
import { reportOf } from './fixtures'

const SEED = 7
const SERVERS = ['s1', 's2', 's3']
const MODELS = ['a', 'b']

const anyReport: fc.Arbitrary<InstanceReport> = fc.record({
  inFlight: fc.array(fc.record({ server: fc.constantFrom(...SERVERS), model: fc.constantFrom(...MODELS), count: fc.integer({ min: 1, max: 5 }) }), { maxLength: 4 }),
  demand: fc.array(fc.record({ model: fc.constantFrom(...MODELS), rate: fc.integer({ min: 0, max: 40 }).map(tenths => tenths / 10), waiting: fc.integer({ min: 0, max: 3 }) }), { maxLength: 2 }),
  silentServers: fc.uniqueArray(fc.constantFrom(...SERVERS)).map(servers => servers.map(server => ({ server, tellers: 1 })))
}).map(reportOf)

const sum = (numbers: readonly number[]): number => numbers.reduce((total, each) => total + each, 0)

describe('fleet totals', () => {
  it('equal the sums over the newest report of each instance, after any sequence of reports', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('m1', 'm2', 'm3'), anyReport), { maxLength: 30 }), puts => {
      const totals = createFleetTotals()
      const newest = new Map<string, InstanceReport>()
      puts.forEach(([member, report]) => {
        totals.put(member, report, 0)
        newest.set(member, report)
      })
      const reports = [...newest.values()]
      const inFlight = reports.flatMap(report => report.inFlight)
      const demand = reports.flatMap(report => report.demand)
      SERVERS.forEach(server => {
        const there = inFlight.filter(entry => entry.server === server)
        expect(totals.inFlightAtServer(server)).to.equal(sum(there.map(entry => entry.count)))
        expect(totals.silenceReportCount(server)).to.equal(reports.filter(report => report.silentServers.some(silent => silent.server === server)).length)
        MODELS.forEach(model => expect(totals.inFlight(server, model)).to.equal(sum(there.filter(entry => entry.model === model).map(entry => entry.count))))
      })
      MODELS.forEach(model => {
        expect(totals.inFlightOfModel(model)).to.equal(sum(inFlight.filter(entry => entry.model === model).map(entry => entry.count)))
        expect(totals.demand(model).rate).to.be.closeTo(sum(demand.filter(entry => entry.model === model).map(entry => entry.rate)), 1e-5)
        expect(totals.demand(model).waiting).to.equal(sum(demand.filter(entry => entry.model === model).map(entry => entry.waiting)))
      })
    }), { seed: SEED })
  })

  /**
   * Failure: a model is never unloaded from an engine, since it appears to be in use there.
   * 1. An instance reports a request in flight. 2. The instance terminates. 3. The end of the request is never reported,
   * so the report itself must expire.
   */
  it('drop the report of an instance that no longer reports', () => {
    const totals = createFleetTotals()
    totals.put('m1', reportOf({ inFlight: [{ server: 's1', model: 'a', count: 2 }], demand: [{ model: 'a', rate: 1, waiting: 1 }] }), 0)
    totals.put('m2', reportOf({ inFlight: [{ server: 's1', model: 'a', count: 1 }] }), 2000)
    expect(totals.expire(2500, 3000)).to.deep.equal(['m1'])
    expect(totals.inFlight('s1', 'a')).to.equal(1)
    expect(totals.modelsInDemand()).to.deep.equal([])
    expect(totals.loads()).to.deep.equal([{ server: 's1', count: 1 }])
  })
})
