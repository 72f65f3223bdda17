import { expect } from 'chai'
import { readFileSync, readdirSync } from 'node:fs'
import { join } from 'node:path'

const OPTION = /TCP_USER_TIMEOUT|tcpUserTimeout|user_timeout/i
const SOURCE_FILE = /\.(ts|js|cjs|mjs)$/

/** Returns the source files below a folder, without nested dependencies. */
function sourceFiles (folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return entry.name === 'node_modules' || entry.name === '__tests__' ? [] : sourceFiles(path)
    return SOURCE_FILE.test(entry.name) ? [path] : []
  })
}

describe('socket options of the program', () => {
  /**
   * Guards against connections that end earlier, or later, than the program's own time limits say: where TCP_USER_TIMEOUT
   * is set, by the program or a library, it also decides when keep-alive probes give up.
   */
  it('leave TCP_USER_TIMEOUT alone, in the program and in the libraries that it uses', () => {
    const manifest = JSON.parse(readFileSync('packages/magnoliabay/package.json', 'utf8')) as { dependencies: Record<string, string> }
    const libraries = Object.keys(manifest.dependencies).filter(name => !name.startsWith('@magnoliabay/'))
    const folders = ['packages/magnoliabay/src', ...libraries.map(name => join('node_modules', name))]
    const files = folders.flatMap(sourceFiles)
    expect(files.length).to.be.greaterThan(libraries.length)
    expect(files.filter(file => OPTION.test(readFileSync(file, 'utf8')))).to.deep.equal([])
  })
})
