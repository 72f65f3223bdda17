import { expect } from 'chai'
import { createVirtualClock } from '../../clock/virtual'
import { createSilentLogger } from '../../logger'
import { createServingConfigProvider } from '../servingConfigProvider'
import type { ServingConfigProvider } from '../servingConfigProvider'
import type { ServingConfig } from '../types'
import { configOf, routeOf, teamOf } from './fixtures'

function createProvider (documents: Record<string, ServingConfig>): ServingConfigProvider {
  return createServingConfigProvider({ decode: text => documents[text], clock: createVirtualClock(), logger: createSilentLogger() })
}

describe('the active configuration', () => {
  /**
   * Failure: a withdrawn key works again for a while.
   * 1. Version 8 withdraws it. 2. A lagging peer or a late response brings version 7. 3. Version 7 is not activated.
   */
  it('is never replaced by an older version, from any source', () => {
    const cfg = createProvider({ seven: configOf(7), eight: configOf(8, { teams: [teamOf('depot', { keys: ['new'] })] }) })
    expect(cfg.applyIfNewer('seven', 'store')).to.equal(true)
    expect(cfg.applyIfNewer('eight', 'peer')).to.equal(true)
    expect(cfg.applyIfNewer('seven', 'store')).to.equal(false)
    expect(cfg.version()).to.equal(8)
    expect(cfg.findTeamByKey('key-of-depot')).to.equal(undefined)
    expect(cfg.findTeamByKey('new')?.name).to.equal('depot')
  })

  it('stays when a document cannot be read', () => {
    const cfg = createProvider({ seven: configOf(7) })
    cfg.applyIfNewer('seven', 'store')
    expect(cfg.applyIfNewer('rubbish', 'store')).to.equal(false)
    expect(cfg.version()).to.equal(7)
  })

  it('finds the route with the longest matching prefix of a host', () => {
    const cfg = createProvider({ one: configOf(1, { routes: [routeOf('/a/'), routeOf('/a/b/'), routeOf('/', { host: 'other.example' })] }) })
    cfg.applyIfNewer('one', 'store')
    const found = (host: string, path: string): string | undefined => cfg.findRoute(host, path)?.name
    expect(found('site.example', '/a/b/c')).to.equal('/a/b/')
    expect(found('site.example', '/a/c')).to.equal('/a/')
    expect(found('site.example', '/ab')).to.equal(undefined)
    expect(found('other.example', '/a/b/c')).to.equal('/')
  })
})
