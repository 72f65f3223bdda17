/**
 * How many replicas of a model each cell may decide. The quotas of all cells add up to the model's most, so
 * stewards need no agreement with one another: none can decide what another has decided already.
 */
import type { ModelConfig } from '../config/fleet'
import { rankByRendezvous } from '../utils'
import { cellNames } from './records'

/** Cells in the order in which demand for the model is brought to them. */
export function cellsOfModel (model: string, cells: number): string[] {
  return rankByRendezvous(model, cellNames(cells), name => name)
}

export function quotaOfCell (model: Pick<ModelConfig, 'name' | 'maxReplicas'>, cell: string, cells: number): number {
  const rank = cellsOfModel(model.name, cells).indexOf(cell)
  return Math.floor(model.maxReplicas / cells) + (rank < model.maxReplicas % cells ? 1 : 0)
}
