/** Servers that are back before the instance that a crash cut has asked them. */
import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import type { VirtualClock } from '../../clock/virtual'
import { createCrashCheck } from '../crashCheck'
import type { RequestRun } from '../requestRun'
import type { ServingContext } from '../servingContext'
import type { BackendServer } from '../types'
import { serverOf } from './fixtures'

interface Fixture {
  clock: VirtualClock
  listed: Map<string, BackendServer>
  leaving: string[]
  crashes: string[]
  check (server: BackendServer, hasBegun?: boolean): Promise<void>
}

function createFixture (isAccepting: boolean, hasCrashed: boolean): Fixture {
  const clock = createVirtualClock()
  const listed = new Map([['s1', serverOf('s1')]])
  const leaving: string[] = []
  const crashes: string[] = []
  const checkCrash = createCrashCheck({
    clock,
    connections: { isAccepting: async () => isAccepting },
    crashes: { hasCrashed: async () => hasCrashed },
    servers: { get: (id: string) => listed.get(id), leaving: () => leaving },
    streamVersions: { recordAccepting: () => {} }
  } as unknown as ServingContext)
  return {
    clock,
    listed,
    leaving,
    crashes,
    check: (server, hasBegun = false) => {
      const run = { hasBegun, guard: { recordCrash: ({ process }: { process: string }) => { crashes.push(process) } } } as unknown as RequestRun
      return checkCrash(run, server, { sentMs: 0, brokeMs: 1, trial: [] })
    }
  }
}

describe('the check for a crash after a connection broke', () => {
  it('records a crash that is confirmed, unless the answer had begun', async () => {
    const fixture = createFixture(false, true)
    await fixture.check(serverOf('s1'), true)
    expect(fixture.crashes).to.deep.equal([])
    await fixture.check(serverOf('s1'))
    expect(fixture.crashes).to.deep.equal(['s1@1'])
  })

  // An instance that stood still for some seconds asks a server that is back by then: the crash would not count.
  const CASES: ReadonlyArray<{ name: string, change: (fixture: Fixture) => void, crashes: readonly string[] }> = [
    { name: 'whose id another process has by then', change: ({ listed }) => listed.set('s1', serverOf('s1', { bornMs: 2 })), crashes: ['s1@1'] },
    { name: 'that is not listed any more by then', change: ({ listed }) => listed.delete('s1'), crashes: ['s1@1'] },
    { name: 'that is the same process', change: () => {}, crashes: [] },
    {
      name: 'that has left as announced',
      change: ({ listed, leaving }) => {
        listed.delete('s1')
        leaving.push('s1@1')
      },
      crashes: []
    }
  ]
  CASES.forEach(({ name, change, crashes }) => it(`records ${crashes.length === 0 ? 'none' : 'one'} of a server that takes connections, ${name}`, async () => {
    const fixture = createFixture(true, false)
    await fixture.check(serverOf('s1'))
    change(fixture)
    await fixture.clock.advance(6000)
    expect(fixture.crashes).to.deep.equal(crashes)
  }))

  it('records none of a server that had left the list before its connection broke', async () => {
    const fixture = createFixture(true, false)
    fixture.listed.delete('s1')
    await fixture.check(serverOf('s1'))
    await fixture.clock.advance(6000)
    expect(fixture.crashes).to.deep.equal([])
  })
})
