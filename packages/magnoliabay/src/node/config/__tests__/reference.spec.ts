import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { renderPages } from '../../../../../../scripts/reference'

describe('reference pages', () => {
  renderPages().forEach(({ path, text }) => it(`${path} matches the schema (otherwise run npm run reference)`, () => {
    expect(readFileSync(path, 'utf8')).to.equal(text)
  }))
})
