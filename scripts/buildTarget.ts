/** Bundles the program as it runs on the users' platform, into `target/`. */
import { bundle } from './bundle'

await bundle('packages/magnoliabay/src/node/bin.ts', 'target/magnoliabay.cjs')
