/**
 * Quota of replicas of a model for each cell. The quotas of all cells add up to the model's `maxReplicas`, so cell
 * leaders can decide independently of one another without exceeding it.
 */
import type { ModelConfig } from '../config/fleet'
import { rankByRendezvous } from '../utils'
import { cellNames } from './records'

/** Cells in the order in which demand for the model is sent to them. */
export function cellsOfModel (model: string, cells: number): string[] {
  return rankByRendezvous(model, cellNames(cells), name => name)
}

export function quotaOfCell (model: Pick<ModelConfig, 'name' | 'maxReplicas'>, cell: string, cells: number): number {
  const rank = cellsOfModel(model.name, cells).indexOf(cell)
  return Math.floor(model.maxReplicas / cells) + (rank < model.maxReplicas % cells ? 1 : 0)
}
