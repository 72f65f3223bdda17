/** Builds the single executable application: a copy of Node that contains the bundle. */
import { execFileSync } from 'node:child_process'
import { chmodSync, copyFileSync, writeFileSync } from 'node:fs'

const SENTINEL = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2'
const BINARY = 'dist/magnoliabay'
const BLOB = 'dist/magnoliabay.blob'
const SEA_CONFIG = 'dist/sea.json'

const run = (program: string, args: string[]): void => { execFileSync(program, args, { stdio: ['ignore', 'inherit', 'inherit'] }) }

run('npx', ['tsx', 'scripts/build.ts'])
writeFileSync(SEA_CONFIG, JSON.stringify({ main: 'dist/magnoliabay.cjs', output: BLOB, disableExperimentalSEAWarning: true }))
run(process.execPath, ['--experimental-sea-config', SEA_CONFIG])
copyFileSync(process.execPath, BINARY)
run('npx', ['postject', BINARY, 'NODE_SEA_BLOB', BLOB, '--sentinel-fuse', SENTINEL])
chmodSync(BINARY, 0o755)
