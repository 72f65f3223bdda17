/**
 * Bundles the program for the users' platform into `target/`, together with a code cache of the functions that run at
 * startup. Without the cache, hundreds of processes on small machines would each compile the same two megabytes of source.
 */
import { spawnSync } from 'node:child_process'
import { bundle } from './bundle'

/** The same as in `deploy/system.toml`: Node accepts a code cache only under the flags that it was created with. */
const FLAGS = ['--max-old-space-size=158', '--max-semi-space-size=4', '--single-threaded-gc']

await bundle('packages/magnoliabay/src/node/bin.ts', 'target/magnoliabay.cjs')
await bundle('scripts/start/index.ts', 'target/start.cjs')
await bundle('scripts/start/compile.ts', 'target/compile.cjs')
const compiled = spawnSync(process.execPath, [...FLAGS, 'target/compile.cjs', 'platform'], { encoding: 'utf8', env: {} })
// The program also starts without the code cache, but more slowly.
process.stdout.write(compiled.status === 0 ? compiled.stdout : `No code cache: ${compiled.stderr}\n`)
