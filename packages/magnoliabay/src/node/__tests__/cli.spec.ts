import { expect } from 'chai'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { productCommands, runCli } from '../cli'
import { EXIT_SUCCESS, EXIT_FAILED, EXIT_USAGE } from '../commands/types'
import type { ExitCode } from '../commands/types'
import { VERSION } from '../constants'

interface Run {
  code: ExitCode
  out: string
  err: string
}

async function run (...args: string[]): Promise<Run> {
  const out: string[] = []
  const err: string[] = []
  const code = await runCli(args, { print: text => { out.push(text) }, printError: text => { err.push(text) }, env: {} })
  return { code, out: out.join('\n'), err: err.join('\n') }
}

describe('command-line interface', () => {
  const names = Object.keys(productCommands)
  let directory: string
  before(() => { directory = mkdtempSync(join(tmpdir(), 'settings-')) })
  after(() => rmSync(directory, { recursive: true }))

  it('--version prints the version', async () => {
    expect(await run('--version')).to.deep.equal({ code: EXIT_SUCCESS, out: VERSION, err: '' })
  })

  it('--help names every command', async () => {
    const { code, out } = await run('--help')
    expect(code).to.equal(EXIT_SUCCESS)
    names.forEach(name => expect(out).to.match(new RegExp(`^  ${name} `, 'm')))
  })

  Object.entries(productCommands).forEach(([name, load]) => it(`${name} --help names each of its options`, async () => {
    const command = await load()
    const { options } = command
    expect(command.name).to.equal(name)
    const { code, out, err } = await run(name, '--help')
    expect({ code, err }).to.deep.equal({ code: EXIT_SUCCESS, err: '' })
    Object.keys(options).forEach(option => expect(out).to.include(`--${option}`))
  }))

  const wrong: Array<{ args: string[], says: RegExp }> = [
    { args: ['nothing'], says: /no command nothing/ },
    { args: ['serve', '--setings', 'x'], says: /--setings[\s\S]*Usage: magnoliabay serve/ },
    { args: ['serve', 'surplus', '--settings', 'x'], says: /Usage: magnoliabay serve/ },
    { args: ['serve', '--settings'], says: /Usage: magnoliabay serve/ },
    { args: ['serve'], says: /--settings FILE/ },
    { args: ['serve', '--settings', 'no-such-file.toml'], says: /no-such-file\.toml cannot be read/ },
    { args: ['dev', '--instances', 'many'], says: /whole numbers/ },
    { args: ['dev', '--port', '-1'], says: /./ },
    { args: ['key'], says: /operator key|instance|key create/i },
    { args: ['status'], says: /--instance/ },
    { args: ['status', '--instance', '127.0.0.1:1'], says: /--operator-key/ }
  ]
  wrong.forEach(({ args, says }) => it(`exits with the usage code on: ${args.join(' ')}`, async () => {
    const { code, err } = await run(...args)
    expect(code).to.equal(EXIT_USAGE)
    expect(err).to.match(says)
  }))

  it('exits with the failure code when the instance cannot be reached', async () => {
    // Port 1 of loopback refuses connections.
    const { code, err } = await run('status', '--instance', '127.0.0.1:1', '--operator-key', 'op-x')
    expect(code).to.equal(EXIT_FAILED)
    expect(err).to.include('127.0.0.1:1')
  })

  const GOOD = `
[instance]
id = "entry-1"
site = "test"
region = "r"
failureDomain = "r-a"
entryAddress = "127.0.0.1:1"
peerAddress = "127.0.0.1:2"
operatorAddress = "127.0.0.1:3"

[platform]
store = ["http://127.0.0.1:1"]
instanceList = "http://127.0.0.1:1/instances"
`
  // With invalid settings nothing starts, and the message names the file, the path in it, the value found and those allowed.
  const settings: Array<{ title: string, text: string, path: string, found: string, allowed: string }> = [
    { title: 'an unknown key', text: `${GOOD}\n[limits]\nmaxBodyByte = 5\n`, path: 'limits.maxBodyByte', found: 'unknown key "maxBodyByte"', allowed: 'allowed is maxBodyBytes, bodyTimeoutMs' },
    { title: 'an unknown section', text: `${GOOD}\n[limit]\n`, path: 'limit', found: 'unknown key "limit"', allowed: 'allowed is instance, platform' },
    { title: 'a wrong type', text: `${GOOD}\n[limits]\nmaxBodyBytes = "5"\n`, path: 'limits.maxBodyBytes', found: '"5"', allowed: 'number' },
    { title: 'a value out of range', text: `${GOOD}\n[limits]\nmaxBodyBytes = 0\n`, path: 'limits.maxBodyBytes', found: '0', allowed: '>=1' },
    { title: 'a wrong choice', text: `${GOOD}\n[log]\nlevel = "loud"\n`, path: 'log.level', found: '"loud"', allowed: '"debug"' },
    { title: 'a name instead of an address', text: GOOD.replace('127.0.0.1:2', 'peer:2'), path: 'instance.peerAddress', found: '"peer:2"', allowed: 'ip:port' },
    { title: 'a key left out', text: GOOD.replace('site = "test"', ''), path: 'instance.site', found: 'nothing', allowed: '"site"' },
    { title: 'text that is no TOML', text: 'instance = [', path: 'line 1', found: '', allowed: 'valid TOML' }
  ]
  settings.forEach(({ title, text, path, found, allowed }) => it(`names file, path, value found and allowed values for settings with ${title}`, async () => {
    const file = join(directory, 'settings.toml')
    writeFileSync(file, text)
    const { code, err } = await run('serve', '--settings', file)
    expect(code).to.equal(EXIT_USAGE)
    expect(err).to.include(file).and.include(path).and.include(`found ${found}`).and.include(allowed)
  }))
})
