/** `npm run bench -- <name>`: each benchmark is a module whose `run` receives the remaining arguments. */

interface Bench {
  run (args: readonly string[]): Promise<void>
}

const BENCHES: Readonly<Record<string, () => Promise<Bench>>> = {
  allowance: () => import('./allowance'),
  'allowance-parts': () => import('./allowanceParts'),
  capacity: () => import('./capacity'),
  cold: () => import('./cold'),
  config: () => import('./config'),
  'crash-attribution': () => import('./crashAttribution'),
  relay: () => import('./relay'),
  'stream-origins': () => import('./streamOrigins'),
  decusum: async () => await import('./decusum')
}

async function main (): Promise<void> {
  const [name = '', ...args] = process.argv.slice(2)
  const importBench = BENCHES[name]
  if (importBench === undefined) {
    process.stderr.write(`unknown benchmark; expected one of: ${Object.keys(BENCHES).join(', ')}\n`)
    process.exit(2)
  }
  const bench = await importBench()
  await bench.run(args)
}

main()
