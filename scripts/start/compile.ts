/** Runs the program until it exits, and writes a code cache of the functions that were compiled meanwhile. */
import { rmSync, writeFileSync } from 'node:fs'
import { COMPILED_FILE, readProgram } from './program'

rmSync(COMPILED_FILE, { force: true })
const program = readProgram()
process.on('exit', () => {
  const compiled = program.script.createCachedData()
  writeFileSync(COMPILED_FILE, compiled)
  process.stdout.write(`code cache: ${compiled.length} bytes\n`)
  process.exitCode = 0
})
program.run()
