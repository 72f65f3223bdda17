/** Runs the program until it ends by itself, and keeps the code that was compiled for that. */
import { rmSync, writeFileSync } from 'node:fs'
import { COMPILED_FILE, readProgram } from './program'

rmSync(COMPILED_FILE, { force: true })
const program = readProgram()
process.on('exit', () => {
  const compiled = program.script.createCachedData()
  writeFileSync(COMPILED_FILE, compiled)
  process.stdout.write(`compiled code: ${compiled.length} bytes\n`)
  process.exitCode = 0
})
program.run()
