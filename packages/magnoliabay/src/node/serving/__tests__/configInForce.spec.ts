import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createConfigInForce } from '../configInForce'
import type { ConfigInForce } from '../configInForce'
import type { ServingConfig } from '../types'
import { configOf, routeOf, teamOf } from './fixtures'

function holding (documents: Record<string, ServingConfig>): ConfigInForce {
  return createConfigInForce({ decode: text => documents[text], clock: createVirtualClock(), logger: createSilentLogger() })
}

describe('the configuration in force', () => {
  /**
   * A withdrawn key works again for a while.
   * 1. Version 8 withdraws it. 2. A peer that lags, or an answer that was late, brings version 7. 3. It is not taken.
   */
  it('never goes back, wherever an older version comes from', () => {
    const cfg = holding({ seven: configOf(7), eight: configOf(8, { teams: [teamOf('depot', { keys: ['new'] })] }) })
    expect(cfg.offer('seven', 'store')).to.equal(true)
    expect(cfg.offer('eight', 'peer')).to.equal(true)
    expect(cfg.offer('seven', 'store')).to.equal(false)
    expect(cfg.version()).to.equal(8)
    expect(cfg.teamOf('key-of-depot')).to.equal(undefined)
    expect(cfg.teamOf('new')?.name).to.equal('depot')
  })

  it('stays when what comes cannot be read', () => {
    const cfg = holding({ seven: configOf(7) })
    cfg.offer('seven', 'store')
    expect(cfg.offer('rubbish', 'store')).to.equal(false)
    expect(cfg.version()).to.equal(7)
  })

  it('finds the longest prefix of a host', () => {
    const cfg = holding({ one: configOf(1, { routes: [routeOf('/a/'), routeOf('/a/b/'), routeOf('/', { host: 'other.example' })] }) })
    cfg.offer('one', 'store')
    const found = (host: string, path: string): string | undefined => cfg.route(host, path)?.name
    expect(found('site.example', '/a/b/c')).to.equal('/a/b/')
    expect(found('site.example', '/a/c')).to.equal('/a/')
    expect(found('site.example', '/ab')).to.equal(undefined)
    expect(found('other.example', '/a/b/c')).to.equal('/')
  })
})
