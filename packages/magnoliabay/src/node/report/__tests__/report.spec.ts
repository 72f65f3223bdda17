import { expect } from 'chai'
import { ALERT_RULES, burnRate, firingRule } from '../burnRate'
import { HOUR_MS, MINUTE_MS, createCounts } from '../counts'
import { renderReportHtml } from '../html'
import { evaluateRequest } from '../objectives'
import type { Observation } from '../objectives'
import { formatReportTable } from '../table'
import type { BurnReport } from '..'
import { EMPTY_FLEET } from '../../config/fleet'

const objective = EMPTY_FLEET.objective

describe('report on error-budget burn', () => {
  // No failure may burn two budgets, and a failure caused by the caller burns none. Otherwise one lost key
  // causes an alert, and one outage pages for several objectives at once.
  const CASES: ReadonlyArray<{ name: string, seen: Partial<Observation>, bad: string[], good: string[] }> = [
    { name: 'answered, warm, in time', seen: { firstTokenMs: 800 }, bad: [], good: ['within-rate', 'availability', 'first-token'] },
    { name: 'answered, warm, late', seen: { firstTokenMs: 900 }, bad: ['first-token'], good: ['within-rate', 'availability'] },
    { name: 'answered, cold', seen: { firstTokenMs: 9000, wasCold: true }, bad: [], good: ['within-rate', 'availability', 'cold-start'] },
    { name: 'cut off', seen: { outcome: 'failed-may-have-run', code: 'answer_cut' }, bad: ['availability'], good: ['within-rate'] },
    { name: 'refused because of overload', seen: { outcome: 'refused-not-run', code: 'overloaded' }, bad: ['within-rate'], good: [] },
    { name: 'over its allowance', seen: { outcome: 'refused-not-run', code: 'over_allowance' }, bad: [], good: [] },
    { name: 'an unknown model', seen: { outcome: 'refused-not-run', code: 'unknown_model' }, bad: [], good: [] },
    { name: 'aborted by its caller', seen: { outcome: 'failed-may-have-run', code: 'caller_gone' }, bad: [], good: [] }
  ]
  CASES.forEach(({ name, seen, bad, good }) => it(`counts a request ${name}`, () => {
    const results = evaluateRequest({ team: 'depot', outcome: 'answered', code: 'ok', wasCold: false, ...seen }, objective)
    expect(results.filter(verdict => !verdict.isGood).map(verdict => verdict.objective)).to.deep.equal(bad)
    expect(results.filter(verdict => verdict.isGood).map(verdict => verdict.objective)).to.deep.equal(good)
  }))

  it('excludes counts older than the window, and adds up the counts of two instances by time', () => {
    let nowMs = 1_700_000_000_000
    const mine = createCounts(() => nowMs)
    const others = createCounts(() => nowMs)
    mine.add('depot', 'availability', false)
    others.add('depot', 'availability', true)
    nowMs += 10 * MINUTE_MS
    mine.add('depot', 'availability', true)
    mine.merge(others.series())
    const sum = (windowMs: number) => mine.sum('depot', 'availability', windowMs)
    expect(sum(5 * MINUTE_MS)).to.deep.equal({ good: 1, bad: 0 })
    expect(sum(HOUR_MS)).to.deep.equal({ good: 2, bad: 1 })
    nowMs += 100 * HOUR_MS
    mine.add('depot', 'availability', true)
    expect(sum(72 * HOUR_MS)).to.deep.equal({ good: 1, bad: 0 })
  })

  // An hour at 2% bad against a target of 99.9% burns at 20 and pages while it lasts. Ten minutes after its end
  // the short window has no failures and the page ends, though the 1 h window still exceeds the rate.
  it('pages during a fast burn, opens a ticket for a slow one, and ignores one bad minute', () => {
    let nowMs = 1_700_000_000_000
    const counts = createCounts(() => nowMs)
    const rule = () => firingRule(windowMs => counts.sum('depot', 'availability', windowMs), 0.999)
    const run = (minutes: number, badOfThousand: number): void => {
      for (let minute = 0; minute < minutes; minute += 1) {
        nowMs += MINUTE_MS
        for (let request = 0; request < 1000; request += 1) counts.add('depot', 'availability', request >= badOfThousand)
      }
    }
    run(360, 0)
    run(1, 20)
    expect(rule()).to.equal(undefined)
    run(60, 20)
    expect(rule()).to.equal(ALERT_RULES[0])
    run(31, 0)
    expect(rule()?.severity).to.not.equal('page')
    run(24 * 60, 4)
    expect(rule()?.severity).to.equal('ticket')
  })

  it('computes a rate of one for a budget that is spent exactly', () => {
    expect(burnRate({ good: 999, bad: 1 }, 0.999)).to.be.closeTo(1, 1e-9)
    expect(burnRate({ good: 0, bad: 0 }, 0.999)).to.equal(0)
  })

  it('shows every line in the page and the table, and escapes names in the page', () => {
    const line = { objective: 'availability' as const, target: 0.999, tally: { good: 90, bad: 10 }, rates: { '5m': 1, '30m': 1, '1h': 1, '2h': 1, '6h': 1, '1d': 1, '3d': 1 }, alert: ALERT_RULES[0], history: [[944_444, 90, 10] as const] }
    const report: BurnReport = { atMs: 944_444 * 30 * MINUTE_MS, instances: ['a'], unheard: ['b<i>'], lines: [{ ...line, team: '<b>' }] }
    const page = renderReportHtml(report)
    expect(page).to.include('&lt;b&gt;').and.not.include('<b>').and.not.include('b<i>')
    expect(page.match(/<rect/g)?.length).to.equal(1)
    expect(page).to.not.match(/src=|href=/)
    expect(formatReportTable(report)).to.include('page: 14.4x over 1h').and.include('90.00%').and.include('b<i>')
  })
})
