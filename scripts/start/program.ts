/** The program's text as a script, with its compiled code where there is some that this runtime takes. */
import { existsSync, readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { dirname, join } from 'node:path'
import { Script } from 'node:vm'

const PROGRAM_FILE = join(__dirname, 'magnoliabay.cjs')
/** Compiled code of the program, beside it. */
export const COMPILED_FILE = join(__dirname, 'magnoliabay.compiled')

export interface Program {
  script: Script
  /** Runs it as the runtime runs a module. */
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
