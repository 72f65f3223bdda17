/** Bundles the program and the demo into one file each. */
import { bundle } from './bundle'

await bundle('packages/magnoliabay/src/node/bin.ts', 'dist/magnoliabay.cjs')
await bundle('scripts/demo.ts', 'dist/demo.cjs')
