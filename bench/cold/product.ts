/** The product's own cells and routing with the stand-ins. */
import { advance, createCellsHarness } from 'magnoliabay/cells/__tests__/support/harness'
import type { Strategy } from './measure'
import { ENGINE_MIB, FULL_SPEED_LOADS } from './workload'
import type { Workload } from './workload'

const REQUEST_TIMEOUT_MS = 60_000
const START_DURATION_MS = 10_000

export async function createProduct (workload: Workload): Promise<Strategy> {
  const { site, models } = workload
  const harness = createCellsHarness({
    instances: site.instances,
    engines: site.engines,
    engine: { memoryMiB: ENGINE_MIB },
    engineOf: index => ({ checkpoints: workload.checkpoints[index] }),
    weights: { loadsPerSecond: site.loadsPerSecond, fullSpeedLoads: FULL_SPEED_LOADS },
    fleet: {
      model: models.map(({ name, memoryMiB }) => ({ name, memoryMiB })),
      weightStore: { loadsPerSecond: site.loadsPerSecond, fullSpeedLoads: FULL_SPEED_LOADS }
    }
  })
  await advance(harness, START_DURATION_MS)
  return {
    clock: harness.clock,
    engines: harness.engines,
    weights: harness.weights,
    serve: async ({ instance, model }) => {
      const { routing } = harness.instance(`entry-${instance + 1}`)
      const route = await routing.acquireReplica({
        modelOrAdapter: model, deadlineMs: harness.clock.monotonic() + REQUEST_TIMEOUT_MS, excludedEngines: new Set(), signal: new AbortController().signal
      })
      return route.ok ? { engine: route.val.replica.engine, release: route.val.release } : undefined
    },
    close: harness.close
  }
}
