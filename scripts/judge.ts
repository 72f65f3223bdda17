/** `tsx scripts/judge.ts REPORT`: see judgeTests.ts. */
import { checkTestReportFile } from './testReport'

process.exit(checkTestReportFile(process.argv[2]!, 'KNOWN-RED.txt'))
