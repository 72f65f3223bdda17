/** Finds links in the documents whose target file or heading does not exist. */
import { existsSync, readFileSync, readdirSync } from 'node:fs'
import { dirname, join, relative } from 'node:path'

const SKIPPED_DIRECTORIES = new Set(['node_modules', 'dist', '.git', 'coverage'])
const LINK = /\[[^\]]*\]\(([^)\s]+)\)/g
const CODE_BLOCK = /^```[\s\S]*?^```/gm
const HEADING = /^#+\s+(.+)$/gm

export interface BrokenLink {
  file: string
  target: string
}

/** Returns every Markdown file under `root`. */
export function findDocuments (root: string): string[] {
  return readdirSync(root, { withFileTypes: true }).flatMap(entry => {
    const path = join(root, entry.name)
    if (entry.isDirectory()) return SKIPPED_DIRECTORIES.has(entry.name) ? [] : findDocuments(path)
    return entry.name.endsWith('.md') ? [path] : []
  })
}

/** Returns the links to missing files or headings; links with a URL scheme are not checked. */
export function findBrokenLinks (root: string): BrokenLink[] {
  return findDocuments(root).flatMap(file => {
    const targets = [...readFileSync(file, 'utf8').replace(CODE_BLOCK, '').matchAll(LINK)].map(match => match[1]!)
    return targets
      .filter(target => !/^[a-z]+:/.test(target) && !resolves(file, target))
      .map(target => ({ file: relative(root, file), target }))
  })
}

function resolves (file: string, target: string): boolean {
  const [path = '', anchor] = target.split('#', 2)
  const targetFile = path === '' ? file : join(dirname(file), path)
  if (!existsSync(targetFile)) return false
  return anchor === undefined || anchorsOf(targetFile).includes(anchor)
}

function anchorsOf (file: string): string[] {
  const text = readFileSync(file, 'utf8').replace(CODE_BLOCK, '')
  return [...text.matchAll(HEADING)].map(match => match[1]!.toLowerCase().replace(/[^\w\s-]/g, '').trim().replace(/\s/g, '-'))
}
