import { expect } from 'chai'
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { findBrokenLinks, findDocuments } from '../docLinks'

describe('links in the documents', () => {
  it('resolve to existing files and headings', () => {
    expect(findDocuments('.').length).to.be.greaterThan(5)
    expect(findBrokenLinks('.')).to.deep.equal([])
  })

  it('are reported when the file or the heading does not exist', () => {
    const root = mkdtempSync(join(tmpdir(), 'links-'))
    mkdirSync(join(root, 'docs'))
    writeFileSync(join(root, 'docs/there.md'), '# A heading, here\n```\n[code](is-left-alone)\n```\n')
    writeFileSync(join(root, 'README.md'), '[1](docs/there.md) [2](docs/there.md#a-heading-here) [3](https://x) [4](docs/gone.md) [5](docs/there.md#gone)')
    expect(findBrokenLinks(root).map(link => link.target)).to.deep.equal(['docs/gone.md', 'docs/there.md#gone'])
    rmSync(root, { recursive: true })
  })
})
