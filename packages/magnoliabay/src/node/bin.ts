/** Entry point of the `magnoliabay` executable. */
import { runCli } from './cli'

runCli(process.argv.slice(2)).then(code => process.exit(code), (err: unknown) => {
  process.stderr.write(`${err instanceof Error ? err.stack : String(err)}\n`)
  process.exit(1)
})
