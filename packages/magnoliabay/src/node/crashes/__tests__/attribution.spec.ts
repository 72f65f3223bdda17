/** Which suspects crashes are due to, from records alone. */
import { expect } from 'chai'
import fc from 'fast-check'
import { attribute } from '../attribution'
import type { Candidate, CrashRecord } from '../crashRecords'

const SEED = 20_261_204
const CRASHES_TO_BLAME = 3
const INTERVAL_MS = 1000

const candidate = (sentMs: number): Candidate => ({ teams: new Set(['t']), sentMs, isTrial: false, isCleared: false })
/** Crashes at the times given, of requests that were sent shortly before. */
const crashesWith = (suspectsOfCrashes: ReadonlyArray<readonly string[]>, atMs = (index: number): number => index * INTERVAL_MS, sentBeforeMs = 100): CrashRecord[] =>
  suspectsOfCrashes.map((suspects, index) => ({
    process: `server-${index}@1`,
    service: 's',
    softwareVersion: 'v1',
    atMs: atMs(index),
    candidates: new Map(suspects.map(suspect => [suspect, candidate(atMs(index) - sentBeforeMs)]))
  }))
/** Suspects that are open in enough crashes. */
const frequentIn = (crashes: readonly CrashRecord[]): string[] => {
  const open = crashes.flatMap(({ candidates }) => [...candidates].filter(([, { isCleared }]) => !isCleared).map(([suspect]) => suspect))
  return [...new Set(open)].filter(suspect => open.filter(other => other === suspect).length >= CRASHES_TO_BLAME)
}
const blamedIn = (crashes: readonly CrashRecord[]): string[] => [...attribute(crashes, frequentIn(crashes), CRASHES_TO_BLAME).keys()].sort()

describe('attribution of crashes', () => {
  const CASES: ReadonlyArray<{ name: string, crashes: ReadonlyArray<readonly string[]>, blamed: readonly string[] }> = [
    { name: 'nothing for two crashes', crashes: [['a', 'x'], ['b', 'x']], blamed: [] },
    { name: 'what three crashes have in common', crashes: [['a', 'x'], ['b', 'x'], ['c', 'x']], blamed: ['x'] },
    { name: 'two suspects that nothing tells apart', crashes: [['x', 'y'], ['x', 'y'], ['x', 'y']], blamed: ['x', 'y'] },
    { name: 'the one of two that was alone in a crash', crashes: [['x', 'y'], ['x', 'y'], ['x', 'y'], ['x']], blamed: ['x'] },
    { name: 'both of two that were alone in a crash', crashes: [['x', 'y'], ['x', 'y'], ['x'], ['y']], blamed: ['x', 'y'] },
    { name: 'not a neighbour that was only in crashes of another', crashes: [['x', 'n'], ['x', 'n'], ['x', 'n'], ['x'], ['x']], blamed: ['x'] },
    { name: 'two at once', crashes: [['x'], ['y'], ['x'], ['y'], ['x'], ['y']], blamed: ['x', 'y'] }
  ]
  CASES.forEach(({ name, crashes, blamed }) => it(`blames ${name}`, () => { expect(blamedIn(crashesWith(crashes))).to.deep.equal(blamed) }))

  // A failure domain loses power: servers end at one moment, with requests that were all sent before.
  it('counts crashes once whose requests were all sent before the first of them', () => {
    expect(blamedIn(crashesWith([['x'], ['x'], ['x'], ['x']], index => index * 10, 500))).to.deep.equal([])
  })

  // A part that crashes servers, beside sound ones that are cleared before or after: it must be blamed, and no cleared one.
  it('blames the part that is in all crashes, whatever else is in them, and nothing that is cleared', () => {
    const others = fc.array(fc.uniqueArray(fc.constantFrom('a', 'b', 'c', 'd'), { maxLength: 3 }), { minLength: CRASHES_TO_BLAME, maxLength: 12 })
    fc.assert(fc.property(others, fc.subarray(['a', 'b', 'c', 'd']), (crashes, cleared) => {
      const records = crashesWith(crashes.map(each => [...each, 'x']))
      records.forEach(({ candidates }) => cleared.forEach(suspect => {
        const found = candidates.get(suspect)
        if (found !== undefined) candidates.set(suspect, { ...found, isCleared: true })
      }))
      const blamed = blamedIn(records)
      expect(blamed).to.include('x')
      cleared.forEach(suspect => expect(blamed).to.not.include(suspect))
    }), { seed: SEED, numRuns: 300 })
  })
})
