/** `tsx scripts/judge.ts REPORT`: checks a test report as testReport.ts describes. */
import { checkTestReportFile } from './testReport'

process.exit(checkTestReportFile(process.argv[2]!, 'KNOWN-RED.txt'))
