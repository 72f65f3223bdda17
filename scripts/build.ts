/** Bundles the program, and the demo, each into one file. */
import { build } from 'esbuild'
import type { BuildOptions } from 'esbuild'

const COMMON: BuildOptions = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  // Without `module` first, ts-results comes as UMD and looks for tslib at run time.
  mainFields: ['module', 'main'],
  logOverride: { 'import-is-undefined': 'silent' },
  logLevel: 'warning'
}

await build({ ...COMMON, entryPoints: ['packages/magnoliabay/src/node/bin.ts'], outfile: 'dist/magnoliabay.cjs' })
await build({ ...COMMON, entryPoints: ['scripts/demo.ts'], outfile: 'dist/demo.cjs' })
