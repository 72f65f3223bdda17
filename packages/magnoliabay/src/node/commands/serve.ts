/** `magnoliabay serve`: runs one instance in its own process. */
import { readFile } from 'node:fs/promises'
import { setFaultReporter } from '../background'
import { createSystemClock } from '../clock'
import { formatProblem, parseSettings } from '../config'
import { createInstance } from '../instance'
import { createLogger } from '../logger'
import { decodeServerStatement } from '../platform'
import { createEtcdStore, createInstanceListClient } from '../store'
import { createCertificates } from '../tls'
import { messageOf } from '../utils'
import { EXIT_SUCCESS, EXIT_USAGE } from './types'
import type { Command } from './types'
import { waitForShutdownSignal } from './shutdownSignal'

export const serveCommand: Command = {
  name: 'serve',
  summary: 'Run one instance with the store, instance list and engines that its settings name.',
  options: {
    settings: { type: 'string', value: 'FILE', description: 'Settings of the instance, in TOML. Required.' }
  },
  run: async ({ values, printError }) => {
    const file = values.settings
    if (typeof file !== 'string') {
      printError('Name a settings file: magnoliabay serve --settings FILE')
      return EXIT_USAGE
    }
    const text = await readFile(file, 'utf8').catch((err: unknown) => ({ problem: messageOf(err) }))
    if (typeof text !== 'string') {
      printError(`${file} cannot be read: ${text.problem}`)
      return EXIT_USAGE
    }
    const settings = parseSettings(file, text)
    if (settings.err) {
      settings.val.problems.forEach(problem => printError(formatProblem(problem)))
      return EXIT_USAGE
    }
    const clock = createSystemClock()
    const logger = createLogger({ level: settings.val.log.level })
    setFaultReporter((task, err) => logger.error('task-fault', { task, reason: messageOf(err), stack: err instanceof Error ? err.stack : undefined }))
    const certificates = createCertificates({ use: 'store', files: settings.val.tls.store ?? {}, intervalMs: settings.val.tls.reloadSeconds * 1000, clock, logger })
    const stop = new AbortController()
    await certificates.load()
    certificates.start(stop.signal)
    const store = createEtcdStore({ endpoints: settings.val.platform.store, tls: certificates.current, clock, logger })
    const list = createInstanceListClient(settings.val.platform.instanceList, clock)
    const instance = createInstance({ settings: settings.val, store, list, decodeStatement: decodeServerStatement, clock, logger })
    await instance.start()
    await waitForShutdownSignal()
    await instance.shutdown()
    stop.abort()
    await store.close()
    return EXIT_SUCCESS
  }
}
