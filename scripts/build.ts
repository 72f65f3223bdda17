/** Bundles the program, and the demo, each into one file. */
import { bundle } from './bundle'

await bundle('packages/magnoliabay/src/node/bin.ts', 'dist/magnoliabay.cjs')
await bundle('scripts/demo.ts', 'dist/demo.cjs')
