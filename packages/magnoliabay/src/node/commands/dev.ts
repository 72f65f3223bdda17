/** `magnoliabay dev`: the embedded default, up until it is stopped. */
import { createLogger } from '../logger'
import { startEmbedded } from './embedded'
import { EXIT_DONE, EXIT_USAGE } from './types'
import type { Command } from './types'
import { untilSignal } from './untilSignal'

const DEFAULT_INSTANCES = '3'
const DEFAULT_PORT = '8080'
/** Stand-ins listen this far above the entries. */
const STAND_IN_PORT_OFFSET = 1000

export const devCommand: Command = {
  name: 'dev',
  summary: 'Start stand-ins and a few instances in one process, to try things out.',
  options: {
    instances: { type: 'string', value: 'N', description: `Entry instances. Default ${DEFAULT_INSTANCES}.`, default: DEFAULT_INSTANCES },
    port: { type: 'string', value: 'P', description: `First entry port; 0 takes any free ones. Default ${DEFAULT_PORT}.`, default: DEFAULT_PORT }
  },
  run: async ({ values, printError }) => {
    const instances = Number(values.instances)
    const port = Number(values.port)
    if (!Number.isInteger(instances) || instances < 1 || !Number.isInteger(port) || port < 0) {
      printError('--instances takes a whole number from 1, --port one from 0.')
      return EXIT_USAGE
    }
    const logger = createLogger()
    const embedded = await startEmbedded({ instances, port, standInPort: port === 0 ? 0 : port + STAND_IN_PORT_OFFSET, logger })
    logger.info('ready', {
      entries: embedded.entries,
      store: embedded.storeUrl,
      list: embedded.listUrl,
      faults: `http://${embedded.standIns.adminAddress}`,
      key: embedded.callerKey,
      operator_key: embedded.operatorKey,
      operators: embedded.instances.map(instance => instance.member.operatorAddress),
      models: embedded.models
    })
    await untilSignal()
    await embedded.close()
    return EXIT_DONE
  }
}
