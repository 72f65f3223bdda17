/** `npm run reference`: writes the reference pages from the schemas. A test checks that the pages are up to date. */
import { writeFileSync } from 'node:fs'
import type * as v from 'valibot'
import { clientSchema } from '../../packages/magnoliabay/src/node/commands/connection'
import { fleetSchema, overlaySchema } from '../../packages/magnoliabay/src/node/config/fleet'
import { settingsSchema } from '../../packages/magnoliabay/src/node/config/settings'
import { readFieldDocs } from './docs'
import { listFields } from './fields'

const SOURCES = 'packages/magnoliabay/src/node'

interface Section {
  title: string
  intro: string
  schema: v.GenericSchema
  file: string
  declaredAs: string
}

interface Page {
  path: string
  title: string
  sections: Section[]
}

const PAGES: readonly Page[] = [
  {
    path: 'docs/reference/configuration.md',
    title: 'Configuration of the fleet',
    sections: [
      { title: 'base.toml', intro: 'What all sites share.', schema: fleetSchema, file: `${SOURCES}/config/fleet.ts`, declaredAs: 'fleetSchema' },
      { title: 'sites/<site>.toml', intro: 'What differs at one site. An entry with a name of the base changes the fields that it gives; a new name needs all that the base requires. `[[adapter]]` works the same way.', schema: overlaySchema, file: `${SOURCES}/config/fleet.ts`, declaredAs: 'overlaySchema' }
    ]
  },
  {
    path: 'docs/reference/settings.md',
    title: 'Settings',
    sections: [
      { title: 'An instance', intro: 'Given to `magnoliabay serve --settings FILE`.', schema: settingsSchema, file: `${SOURCES}/config/settings.ts`, declaredAs: 'settingsSchema' },
      { title: 'The command line', intro: 'Given with `--client FILE` or `MAGNOLIABAY_CLIENT`.', schema: clientSchema, file: `${SOURCES}/commands/connection.ts`, declaredAs: 'clientSchema' }
    ]
  }
]

export interface RenderedPage {
  path: string
  text: string
}

export function renderPages (): RenderedPage[] {
  return PAGES.map(({ path, title, sections }) => ({
    path,
    text: [`# ${title}`, '', 'Generated from the schema by `npm run reference`. `[]` marks a list of tables.', ...sections.flatMap(renderSection), ''].join('\n')
  }))
}

function renderSection ({ title, intro, schema, file, declaredAs }: Section): string[] {
  const docs = readFieldDocs(file, declaredAs)
  const rows = listFields(schema).map(field => {
    const doc = docs.get(field.path.replaceAll('[]', '')) ?? ''
    return `| \`${field.path}\` | ${field.type} | ${field.default === undefined ? field.isRequired ? 'required' : '' : `\`${field.default}\``} | ${doc.replaceAll('|', '\\|').replaceAll('\n', ' ')} |`
  })
  return ['', `## ${title}`, '', intro, '', '| field | type | default | meaning |', '|---|---|---|---|', ...rows]
}

if (process.argv[1]?.includes('scripts/reference') === true) {
  renderPages().forEach(({ path, text }) => writeFileSync(path, text))
}
