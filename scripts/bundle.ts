/** Bundles a program and all its imports into one file. */
import { spawnSync } from 'node:child_process'
import { build } from 'esbuild'

/** Returns the commit that is built, with `-changed` if its files have changed since; `unknown` outside a checkout. */
function buildName (): string {
  const described = spawnSync('git', ['describe', '--always', '--abbrev=9', '--exclude=*', '--dirty=-changed'], { encoding: 'utf8' })
  return described.status === 0 ? described.stdout.trim() : 'unknown'
}

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
    define: { 'process.env.MAGNOLIABAY_BUILD': JSON.stringify(buildName()) },
    logOverride: { 'import-is-undefined': 'silent' },
    logLevel: 'warning'
  })
}
