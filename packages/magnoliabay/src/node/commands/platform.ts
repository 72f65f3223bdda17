/** `magnoliabay platform`: runs one instance on the users' platform, which provides its settings file. */
import { readFile } from 'node:fs/promises'
import { inBackground, setFaultReporter } from '../background'
import { createWakeupCounter, eventLoopIterations } from '../wakeups'
import { createSystemClock, repeat } from '../clock'
import { createInputMonitor } from '../inputs'
import { createLogger } from '../logger'
import { createLogSink } from '../logSink'
import { SETTINGS_PATH_VARIABLE, createDiscovery, createEngineCalls, createMetadataStore, platformProtocol, readPlatformSettings } from '../platform'
import { createServingInstance } from '../serving/servingInstance'
import { messageOf } from '../utils'
import { endProcess } from './endProcess'
import { EXIT_USAGE } from './types'
import type { Command } from './types'
import { waitForShutdownSignal } from './shutdownSignal'

/** Interval of the log event with the wakeups of the process by cause. */
const ACTIVITY_LOG_INTERVAL_MS = 10_000
const MICROSECONDS_PER_MS = 1000
/** Longest wait for the last log lines to be written: a reader that has stopped must not keep the process running. */
const LOG_FLUSH_TIMEOUT_MS = 200

export const platformCommand: Command = {
  name: 'platform',
  summary: `Run one instance on the users' platform; ${SETTINGS_PATH_VARIABLE} names its settings file.`,
  options: {},
  run: async ({ env, printError }) => {
    const file = env[SETTINGS_PATH_VARIABLE]
    if (file === undefined) {
      printError(`${SETTINGS_PATH_VARIABLE} must name the settings file that the platform provides.`)
      return EXIT_USAGE
    }
    const text = await readFile(file, 'utf8').catch((err: unknown) => ({ problem: messageOf(err) }))
    if (typeof text !== 'string') {
      printError(`${file} cannot be read: ${text.problem}`)
      return EXIT_USAGE
    }
    const settings = readPlatformSettings(text)
    if (settings.err) {
      settings.val.forEach(({ path, message }) => printError(`${file}: ${path}: ${message}`))
      return EXIT_USAGE
    }
    const activity = createWakeupCounter()
    const clock = createSystemClock(() => activity.note('timer'))
    const sink = createLogSink({ clock })
    const logger = createLogger({ write: sink.write })
    setFaultReporter((task, err) => logger.error('task-fault', { task, reason: messageOf(err), stack: err instanceof Error ? err.stack : undefined }))
    const inputs = createInputMonitor(logger)
    const store = createMetadataStore({ address: settings.val.store.address, inputs, clock, logger })
    const instance = createServingInstance({ settings: settings.val, protocol: platformProtocol, store, engines: createEngineCalls({ clock, inputs }), inputs, activity, clock, logger, random: Math.random })
    const discovery = createDiscovery({
      clock,
      logger,
      readinessAddress: settings.val.listen.readiness,
      resolutionAddress: settings.val.listen.resolution,
      isReady: instance.isReady,
      addressesFor: instance.entryAddressesFor,
      maxResolutionTtlMs: settings.val.maxResolutionTtlMs
    })
    process.on('SIGHUP', () => logger.info('settings-reload', { outcome: 'ignored: no setting can change while the process runs' }))
    const logActivity = (): void => {
      const { user, system } = process.cpuUsage()
      logger.info('process-activity', { turns: eventLoopIterations(), processorMs: Math.round((user + system) / MICROSECONDS_PER_MS), causes: [...activity.counts()].map(([cause, count]) => `${cause}: ${count}`) })
    }
    inBackground('log-activity', repeat(clock, ACTIVITY_LOG_INTERVAL_MS, new AbortController().signal, logActivity))
    const start = async (): Promise<void> => {
      await discovery.start()
      await instance.start()
    }
    // A signal may come while the start waits for an address in use. By default it would end the process with its requests.
    const stopping = waitForShutdownSignal()
    await Promise.race([start(), stopping])
    await stopping
    await instance.shutdown()
    discovery.close()
    logger.info('instance-stopped', { linesLeftOut: sink.dropped() })
    endProcess(await sink.flush(LOG_FLUSH_TIMEOUT_MS))
  }
}
