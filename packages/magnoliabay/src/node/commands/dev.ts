/** `magnoliabay dev`: runs the embedded fleet, or the stand-ins alone, until it is stopped. */
import { createLogger } from '../logger'
import type { Logger } from '../logger'
import { startEmbeddedFleet } from './embedded'
import { EMBEDDED_REGION } from './embeddedConfig'
import { addressesOf, startStandIns } from './standIns'
import { EXIT_SUCCESS, EXIT_USAGE } from './types'
import type { Command } from './types'
import { waitForShutdownSignal } from './shutdownSignal'

const DEFAULT_INSTANCES = '3'
const DEFAULT_PORT = '8080'
const DEFAULT_ENGINES = '3'
/** Difference between the first port of the stand-ins and the first entry port. */
const STAND_IN_PORT_OFFSET = 1000

interface DevSettings {
  instances: number
  port: number
  standInPort: number
  engines: number
  region: string
  logger: Logger
}

export const devCommand: Command = {
  name: 'dev',
  summary: 'Start stand-ins and a few instances in one process, to try things out.',
  options: {
    instances: { type: 'string', value: 'N', description: `Entry instances; 0 starts only the stand-ins. Default ${DEFAULT_INSTANCES}.`, default: DEFAULT_INSTANCES },
    port: { type: 'string', value: 'P', description: `First entry port; stand-ins are ${STAND_IN_PORT_OFFSET} above. 0 takes any free ones. Default ${DEFAULT_PORT}.`, default: DEFAULT_PORT },
    engines: { type: 'string', value: 'N', description: `With --instances 0: engines. Default ${DEFAULT_ENGINES}.`, default: DEFAULT_ENGINES },
    region: { type: 'string', value: 'NAME', description: `With --instances 0: region of engines and services. Default ${EMBEDDED_REGION}.`, default: EMBEDDED_REGION }
  },
  run: async ({ values, printError }) => {
    const instances = Number(values.instances)
    const port = Number(values.port)
    const engines = Number(values.engines)
    const areValid = [instances, port, engines].every(value => Number.isInteger(value) && value >= 0)
    if (!areValid) {
      printError('--instances, --port and --engines take whole numbers of 0 or more.')
      return EXIT_USAGE
    }
    const settings: DevSettings = {
      instances,
      port,
      engines,
      region: String(values.region),
      standInPort: port === 0 ? 0 : port + STAND_IN_PORT_OFFSET,
      logger: createLogger()
    }
    const close = instances === 0 ? await runStandIns(settings) : await runEmbedded(settings)
    await waitForShutdownSignal()
    await close()
    return EXIT_SUCCESS
  }
}

async function runStandIns ({ engines, region, standInPort, logger }: DevSettings): Promise<() => Promise<void>> {
  const standIns = await startStandIns({ firstPort: standInPort, engines, region })
  const { storeUrl, listUrl, faultsUrl } = addressesOf(standIns)
  logger.info('ready', { store: storeUrl, list: listUrl, faults: faultsUrl })
  return standIns.close
}

async function runEmbedded ({ instances, port, standInPort, logger }: DevSettings): Promise<() => Promise<void>> {
  const embedded = await startEmbeddedFleet({ instances, port, standInPort, logger })
  logger.info('ready', {
    entries: embedded.entryUrls,
    store: embedded.storeUrl,
    list: embedded.listUrl,
    faults: addressesOf(embedded.standIns).faultsUrl,
    key: embedded.callerKey,
    operator_key: embedded.operatorKey,
    operators: embedded.instances.map(instance => instance.member.operatorAddress),
    models: embedded.models
  })
  return embedded.close
}
