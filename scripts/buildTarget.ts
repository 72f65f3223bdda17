/**
 * Bundles the program as it runs on the users' platform, into `target/`, with the compiled code of what it needs to start
 * beside it: hundreds of processes on small machines would else each compile the same two megabytes of text.
 */
import { spawnSync } from 'node:child_process'
import { bundle } from './bundle'

/** As in `deploy/system.toml`: compiled code is taken only by a process that runs under the same flags. */
const FLAGS = ['--max-old-space-size=158', '--max-semi-space-size=4', '--single-threaded-gc']

await bundle('packages/magnoliabay/src/node/bin.ts', 'target/magnoliabay.cjs')
await bundle('scripts/start/index.ts', 'target/start.cjs')
await bundle('scripts/start/compile.ts', 'target/compile.cjs')
const compiled = spawnSync(process.execPath, [...FLAGS, 'target/compile.cjs', 'platform'], { encoding: 'utf8', env: {} })
// Without it the program starts all the same, only more slowly.
process.stdout.write(compiled.status === 0 ? compiled.stdout : `No compiled code: ${compiled.stderr}\n`)
