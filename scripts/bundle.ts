/** Makes one file of a program and all that it imports. */
import { build } from 'esbuild'

export async function bundle (entry: string, outfile: string): Promise<void> {
  await build({
    entryPoints: [entry],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    // Without `module` first, ts-results comes as UMD and looks for tslib at run time.
    mainFields: ['module', 'main'],
    logOverride: { 'import-is-undefined': 'silent' },
    logLevel: 'warning'
  })
}
