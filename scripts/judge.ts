/** `tsx scripts/judge.ts REPORT`: see judgeTests.ts. */
import { judgeFiles } from './judgeTests'

process.exit(judgeFiles(process.argv[2]!, 'KNOWN-RED.txt'))
