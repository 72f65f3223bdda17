/** Loaded into an instance beside the program: a signal steps its wall clock ahead, the next one steps it back. */
const STEP_MS = 600_000
const { now } = Date
let offsetMs = 0

Date.now = () => now() + offsetMs
process.on('SIGUSR2', () => { offsetMs = STEP_MS - offsetMs })
