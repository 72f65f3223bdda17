import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import { configCommand } from '../../commands/config'
import { UsageError } from '../../commands/types'
import type { CommandContext } from '../../commands/types'
import { createSilentLogger } from '../../logger'
import type { DocumentBody } from '../documentBody'
import { encodeDocument } from '../documentBody'
import { loadDocument } from '../loadedDocument'
import { formatEffect, planChange } from '../plan'
import { formatProblem, parseTomlText } from '../schema'
import type { Manifest } from '../documents'
import { teamToml } from './fakes'

const BASE = `${teamToml('depot', 10)}
[[model]]
name = "m"
memoryMiB = 100
[[adapter]]
name = "a"
model = "m"
memoryMiB = 1
[[service]]
name = "notes"
`

async function bodyOf (document: string, text: string): Promise<DocumentBody> {
  const encoded = encodeDocument(document, parseTomlText(document, text).unwrap()).unwrap()
  const manifest = { document, core: encoded.core, adapters: encoded.adapters } as Manifest
  return (await loadDocument(manifest, undefined, new Map(Object.entries(encoded.chunks)), async () => {})).unwrap().body
}

/** Runs `config check` on a directory. Returns its output and its exit code. */
async function check (base: string | Buffer, overlay?: string): Promise<{ code: number, output: string }> {
  const directory = await mkdtemp(join(tmpdir(), 'magnoliabay-config-'))
  await writeFile(join(directory, 'base.toml'), base)
  if (overlay !== undefined) {
    await mkdir(join(directory, 'sites'))
    await writeFile(join(directory, 'sites/tin.toml'), overlay)
  }
  const output: string[] = []
  const context: CommandContext = { values: {}, positionals: ['check', directory], env: {}, logger: createSilentLogger(), print: text => output.push(text), printError: text => output.push(text) }
  const code = await configCommand.run(context)
  await rm(directory, { recursive: true })
  return { code, output: output.join('\n') }
}

describe('config check', () => {
  // Every problem is found before a change is applied. The message names the file, the path, what was found
  // and what is allowed.
  const WRONG: ReadonlyArray<{ name: string, base?: string | Buffer, overlay?: string, includes: string[] }> = [
    { name: 'invalid TOML', base: 'team = [', includes: ['base.toml', 'valid TOML'] },
    { name: 'invalid UTF-8', base: Buffer.from([0x23, 0xff, 0xfe]), includes: ['base.toml', 'not UTF-8'] },
    { name: 'a wrong type', base: teamToml('depot', 10).replace('10', '"many"'), includes: ['base.toml at team.0.tokensPerSecond', 'found "many"', 'number'] },
    { name: 'an unknown key', base: `${BASE}\ncolour = "red"`, includes: ['base.toml', 'service.0.colour'] },
    { name: 'a duplicate team name', base: BASE + teamToml('depot', 20), includes: ['base.toml at team.1.name', 'depot a second time', 'one team of each name'] },
    { name: 'a duplicate adapter name', base: `${BASE}\n[[adapter]]\nname = "a"\nmodel = "m"\nmemoryMiB = 2`, includes: ['base.toml at adapter.1.name', 'a second time'] },
    { name: 'an adapter of an undefined model', base: BASE.replace('model = "m"', 'model = "x"'), includes: ['base.toml at adapter a.model', 'found x'] },
    { name: 'a service with the name of a model', base: BASE.replace('"notes"', '"m"'), includes: ['at m', 'two of model, adapter and service'] },
    { name: 'an undefined name in allow', base: BASE.replace('burstTokens = 100', 'burstTokens = 100\nallow = ["mm"]'), includes: ['base.toml at team.0.allow', 'found mm'] },
    { name: 'an overlay that removes a model missing from the base', overlay: '[without]\nmodel = ["x"]', includes: ['sites/tin.toml at without.model.0', 'found x', 'a model of base.toml'] },
    { name: 'an overlay that removes and changes a team', overlay: `[without]\nteam = ["depot"]\n${teamToml('depot', 5)}`, includes: ['sites/tin.toml at without.team.0', 'one of the two'] },
    { name: 'an overlay that removes the model of an adapter', overlay: '[without]\nmodel = ["m"]', includes: ['sites/tin.toml at adapter a.model', 'holds at this site'] },
    { name: 'an overlay with an incomplete new team', overlay: '[[team]]\nname = "new"\nburstTokens = 5', includes: ['sites/tin.toml at team.0.tokensPerSecond'] },
    { name: 'an overlay with a wrong type', overlay: '[[team]]\nname = "depot"\nburstTokens = true', includes: ['sites/tin.toml at team.0.burstTokens', 'found true'] }
  ]
  WRONG.forEach(({ name, base = BASE, overlay, includes }) => it(`refuses ${name}`, async () => {
    const { code, output } = await check(base, overlay)
    expect(code).to.equal(1)
    includes.forEach(part => expect(output).to.include(part))
  }))

  it('accepts a base with an overlay that adds, changes and removes entries', async () => {
    const { code, output } = await check(BASE, `[without]\nadapter = ["a"]\n${teamToml('new', 5)}\n[[team]]\nname = "depot"\nburstTokens = 7`)
    expect(output).to.equal('2 files are consistent: base, sites/tin')
    expect(code).to.equal(0)
  })

  it('plans the changes at each site and their effects', async () => {
    const before = new Map([['base', await bodyOf('base', BASE)], ['sites/tin', await bodyOf('sites/tin', teamToml('yard', 5))]])
    const after = new Map([...before, ['base', await bodyOf('base', `capacityTokensPerSecond = 3\n${teamToml('yard', 5)}\n[[model]]\nname = "n"\nmemoryMiB = 5`)] as const])
    const plan = planChange({ before, after }, { replicasOf: () => 2, keysOf: team => [`key-of-${team}`] })
    expect(plan.problems.map(formatProblem)).to.deep.equal([])
    const tin = plan.sites.find(site => site.site === 'tin')!
    expect(tin.changes.map(({ kind, name, change }) => `${change} ${kind} ${name}`)).to.deep.equal([
      'changed fleet fleet', 'removed team depot', 'added model n', 'removed model m', 'removed adapter a', 'removed service notes'
    ])
    expect(tin.effects.map(formatEffect)).to.deep.equal([
      'm is unloaded (2 replicas now); requests for it are refused',
      'keys of depot stop working: key-of-depot',
      "the teams' rates add up to 5 tokens/s, over the capacity of 3"
    ])
  })

  it('reports an unknown action as a usage error', async () => {
    const context: CommandContext = { values: {}, positionals: ['burn'], env: {}, logger: createSilentLogger(), print: () => {}, printError: () => {} }
    const err: unknown = await configCommand.run(context).catch((reason: unknown) => reason)
    expect(err).to.be.instanceOf(UsageError)
  })
})
