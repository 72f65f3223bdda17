/** Loads the bundled program as a script, with its code cache if one exists that this runtime accepts. */
import { existsSync, readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'

const PROGRAM_FILE = join(__dirname, 'magnoliabay.cjs')
/** Code cache of the program, in the same directory. */
export const COMPILED_FILE = join(__dirname, 'magnoliabay.compiled')

export interface Program {
  script: Script
  /** Runs the script as a CommonJS module. */
  run (): void
}

export function readProgram (): Program {
  const text = readFileSync(PROGRAM_FILE, 'utf8')
  const cachedData = existsSync(COMPILED_FILE) ? readFileSync(COMPILED_FILE) : undefined
  const script = new Script(`(function (exports, require, module, __filename, __dirname) {${text}\n})`, { filename: PROGRAM_FILE, cachedData })
  return {
    script,
    run: () => {
      const wrapper = script.runInThisContext() as (...args: unknown[]) => void
      const module = { exports: {} }
      wrapper(module.exports, createRequire(PROGRAM_FILE), module, PROGRAM_FILE, dirname(PROGRAM_FILE))
    }
  }
}
