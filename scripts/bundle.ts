/** Bundles a program and all its imports into one file. */
import { build } from 'esbuild'

export async function bundle (entry: string, outfile: string): Promise<void> {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Unless `module` comes first, ts-results resolves to its UMD build, which requires tslib at run time.
    mainFields: ['module', 'main'],
    logOverride: { 'import-is-undefined': 'silent' },
    logLevel: 'warning'
  })
}
